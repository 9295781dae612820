// The router: it serves a request for a submission here, if this process owns it or has taken it over,
// and otherwise forwards the request to the owner.

package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/submission"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// ownerRetryAfter is the Retry-After while an owner is unreachable.
const ownerRetryAfter = time.Second

// callerRequest is a caller's request for one submission.
type callerRequest struct {
	method string
	id     string
	team   string
	body   []byte
	// forwarded is set at the receiving entry, so that it does not forward the request again.
	forwarded bool
}

// reply is the reply to a caller, or to the entry that forwarded the caller's request.
type reply struct {
	status     int
	retryAfter time.Duration
	body       []byte
	// wrongIncarnation is set when the identifier names another process at this address, and that process
	// has no successor.
	wrongIncarnation bool
	// successor is set when the process that the identifier names has a successor.
	successor *schema.Successor
}

// notRun reports whether the verdict of the reply is NotRun.
func (r reply) notRun() bool {
	var a schema.Answer
	return json.Unmarshal(r.body, &a) == nil && a.Verdict == verdict.NotRun.String()
}

// router serves a request here or forwards it to the owner of its identifier.
type router struct {
	clock       *clock.Clock
	minter      *submission.Minter
	submissions *submissions
	members     *membership
	client      *peer.Client
	metrics     *Metrics
	// predecessors holds the stopped processes whose answers this process has taken over.
	predecessors *submission.Predecessors
	// successorsKnownAt is the time on this process's clock at which every peer has certainly told it who
	// keeps the answers of former processes at its address.
	successorsKnownAt time.Duration
}

// serve serves a request here or forwards it to the owner.
func (r *router) serve(ctx context.Context, req callerRequest) reply {
	id, err := submission.Parse(req.id)
	if err != nil {
		return r.refuse(req.id, verdict.New(verdict.NotRun, verdict.IdentifierBad, "the identifier is truncated or altered; reserve one with POST /v1/submissions"))
	}
	owner := member.Process{Address: id.Owner, Incarnation: id.Incarnation}
	if owner == r.members.self {
		return r.serveOwned(ctx, id, req)
	}
	// This process may have taken over the answers of a process that stopped.
	if rec := r.submissions.table.Get(req.id); rec != nil && rec.Team == req.team {
		return r.serveRecord(ctx, rec, req)
	}
	if r.predecessors.Complete(id.Process()) {
		return r.serveTakenOver(ctx, id, req)
	}
	if req.forwarded {
		return r.serveMisdirected(owner, req)
	}
	return r.forward(ctx, owner, id, req)
}

// serveTakenOver serves a request for a submission of a stopped process whose answers this process has
// taken over. The stopped process handed over all of its records. So within the window, a missing record
// means that nothing started.
//
// The caller of serveTakenOver may have looked up the record shortly before, but the handover may have
// happened since then, or while the request waited for the process that stopped. Without a second lookup,
// the caller could be told "not run" about a job that ran.
func (r *router) serveTakenOver(ctx context.Context, id submission.ID, req callerRequest) reply {
	if rec := r.submissions.table.Get(req.id); rec != nil && rec.Team == req.team {
		return r.serveRecord(ctx, rec, req)
	}
	if r.predecessors.NeverStarted(id, r.clock.Now()) {
		return r.refuse(req.id, submission.FailureNeverStarted())
	}
	return r.refuse(req.id, verdict.New(verdict.MayHaveRun, verdict.IdentifierExpired, "the identifier has expired and its answer, if there was one, is no longer kept"))
}

// serveOwned serves a request for a submission of this process.
func (r *router) serveOwned(ctx context.Context, id submission.ID, req callerRequest) reply {
	if err := r.minter.Verify(id, req.team); err != nil {
		return r.refuse(req.id, verdict.New(verdict.NotRun, verdict.IdentifierUnknown, "this team has no such submission; reserve an identifier with POST /v1/submissions"))
	}
	if req.method == http.MethodPut {
		rec, kind, failure := r.submissions.put(id, req.team, req.body)
		if failure != nil {
			return r.refuseWithKind(req.id, failure, kind)
		}
		return r.awaitReply(ctx, rec)
	}
	rec := r.submissions.table.Get(req.id)
	if rec == nil && req.method == http.MethodDelete {
		var failure *verdict.Failure
		if rec, failure = r.submissions.cancelBeforeRequest(id, req.team); failure != nil {
			return r.refuse(req.id, failure)
		}
	}
	if rec == nil {
		return r.replyNoRecord(id, req)
	}
	return r.serveRecord(ctx, rec, req)
}

