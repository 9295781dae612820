package entry

import (
	"context"

	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/schema"
)

// lateHandler holds peers' requests until the real handler is there: the entry's
// parts need the address of the socket that already listens.
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
