package backend

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"

	"gotest.tools/v3/assert"
)

// net/http's writing goroutine is still about to write when the verdict "not run" is given. The late write must
// not reach the worker.
func TestNoWriteAfterSeal(t *testing.T) {
	local, remote := net.Pipe()
	conn := &trackedConn{Conn: local}
	before := conn.writeCount()
	assert.Assert(t, !conn.seal(before))
	_, err := conn.Write([]byte("POST"))
	assert.ErrorIs(t, err, errSealed)
	local.Close()
	b, err := io.ReadAll(remote)
	assert.NilError(t, err)
	assert.Equal(t, len(b), 0)
}

// After a write that the kernel accepted completely or in part, seal must report that data may have been
// sent. After a write of which the kernel accepted nothing, it must not.
func TestSealReportsPartialWrites(t *testing.T) {
	local, remote := net.Pipe()
	conn := &trackedConn{Conn: local}
	before := conn.writeCount()
	go func() {
		_, _ = remote.Read(make([]byte, 1))
		remote.Close()
	}()
	_, err := conn.Write([]byte("POST")) // fails after one byte
	assert.Assert(t, err != nil)
	assert.Assert(t, conn.seal(before))

	local, remote = net.Pipe()
	remote.Close()
	conn = &trackedConn{Conn: local}
	before = conn.writeCount()
	_, err = conn.Write([]byte("POST"))
	assert.Assert(t, err != nil)
	assert.Assert(t, !conn.seal(before))
}

// A request on a connection that is not a trackedConn must count as sent.
func TestUntrackedConnectionCountsAsSent(t *testing.T) {
	local, _ := net.Pipe()
	var trace requestTrace
	assert.Assert(t, !trace.seal())
	trace.gotConn(httptrace.GotConnInfo{Conn: local})
	assert.Assert(t, trace.seal())
}
