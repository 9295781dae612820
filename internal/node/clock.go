package node

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// bootClock is a steady clock that counts the time for which the machine was suspended: the
// monotonic clock doesn't, and callers' deadlines and workers' leases run on meanwhile.
type bootClock struct {
	start time.Time
	// suspended is the time that the monotonic clock has missed.
	suspended atomic.Int64
	// offset is the boot clock less the monotonic one at the start.
	offset time.Duration
}

// minSuspension is the least difference that counts: two readings are never made at once.
const minSuspension = 20 * time.Millisecond

func newBootClock() *bootClock {
	c := &bootClock{start: time.Now()}
	c.offset = bootTime() - time.Since(c.start)
	return c
}

func (c *bootClock) now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// sync takes in a suspension and returns its length. Each reading costs a system call,
// so it is made once a tick and not for every event.
func (c *bootClock) sync() time.Duration {
	missed := bootTime() - time.Since(c.start) - c.offset
	jump := missed - time.Duration(c.suspended.Load())
	if jump < minSuspension {
		return 0
	}
	c.suspended.Store(int64(missed))
	return jump
}

func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // no such clock: the machine doesn't suspend
	}
	return time.Duration(t.Nano())
}