// replyNoRecord replies to a GET for an identifier without a record. Within the window the reply is not
// final, because the PUT may still arrive.
func (r *router) replyNoRecord(id submission.ID, req callerRequest) reply {
	if r.clock.Now() <= id.MintedAt+r.submissions.window {
		r.metrics.countRefusal(verdict.IdentifierUnknown)
		return pendingReply(req.id, http.StatusNotFound, verdict.IdentifierUnknown,
			"nothing has been submitted under this identifier yet; send the job with PUT, or DELETE it so that it never runs")
	}
	return r.refuse(req.id, verdict.New(verdict.MayHaveRun, verdict.IdentifierExpired, "the identifier has expired and its answer, if there was one, is no longer kept"))
}

// serveRecord serves a request for a record. It replies to a GET at once, and to a PUT or DELETE when the
// submission has ended.
func (r *router) serveRecord(ctx context.Context, rec *submission.Record, req callerRequest) reply {
	switch req.method {
	case http.MethodDelete:
		r.submissions.cancel(rec.ID)
		return r.awaitReply(ctx, rec)
	case http.MethodPut:
		if failure := rec.Matches(digest(req.body)); failure != nil {
			return r.refuse(req.id, failure)
		}
		return r.awaitReply(ctx, rec)
	}
	select {
	case <-rec.Done():
		return finalReply(rec.Response())
	default:
		return pendingReply(req.id, http.StatusAccepted, "", "the submission is still running; ask again")
	}
}

// awaitReply waits for the final response. If the caller disconnects, the submission continues.
func (r *router) awaitReply(ctx context.Context, rec *submission.Record) reply {
	resp, ok := r.submissions.wait(ctx, rec)
	if !ok {
		return pendingReply(rec.ID, http.StatusAccepted, "", "the submission is still running; ask again")
	}
	return finalReply(resp)
}

func finalReply(resp submission.Response) reply {
	return reply{status: resp.Status, retryAfter: resp.RetryAfter, body: resp.Body}
}

// pendingReply returns a reply that is not final, with the default Retry-After.
func pendingReply(id string, status int, reason verdict.Reason, message string) reply {
	return pendingReplyAfter(id, status, reason, message, ownerRetryAfter)
}

// pendingReplyAfter returns a reply that is not final, with the given Retry-After.
func pendingReplyAfter(id string, status int, reason verdict.Reason, message string, after time.Duration) reply {
	body, _ := json.Marshal(schema.Answer{ // encoding plain strings cannot fail
		Id:           id,
		Outcome:      outcomePending,
		Reason:       string(reason),
		Message:      message,
		RetryAfterMs: after.Milliseconds(),
	})
	return reply{status: status, retryAfter: after, body: body}
}

// refuse returns the reply for a failure.
func (r *router) refuse(id string, f *verdict.Failure) reply { return r.refuseWithKind(id, f, nil) }

// refuseWithKind returns the reply for a failure of a request whose kind may be known (else nil). The
// reply for AnswersFull is not final: no record was created, so a copy of the request may be accepted
// once answers have expired.
func (r *router) refuseWithKind(id string, f *verdict.Failure, kind *schema.Kind) reply {
	r.metrics.countRefusal(f.Reason)
	if f.Reason == verdict.AnswersFull {
		return pendingReplyAfter(id, http.StatusServiceUnavailable, f.Reason, f.Message, f.RetryAfter)
	}
	resp := failureResponse(id, kind, f)
	return reply{status: resp.Status, retryAfter: resp.RetryAfter, body: resp.Body}
}

// refuseUnrouted refuses a request for a submission without asking its owner. An earlier request may be
// running there, so the verdict must not be NotRun: the caller would submit the job again.
func (r *router) refuseUnrouted(id string, f *verdict.Failure) reply {
	if httpStatus(f) == http.StatusServiceUnavailable {
		r.metrics.countRefusal(f.Reason)
		return pendingReply(id, http.StatusServiceUnavailable, f.Reason, f.Message)
	}
	mayHaveRun := *f
	mayHaveRun.Verdict = verdict.MayHaveRun
	return r.refuse(id, &mayHaveRun)
}

// serveOversized serves a PUT whose body is too large to forward. It returns the owner's reply to a GET,
// or the refusal if nothing was submitted under the identifier or nothing ran.
func (r *router) serveOversized(ctx context.Context, req callerRequest, f *verdict.Failure) reply {
	req.method = http.MethodGet
	ownerReply := r.serve(ctx, req)
	if ownerReply.status == http.StatusNotFound || ownerReply.notRun() {
		return r.refuse(req.id, f)
	}
	return ownerReply
}
