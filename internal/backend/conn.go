// Tracked connections: they know whether a request may have been sent, and can prevent later writes.

package backend

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errSealed is returned by writes on a sealed connection.
var errSealed = errors.New("the connection is sealed against writes")

// trackedConn is a connection that knows whether bytes of a request may have been sent.
//
// net/http may report an error before its writing goroutine starts, or while it runs. So the error alone does
// not prove that nothing was sent. A write after a "not run" verdict would start a task whose caller was told
// that it did not start, or start the task twice. The lock orders writes and verdicts: no byte is sent after
// seal.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	sealed bool
	// writes counts the calls of Write that may have sent data.
	writes int
	// deadline is the deadline of the request that uses the connection; zero: none.
	deadline time.Time
}

// Write counts the call before it writes to the socket. It undoes the count only if the kernel accepted no
// byte.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	// The process may have been frozen since the deadline was last checked. Its timers fire only some time
	// after it resumes. A task sent before that would start after its caller has stopped waiting.
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

// setDeadline sets the deadline of the request that uses the connection from now on.
func (c *trackedConn) setDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
}

// writeCount returns the number of writes, for a later call of seal.
func (c *trackedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal prevents further writes and reports whether data may have been sent since writeCount returned
// writesBefore.
func (c *trackedConn) seal(writesBefore int) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes != writesBefore
}
