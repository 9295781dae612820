package backend

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"

	"gotest.tools/v3/assert"
)

// The verdict "not run" is given while net/http's writer is still about to write. The
// late write must not reach the worker.
func TestNoWriteAfterSeal(t *testing.T) {
	near, far := net.Pipe()
	conn := &trackedConn{Conn: near}
	before := conn.writeCount()
	assert.Assert(t, !conn.seal(before))
	_, err := conn.Write([]byte("POST"))
	assert.ErrorIs(t, err, errSealed)
	near.Close()
	b, err := io.ReadAll(far)
	assert.NilError(t, err)
	assert.Equal(t, len(b), 0)
}

// A write that the kernel took, whole or in part, makes the verdict unsure; one of
// which it took nothing does not.
func TestSealReportsPartialWrites(t *testing.T) {
	near, far := net.Pipe()
	conn := &trackedConn{Conn: near}
	before := conn.writeCount()
	go func() {
		_, _ = far.Read(make([]byte, 1))
		far.Close()
	}()
	_, err := conn.Write([]byte("POST")) // breaks after one byte
	assert.Assert(t, err != nil)
	assert.Assert(t, conn.seal(before))

	near, far = net.Pipe()
	far.Close()
	conn = &trackedConn{Conn: near}
	before = conn.writeCount()
	_, err = conn.Write([]byte("POST"))
	assert.Assert(t, err != nil)
	assert.Assert(t, !conn.seal(before))
}

// A connection of a type that can't be followed proves nothing.
func TestUntrackedConnectionCountsAsSent(t *testing.T) {
	near, _ := net.Pipe()
	var a attempt
	assert.Assert(t, !a.seal())
	a.gotConn(httptrace.GotConnInfo{Conn: near})
	assert.Assert(t, a.seal())
}
