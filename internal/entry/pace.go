package entry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// newsPause follows a watch that brought something new; it bounds the rate of
	// calls while changes come fast.
	changePause = 100 * time.Millisecond
	// firstPause and longestPause bound the pauses after watches that brought nothing.
	// The longest is short enough for a change to be in force seconds after an outage.
	minPause = 500 * time.Millisecond
	maxPause = 4 * time.Second
	// pauseJitter keeps entries that lost the platform together from coming back to it
	// together.
	pauseJitter = 0.25
)

// pace decides how long a watch pauses between its calls. The platform's service
// counts each call: one that fails or answers at once, such as a copy that came back
// older and differs from what is in force each time it is asked, would be called
// thousands of times a second without pauses.
type watchBackoff struct {
	backoff *backoff.ExponentialBackOff
}

func newWatchBackoff() *watchBackoff {
	return &watchBackoff{backoff: &backoff.ExponentialBackOff{
		InitialInterval:     minPause,
		RandomizationFactor: pauseJitter,
		Multiplier:          2,
		MaxInterval:         maxPause,
	}}
}

// after returns the pause after a call that brought news or not, and whether it
// waited as it should have.
func (p *watchBackoff) next(changed, waited bool) time.Duration {
	if !changed && !waited {
		return p.backoff.NextBackOff()
	}
	p.backoff.Reset()
	if changed {
		return changePause
	}
	return 0
}
