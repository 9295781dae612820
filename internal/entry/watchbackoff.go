// The pauses between calls of a watch on the platform's service.

package entry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// changePause is the pause after a watch that returned a change. It bounds the rate of calls while changes
	// come in quick succession.
	changePause = 100 * time.Millisecond
	// minPause and maxPause bound the pauses after watches that returned no change. maxPause is short enough
	// for a change to be in force within seconds after an outage.
	minPause = 500 * time.Millisecond
	maxPause = 4 * time.Second
	// pauseJitter prevents entries that lost the platform at the same time from calling it again at the same
	// time.
	pauseJitter = 0.25
)

// watchBackoff decides how long a watch pauses between its calls, because the platform's service counts each
// call. Some watches fail or return at once every time. An example is a platform that was restored from an
// older copy, which differs from the document in force at every call. Without pauses, such a watch would call
// the platform thousands of times a second.
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

// next returns the pause after a call. changed is whether the call returned a change, waited whether it
// waited for about as long as requested.
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
