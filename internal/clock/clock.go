// Package clock provides the time on the process's monotonic clock, detects pauses of the process, and sleeps
// until a context ends.
package clock

import "time"

// Clock counts from its creation. The monotonic clock continues while the process is frozen. So when the
// process resumes, it sees that a deadline has passed meanwhile.
type Clock struct{ start time.Time }

// New returns a clock that starts at zero now.
func New() *Clock { return &Clock{start: time.Now()} }

// Now returns the time since the clock was created.
func (c *Clock) Now() time.Duration { return time.Since(c.start) }
