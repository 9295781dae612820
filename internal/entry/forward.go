// Forwarding of requests to the owner of an identifier, and the replies when the owner does not answer.

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

// maxForwards bounds how often one request is forwarded. Each time, the target is the successor of the
// previous one.
const maxForwards = 4

// forward forwards a request to the owner, or to the process that has taken over its answers.
func (r *router) forward(ctx context.Context, owner member.Process, id submission.ID, req callerRequest) reply {
	for range maxForwards {
		to := r.members.successor(owner)
		if to == r.members.self {
			return r.serveTakenOver(ctx, id, req)
		}
		if to.Address == r.members.self.Address {
			return r.replyPredecessor(req)
		}
		answer := r.forwardTo(ctx, to, req)
		switch {
		case answer == nil && r.members.successor(owner) != to:
			continue // the target stopped meanwhile and has a successor
		case answer == nil:
			return r.replyUnanswered(owner, to, id, req)
		case answer.GetSuccessor() != nil:
			r.members.withView(func(*member.View) { r.members.handleSuccessor(answer.GetSuccessor()) })
			if r.members.successor(owner) == to {
				return r.replyOwnerUnreachable(req)
			}
		case answer.GetWrongIncarnation():
			return r.replyOwnerGone(req)
		default:
			return reply{
				status:     int(answer.GetStatus()),
				retryAfter: time.Duration(answer.GetRetryAfterMs()) * time.Millisecond,
				body:       answer.GetBody(),
			}
		}
	}
	return r.replyOwnerUnreachable(req)
}

// forwardTo forwards a request to one process, and returns nil if there is no answer. It connects only to
// known entries, because the address in an identifier is input of the caller.
func (r *router) forwardTo(ctx context.Context, to member.Process, req callerRequest) *schema.ForwardReply {
	if !r.members.isEntry(to.Address) {
		return nil
	}
	r.metrics.countMessage("forward")
	// If the owner is unreachable, the caller gets a Retry-After at once instead of waiting for a connection.
	answer, failure := r.client.CallIfReachable(ctx, to.Address, &schema.Request{Body: &schema.Request_Forward{
		Forward: &schema.Forward{Method: req.method, Id: req.id, Team: req.team, Body: req.body},
	}})
	if failure != nil {
		return nil
	}
	return answer.GetForward()
}

// serveMisdirected serves a forwarded request whose identifier names another process at this address.
func (r *router) serveMisdirected(owner member.Process, req callerRequest) reply {
	// A successor that ran at this address earlier is dead, and its answers are lost. If the reply named it as
	// the successor again, the sender would forward the request here forever.
	if to := r.members.successor(owner); to != owner && to.Address != r.members.self.Address {
		return reply{successor: successorMessage(owner, to, r.members.identifierLifetime())}
	}
	if r.clock.Now() < r.successorsKnownAt {
		// The named process may have stopped gracefully, and this process may not know the successor yet. A
		// reply of "owner gone" would then be a second final response beside the one that the successor keeps.
		return r.replyOwnerUnreachable(req)
	}
	return reply{wrongIncarnation: true}
}

// replyPredecessor replies about a process that ran at this address earlier and is dead. For some time
// after its start, this process does not know whether the dead process has a successor.
func (r *router) replyPredecessor(req callerRequest) reply {
	if r.clock.Now() < r.successorsKnownAt {
		return r.replyOwnerUnreachable(req)
	}
	return r.replyOwnerGone(req)
}

// replyUnanswered replies when the owner or the holder of its answers did not answer. The reply is final
// only if the owner is certainly gone. An owner that is only unreachable, or the holder of its answers,
// may report the true final response to another caller.
func (r *router) replyUnanswered(owner, holder member.Process, id submission.ID, req callerRequest) reply {
	if r.members.liveness(holder, id.MintedAt) == member.Replaced || r.members.liveness(owner, id.MintedAt) == member.Expired {
		return r.replyOwnerGone(req)
	}
	return r.replyOwnerUnreachable(req)
}

// replyOwnerGone returns a final reply. Either the owner is dead, so no process may start its tasks any more,
// or the time in which it may start them and report an answer is over. It is not known which tasks it
// started.
func (r *router) replyOwnerGone(req callerRequest) reply {
	return r.refuseWithKind(req.id, ownerGoneFailure(), r.requestedKind(req))
}

// requestedKind returns the kind of the job in a PUT, or nil if it is not known.
func (r *router) requestedKind(req callerRequest) *schema.Kind {
	if req.method != http.MethodPut {
		return nil
	}
	j, err := decodeJob(req.body)
	if err != nil {
		return nil
	}
	return r.submissions.state.config().Kind(j.Kind)
}

func ownerGoneFailure() *verdict.Failure {
	return verdict.New(verdict.MayHaveRun, verdict.OwnerGone, "the entry that owned this submission is gone; the submission may have run")
}

// replyOwnerUnreachable returns a reply that is not final, because an unreachable owner may still have
// the answer.
func (r *router) replyOwnerUnreachable(req callerRequest) reply {
	r.metrics.countRefusal(verdict.OwnerUnreachable)
	return pendingReply(req.id, http.StatusServiceUnavailable, verdict.OwnerUnreachable,
		"the entry that owns this submission is unreachable; ask again")
}
