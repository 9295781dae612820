package entry

import (
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/schema"
)

// durationBounds are the accepted values of one duration setting.
type durationBounds struct {
	flag      string
	value     time.Duration
	low, high time.Duration
}

// CheckSettings returns an error that names the flag and the accepted values.
func CheckSettings(c schema.EntrySettings) error {
	if c.Domain == "" {
		return errors.New("--domain is empty; name the failure domain of this entry")
	}
	u, err := url.Parse(c.PlatformUrl)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.Newf("--platform-url is %q; accepted are http://IP:port and https://IP:port", c.PlatformUrl)
	}
	if c.AnswerBytes < 1<<20 {
		return errors.Newf("--answer-bytes is %d; accepted are 1048576 and more", c.AnswerBytes)
	}
	for _, b := range bounds(c) {
		if b.value < b.low || b.value > b.high {
			return errors.Newf("--%s is %s; accepted are %s to %s", b.flag, b.value, b.low, b.high)
		}
	}
	if c.PeerTimeout < 3*c.HeartbeatInterval {
		return errors.Newf("--peer-timeout is %s; accepted are 3 times --heartbeat-interval (%s) and more", c.PeerTimeout, c.HeartbeatInterval)
	}
	return nil
}

func bounds(c schema.EntrySettings) []durationBounds {
	return []durationBounds{
		{"heartbeat-interval", c.HeartbeatInterval, 50 * time.Millisecond, 10 * time.Second},
		{"peer-timeout", c.PeerTimeout, 150 * time.Millisecond, time.Minute},
		{"identifier-window", c.IdentifierWindow, time.Second, time.Hour},
		{"answer-retention", c.AnswerRetention, time.Second, time.Hour},
		{"stop-timeout", c.StopTimeout, 0, 10 * time.Minute},
		{"stop-delay", c.StopDelay, 0, time.Minute},
		{"worker-idle-timeout", c.WorkerIdleTimeout, 10 * time.Millisecond, time.Minute},
		{"worker-dial-timeout", c.WorkerDialTimeout, 10 * time.Millisecond, time.Minute},
		{"worker-silence-timeout", c.WorkerSilenceTimeout, time.Second, time.Minute},
	}
}
