package peer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
)

// blockingHandler answers each request after a value on release.
type blockingHandler struct {
	started, release chan struct{}
}

func (h *blockingHandler) ServePeer(context.Context, *schema.Request) *schema.Reply {
	h.started <- struct{}{}
	<-h.release
	return &schema.Reply{Status: &schema.StatusReply{}}
}

// A request waits at its owner for longer than unused connections are kept. CloseIdle must not close its
// connection, or the caller would be told that the request may have run. Once the connection is unused,
// CloseIdle closes it. The next request must wait for a new one instead of failing as if the peer were
// unreachable.
func TestCloseIdleKeepsConnectionInUse(t *testing.T) {
	cred := newCredentials(t)
	h := &blockingHandler{started: make(chan struct{}), release: make(chan struct{})}
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), cred, h)
	assert.NilError(t, err)
	defer s.Close()
	defer close(h.release) // a handler that still waits would block Close
	c := NewClient(cred, netip.MustParseAddr("127.0.0.1"))
	defer c.Close()

	for range 2 {
		answered := make(chan error, 1)
		go func() {
			_, failure := c.CallIfReachable(t.Context(), s.Address(), statusRequest)
			if failure != nil {
				answered <- failure
				return
			}
			answered <- nil
		}()
		<-h.started
		c.CloseIdle(0)
		// If CloseIdle broke the call, the call would fail well within this time.
		select {
		case err := <-answered:
			t.Fatalf("the call ended before the peer answered: %v", err)
		case <-time.After(100 * time.Millisecond):
		}
		h.release <- struct{}{}
		assert.NilError(t, <-answered)
		conn := c.link(s.Address()).conn
		c.CloseIdle(0)
		<-conn.Context().Done()
	}
}
