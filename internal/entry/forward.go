package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/submission"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// maxForwards bounds how often one request is forwarded, each time to a process that
// is nearer to the answer.
const maxForwards = 4

// forward hands a request to the owner, or to the one who keeps its answers.
func (r *router) forward(ctx context.Context, owner member.Process, id submission.ID, c call) reply {
	for range maxForwards {
		to := r.members.successor(owner)
		if to == r.members.self {
			return r.inherited(ctx, id, c)
		}
		if to.Address == r.members.self.Address {
			return r.predecessor(c)
		}
		answer := r.ask(ctx, to, c)
		switch {
		case answer == nil && r.members.successor(owner) != to:
			continue // it stopped meanwhile
		case answer == nil:
			return r.unanswered(owner, to, id, c)
		case answer.GetSuccessor() != nil:
			r.members.with(func(*member.View) { r.members.takeSuccessor(answer.GetSuccessor()) })
			if r.members.successor(owner) == to {
				return r.unreachable(c)
			}
		case answer.GetWrongIncarnation():
			return r.ownerGone(c)
		default:
			return reply{
				status:     int(answer.GetStatus()),
				retryAfter: time.Duration(answer.GetRetryAfterMs()) * time.Millisecond,
				body:       answer.GetBody(),
			}
		}
	}
	return r.unreachable(c)
}

// ask forwards a request and returns nil when there is no answer. It connects only to
// known entries: the address in an identifier is the caller's to choose.
func (r *router) ask(ctx context.Context, to member.Process, c call) *schema.ForwardReply {
	if !r.members.known(to.Address) {
		return nil
	}
	r.metrics.message("forward")
	// A caller is told at once when its owner is cut off, rather than after a wait for
	// a connection, and told when to come back.
	answer, failure := r.client.CallIfReachable(ctx, to.Address, &schema.Request{Body: &schema.Request_Forward{
		Forward: &schema.Forward{Method: c.method, Id: c.id, Team: c.team, Body: c.body},
	}})
	if failure != nil {
		return nil
	}
	return answer.GetForward()
}

// misdirected answers a forwarded request that names another process at this address.
func (r *router) misdirected(owner member.Process, c call) reply {
	// A holder that ran at this address before is dead, and the answers with it. Named
	// as the successor again, its caller would be sent here to ask for good.
	if to := r.members.successor(owner); to != owner && to.Address != r.members.self.Address {
		return reply{successor: successorMessage(owner, to, r.members.settle())}
	}
	if r.clock.Now() < r.settled {
		// The named process may have stopped gracefully, and this one not yet heard who
		// keeps its answers. "Gone" would be a second ending beside the kept one.
		return r.unreachable(c)
	}
	return reply{gone: true}
}

// predecessor answers about a process that ran at this address before: it is dead. For
// a while after the start it is not yet known whether another keeps its answers.
func (r *router) predecessor(c call) reply {
	if r.clock.Now() < r.settled {
		return r.unreachable(c)
	}
	return r.ownerGone(c)
}

// unanswered decides what is told when the owner can't be asked. Only what is certain
// is final: an owner that is cut off, or the holder of its answers, may tell the one
// true ending to another caller.
func (r *router) unanswered(owner, holder member.Process, id submission.ID, c call) reply {
	if r.members.liveness(holder, id.MintedAt) == member.Replaced || r.members.liveness(owner, id.MintedAt) == member.Expired {
		return r.ownerGone(c)
	}
	return r.unreachable(c)
}

// ownerGone is final: the owner is dead, and its right to start tasks with it, or its
// time to start them and to tell of them is over. What it had started is unknown.
func (r *router) ownerGone(c call) reply {
	return r.refuseKind(c.id, ownerGone(), r.kindOf(c))
}

// kindOf returns the kind of the job that a PUT carries, nil when it is not known.
func (r *router) kindOf(c call) *schema.Kind {
	if c.method != http.MethodPut {
		return nil
	}
	j, err := decodeJob(c.body)
	if err != nil {
		return nil
	}
	return r.submissions.state.config().Kind(j.Kind)
}

func ownerGone() *verdict.Failure {
	return verdict.New(verdict.MayHaveRun, verdict.OwnerGone, "the entry that ran this submission is gone; it may have run")
}

// unreachable is not final: an owner that is cut off may still hold the answer.
func (r *router) unreachable(c call) reply {
	r.metrics.refused(verdict.OwnerUnreachable)
	return pending(c.id, http.StatusServiceUnavailable, verdict.OwnerUnreachable,
		"the entry that owns this submission can't be reached now; ask again")
}
