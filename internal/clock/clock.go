// Package clock gives the time as a duration on the process's monotonic clock.
package clock

import "time"

// Clock counts from its making. The monotonic clock goes on while the process is
// frozen, so a deadline that passed meanwhile is seen on waking.
type Clock struct{ start time.Time }

// New returns a clock that shows zero now.
func New() *Clock { return &Clock{start: time.Now()} }

// Now returns the time since the clock was made.
func (c *Clock) Now() time.Duration { return time.Since(c.start) }
