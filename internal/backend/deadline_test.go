package backend

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An entry is frozen right before it writes a task and wakes after the deadline. The
// connection refuses the bytes, so that "nothing was sent" stays provable.
func TestNoWriteAfterDeadline(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &trackedConn{Conn: near}
	c.setDeadline(time.Now().Add(-time.Millisecond))
	before := c.writeCount()
	n, err := c.Write([]byte("task"))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, errSealed)
	assert.Assert(t, !c.seal(before))
}
