// A clock that includes the time for which the VM was suspended.

package node

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// bootClock is a monotonic clock that includes the time for which the VM was suspended. The
// operating system's monotonic clock excludes it, but callers' deadlines and workers' leases
// continue meanwhile.
type bootClock struct {
	start time.Time
	// suspended is the time that the monotonic clock did not count.
	suspended atomic.Int64
	// offset is the difference between the boot clock and the monotonic clock at the start.
	offset time.Duration
}

// minSuspension is the smallest difference that counts as a suspension: the two clocks are never
// read at the same instant.
const minSuspension = 20 * time.Millisecond

func newBootClock() *bootClock {
	c := &bootClock{start: time.Now()}
	c.offset = bootTime() - time.Since(c.start)
	return c
}

func (c *bootClock) now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// sync detects a suspension, adds it to the clock and returns its length. Each call costs a system
// call, so the daemon calls it once per tick and not for every event.
func (c *bootClock) sync() time.Duration {
	suspended := bootTime() - time.Since(c.start) - c.offset
	jump := suspended - time.Duration(c.suspended.Load())
	if jump < minSuspension {
		return 0
	}
	c.suspended.Store(int64(suspended))
	return jump
}

func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // no such clock: the VM is never suspended
	}
	return time.Duration(t.Nano())
}
