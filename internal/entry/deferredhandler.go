// A peer handler that waits until the entry's parts exist.

package entry

import (
	"context"

	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/schema"
)

// deferredHandler delays peers' requests until its handler is set. The parts of the entry need the address
// of the listening socket, so the socket accepts requests before they exist.
type deferredHandler struct {
	ready   chan struct{}
	handler peer.Handler
}

func (l *deferredHandler) set(h peer.Handler) {
	l.handler = h
	close(l.ready)
}

// ServePeer implements peer.Handler.
func (l *deferredHandler) ServePeer(ctx context.Context, r *schema.Request) *schema.Reply {
	select {
	case <-l.ready:
		return l.handler.ServePeer(ctx, r)
	case <-ctx.Done():
		return &schema.Reply{Error: "starting"}
	}
}
