package backend

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errSealed is returned by writes on a sealed connection.
var errSealed = errors.New("connection sealed")

// trackedConn knows whether a request's bytes may have left this process.
//
// net/http reports errors before or while its writing goroutine is at work, so the
// error alone doesn't prove that nothing was sent, and a verdict of "not run" could
// be followed by a write: the task would start although its caller was told that it
// did not, or start twice. The lock orders writes and verdicts: after seal no byte
// leaves any more.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	sealed bool
	// writes counts the calls of Write that may have sent something.
	writes int
	// deadline of the request on the connection; none when zero.
	deadline time.Time
}

// Write counts the call before it reaches the socket, and takes the count back only
// when the kernel accepted nothing.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	// The process may have been frozen since the deadline was last checked. Its timers
	// fire only some time after it woke, and a task sent before that would start after
	// its caller gave up.
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		c.sealed = true
	}
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	return n, err
}

// setDeadline sets the deadline of the request that the connection was taken for.
func (c *trackedConn) setDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
}

// mark returns the count of writes, to be compared by seal.
func (c *trackedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and tells whether something may have been sent since mark.
func (c *trackedConn) seal(writesBefore int) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes != writesBefore
}
