// The interface for peers: it passes each request of another entry to the part that handles it.

package entry

import (
	"context"

	"github.com/lavendercleat/lavendercleat/schema"
)

// peerAPI handles the requests of other entries.
type peerAPI struct {
	router   *router
	members  *membership
	syncer   *syncer
	loans    *loans
	handover *handover
	status   func() *schema.StatusReply
}

// ServePeer implements peer.Handler.
func (p *peerAPI) ServePeer(ctx context.Context, r *schema.Request) *schema.Reply {
	switch b := r.GetBody().(type) {
	case *schema.Request_Forward:
		return &schema.Reply{Forward: p.serveForwarded(ctx, b.Forward)}
	case *schema.Request_Heartbeat:
		p.members.handleHeartbeat(b.Heartbeat)
		return &schema.Reply{Heartbeat: p.members.heartbeat()}
	case *schema.Request_Borrow:
		return &schema.Reply{Loan: p.loans.handleBorrow(b.Borrow)}
	case *schema.Request_GiveBack:
		return &schema.Reply{Loan: p.loans.handleReturn(b.GiveBack)}
	case *schema.Request_State:
		return &schema.Reply{State: p.syncer.newerState(b.State)}
	case *schema.Request_Handover:
		return &schema.Reply{Handover: p.handover.receivePart(b.Handover)}
	case *schema.Request_Status:
		return &schema.Reply{Status: p.status()}
	}
	return &schema.Reply{Error: "unknown request"}
}

// serveForwarded serves a caller's request that another entry forwarded.
func (p *peerAPI) serveForwarded(ctx context.Context, f *schema.Forward) *schema.ForwardReply {
	r := p.router.serve(ctx, callerRequest{
		method:    f.GetMethod(),
		id:        f.GetId(),
		team:      f.GetTeam(),
		body:      f.GetBody(),
		forwarded: true,
	})
	return &schema.ForwardReply{
		Status:           int32(r.status),
		RetryAfterMs:     r.retryAfter.Milliseconds(),
		Body:             r.body,
		WrongIncarnation: r.wrongIncarnation,
		Successor:        r.successor,
	}
}
