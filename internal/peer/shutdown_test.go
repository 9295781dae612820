package peer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
)

// slowHandler answers with a large body after release is closed.
type slowHandler struct {
	started chan struct{}
	release chan struct{}
}

// ServePeer implements Handler.
func (h *slowHandler) ServePeer(context.Context, *schema.Request) *schema.Reply {
	close(h.started)
	<-h.release
	return &schema.Reply{Forward: &schema.ForwardReply{Status: 200, Body: make([]byte, 1<<20)}}
}

// A server is shut down while a request is in progress. The peer must still get the complete reply. The peer's
// next call must find the connection closed instead of waiting on it.
func TestShutdownFinishesRequestsInProgress(t *testing.T) {
	cred := newCredentials(t)
	h := &slowHandler{started: make(chan struct{}), release: make(chan struct{})}
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), cred, h)
	assert.NilError(t, err)
	c := NewClient(cred, netip.MustParseAddr("127.0.0.1"))
	defer c.Close()

	got := make(chan int, 1)
	go func() {
		reply, failure := c.Call(t.Context(), s.Address(), &schema.Request{})
		assert.Check(t, failure == nil, "%v", failure)
		got <- len(reply.GetForward().GetBody())
	}()
	<-h.started
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	time.AfterFunc(50*time.Millisecond, func() { close(h.release) })
	assert.Equal(t, <-got, 1<<20)
	assert.NilError(t, <-stopped)

	begin := time.Now()
	for conn, _, _ := c.link(s.Address()).connOrAttempt(); conn != nil; conn, _, _ = c.link(s.Address()).connOrAttempt() {
		assert.Assert(t, time.Since(begin) < silenceTimeout/2, "the client still counts the closed connection as open")
		time.Sleep(time.Millisecond)
	}
}
