// Checks of the entry's settings.

package entry

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// minAnswerBytes and maxAnswerBytes bound --answer-bytes.
	minAnswerBytes = 1 << 20
	maxAnswerBytes = 64 << 30
	// maxDomainName bounds the length of the name of a failure domain.
	maxDomainName = 64
)

// durationBounds holds the accepted values of a duration setting.
type durationBounds struct {
	flag      string
	value     time.Duration
	low, high time.Duration
}

// CheckSettings returns an error for the first setting that is not accepted. The error names the flag, its
// value and the accepted values.
func CheckSettings(c schema.EntrySettings) error {
	for _, check := range []func(schema.EntrySettings) error{
		checkDomain, checkAddresses, checkPlatformURL, checkOperators, checkBounds,
	} {
		if err := check(c); err != nil {
			return err
		}
	}
	return nil
}

// checkDomain rejects separators in the name, because racks are named "domain/rack".
func checkDomain(c schema.EntrySettings) error {
	invalid := strings.ContainsFunc(c.Domain, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && !strings.ContainsRune("-_.", r)
	})
	if c.Domain == "" || len(c.Domain) > maxDomainName || invalid {
		return errors.Newf("--domain is %q; accepted are 1 to %d letters, digits, dots, - and _", c.Domain, maxDomainName)
	}
	return nil
}

func checkAddresses(c schema.EntrySettings) error {
	for flag, a := range map[string]netip.AddrPort{
		"caller-address":   c.CallerAddress,
		"operator-address": c.OperatorAddress,
		"metrics-address":  c.MetricsAddress,
	} {
		if !a.IsValid() {
			return errors.Newf("--%s is empty; accepted are IP:port", flag)
		}
	}
	// The peer address is part of identifiers, and peers connect to it. So it must be the address of one
	// machine, in the only form that compares equal at all entries.
	if !dialable(c.PeerAddress) {
		return errors.Newf("--peer-address is %s; accepted is the IP:port at which peers reach this entry, not an unspecified, multicast or zoned address", c.PeerAddress)
	}
	if c.PeerListen.IsValid() && c.PeerListen.Addr().IsMulticast() {
		return errors.Newf("--peer-listen is %s; accepted are IP:port of this machine", c.PeerListen)
	}
	for _, a := range c.SeedPeers {
		if !dialable(a) || a.Port() == 0 {
			return errors.Newf("--seed-peers has %s; accepted are IP:port at which a peer is reached, with a port above 0", a)
		}
	}
	return nil
}

// dialable reports whether the address can be that of one machine.
func dialable(a netip.AddrPort) bool {
	ip := a.Addr()
	return a.IsValid() && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == "" && !ip.Is4In6()
}

func checkPlatformURL(c schema.EntrySettings) error {
	u, err := url.Parse(c.PlatformUrl)
	valid := err == nil && (u.Scheme == "http" || u.Scheme == "https") &&
		u.User == nil && u.Path == "" && u.RawQuery == "" && u.Fragment == ""
	if valid {
		_, err = netip.ParseAddrPort(u.Host)
	}
	if !valid || err != nil {
		return errors.Newf("--platform-url is %q; accepted are http://IP:port and https://IP:port with an IP number", c.PlatformUrl)
	}
	return nil
}

func checkOperators(c schema.EntrySettings) error {
	seen := make(map[string]bool)
	for _, o := range c.Operators {
		name, hash, ok := strings.Cut(o, ":")
		if !ok || name == "" || !config.IsTokenHash(hash) {
			return errors.Newf("--operators has %q; accepted are name:hash with the token's SHA-256 in 64 lower-case hexadecimal digits, separated by commas", o)
		}
		if seen[name] || seen[hash] {
			return errors.Newf("--operators has the name or hash of %q more than once; accepted is each once", name)
		}
		seen[name], seen[hash] = true, true
	}
	return nil
}

func checkBounds(c schema.EntrySettings) error {
	if c.AnswerBytes < minAnswerBytes || c.AnswerBytes > maxAnswerBytes {
		return errors.Newf("--answer-bytes is %d; accepted are %d to %d", c.AnswerBytes, minAnswerBytes, int64(maxAnswerBytes))
	}
	for _, b := range durationSettings(c) {
		if b.value < b.low || b.value > b.high {
			return errors.Newf("--%s is %s; accepted are %s to %s", b.flag, b.value, b.low, b.high)
		}
	}
	if c.RemotePeerTimeout < 3*c.RemoteHeartbeatInterval {
		return errors.Newf("--remote-peer-timeout is %s; accepted are 3 times --remote-heartbeat-interval (%s) and more", c.RemotePeerTimeout, c.RemoteHeartbeatInterval)
	}
	if c.PeerTimeout < 3*c.HeartbeatInterval {
		return errors.Newf("--peer-timeout is %s; accepted are 3 times --heartbeat-interval (%s) and more", c.PeerTimeout, c.HeartbeatInterval)
	}
	return nil
}

func durationSettings(c schema.EntrySettings) []durationBounds {
	return []durationBounds{
		{"heartbeat-interval", c.HeartbeatInterval, 50 * time.Millisecond, 10 * time.Second},
		{"peer-timeout", c.PeerTimeout, 150 * time.Millisecond, time.Minute},
		{"remote-heartbeat-interval", c.RemoteHeartbeatInterval, 0, 10 * time.Second},
		{"remote-peer-timeout", c.RemotePeerTimeout, 0, time.Minute},
		{"identifier-window", c.IdentifierWindow, time.Second, time.Hour},
		{"answer-retention", c.AnswerRetention, time.Second, time.Hour},
		{"stop-timeout", c.StopTimeout, 0, 10 * time.Minute},
		{"stop-delay", c.StopDelay, 0, time.Minute},
		{"worker-idle-timeout", c.WorkerIdleTimeout, 10 * time.Millisecond, time.Minute},
		{"worker-reuse-timeout", c.WorkerReuseTimeout, time.Millisecond, time.Minute},
		{"worker-dial-timeout", c.WorkerDialTimeout, 10 * time.Millisecond, time.Minute},
		{"platform-watch-wait", c.PlatformWatchWait, time.Second, 5 * time.Minute},
		{"platform-timeout", c.PlatformTimeout, 100 * time.Millisecond, time.Minute},
		{"worker-silence-timeout", c.WorkerSilenceTimeout, time.Second, time.Minute},
	}
}
