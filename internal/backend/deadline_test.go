package backend

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An entry is frozen right before it writes a task, and resumes after the deadline. The connection must
// refuse the bytes, so that the verdict "not run" stays true.
func TestNoWriteAfterDeadline(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := &trackedConn{Conn: local}
	c.setDeadline(time.Now().Add(-time.Millisecond))
	before := c.writeCount()
	n, err := c.Write([]byte("task"))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, errSealed)
	assert.Assert(t, !c.seal(before))
}
