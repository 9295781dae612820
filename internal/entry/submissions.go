// The submissions that this process owns: start, cancellation, and the one final response of each.

package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/submission"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// Values of the outcome field of an answer.
const (
	outcomeComplete = "complete"
	outcomeFailed   = "failed"
	// outcomePending is not final: the submission may still complete or fail.
	outcomePending = "pending"
)

// submissions runs the submissions that this process owns.
type submissions struct {
	clock      *clock.Clock
	pauses     *clock.PauseDetector
	minter     *submission.Minter
	table      *submission.Table
	state      *state
	dispatcher *dispatcher
	quotas     *quotas
	metrics    *Metrics
	// window is the time after minting within which an identifier must first be used.
	window time.Duration
	// identifierLifetime returns the time after the minting of an identifier after which its owner neither
	// starts the job nor reports an answer.
	identifierLifetime func() time.Duration

	mu sync.Mutex
	// running holds the job of each running submission, by identifier.
	running map[string]sched.JobKey
}

func newSubmissions(e *Entry, m *submission.Minter, d *dispatcher) *submissions {
	return &submissions{
		clock:  e.clock,
		pauses: new(clock.PauseDetector),
		minter: m,
		table: submission.NewTable(submission.TableConfig{
			Window:    e.settings.IdentifierWindow,
			Retention: e.settings.AnswerRetention,
			MaxBytes:  e.settings.AnswerBytes,
		}),
		state:              e.state,
		dispatcher:         d,
		quotas:             e.quotas,
		metrics:            e.metrics,
		window:             e.settings.IdentifierWindow,
		identifierLifetime: e.identifierLifetime,
		running:            make(map[string]sched.JobKey),
	}
}

// digest returns the digest by which requests are compared.
func digest(body []byte) submission.Digest { return sha256.Sum256(body) }

// put returns the record of a verified identifier. The first request under the identifier starts the job.
// put also returns the job's kind if it is known.
func (s *submissions) put(id submission.ID, team string, body []byte) (*submission.Record, *schema.Kind, *verdict.Failure) {
	r, first, failure := s.table.Begin(id, team, digest(body), s.clock.Now())
	if failure != nil || !first {
		return r, nil, failure
	}
	// The record is created before the checks, because a refusal is final too. Without the record, a delayed
	// copy of the request could be accepted after a change of the configuration. The job would then run
	// although its caller was told "not run".
	job, kind, failure := checkJob(s.state.config(), body)
	if failure != nil {
		s.finishBadRequest(r, kind, failure)
		return r, kind, nil
	}
	if failure := s.start(r, team, job, kind); failure != nil {
		s.finish(r, kind, nil, failure)
	}
	return r, kind, nil
}

// start submits the job to the dispatcher.
func (s *submissions) start(r *submission.Record, team string, j *schema.Job, kind *schema.Kind) *verdict.Failure {
	u, _ := jobUrgency(j.Urgency, kind)
	wait := j.DeadlineMs
	if wait == 0 {
		wait = int64(kind.GetDeadlineMs())
	}
	// If a request waited unread while this process was paused, its deadline counts from the earliest time at
	// which it may have arrived. If it counted from now, the job could start after its caller gave up.
	deadline := s.pauses.EarliestArrival(s.clock.Now()) + time.Duration(wait)*time.Millisecond
	run := &jobRun{
		submissionID: r.ID,
		path:         kind.GetPath(),
		idempotent:   kind.GetIdempotent(),
		deadline:     deadline,
		taskTimeout:  time.Duration(kind.GetTaskTimeoutMs()) * time.Millisecond,
		payloads:     payloads(j),
		results:      make([]json.RawMessage, len(j.Tasks)),
		finish:       func(results []json.RawMessage, f *verdict.Failure) { s.finish(r, kind, results, f) },
	}
	if refusal := s.quotas.admit(team, len(j.Tasks)); refusal != nil {
		return refusal
	}
	key, refusal := s.dispatcher.submit(sched.Job{
		Kind:     j.Kind,
		Team:     team,
		Urgency:  u,
		Weight:   int(s.state.config().Document().GetTeams()[team].GetWeight()),
		Tasks:    len(j.Tasks),
		Deadline: deadline,
		RunTime:  time.Duration(kind.GetRunTimeMs()) * time.Millisecond,
		Needs:    resourcesFromProto(kind.GetNeeds()),
		Domains:  kind.GetDomains(),
	}, run)
	if refusal != nil {
		s.quotas.refund(team, len(j.Tasks))
		return refusal
	}
	s.trackRunning(r, key)
	return nil
}

// trackRunning stores the job of a submission that has not ended yet.
func (s *submissions) trackRunning(r *submission.Record, key sched.JobKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-r.Done():
	default:
		s.running[r.ID] = key
	}
}

// finish ends a submission with its results or its failure.
func (s *submissions) finish(r *submission.Record, kind *schema.Kind, results []json.RawMessage, f *verdict.Failure) {
	if f != nil {
		s.recordResponse(r, failureResponse(r.ID, kind, f))
		return
	}
	body, err := json.Marshal(schema.Answer{Id: r.ID, Outcome: outcomeComplete, Results: results})
	if err != nil {
		f = verdict.Wrap(err, verdict.MayHaveRun, verdict.Internal, "encoding the answer")
		s.recordResponse(r, failureResponse(r.ID, kind, f))
		return
	}
	s.recordResponse(r, submission.Response{Status: http.StatusOK, Body: body})
}

// finishBadRequest ends a submission whose request is invalid. A corrected request may follow under the
// same identifier.
func (s *submissions) finishBadRequest(r *submission.Record, kind *schema.Kind, f *verdict.Failure) {
	s.metrics.countRefusal(f.Reason)
	resp := failureResponse(r.ID, kind, f)
	resp.BadRequest = true
	s.recordResponse(r, resp)
}

// recordResponse ends a record with its final response. A process that was paused for longer than the
// lifetime of the identifier ends its jobs when it resumes. By then its peers report to their callers
// that it is gone, so it must give the same response.
func (s *submissions) recordResponse(r *submission.Record, resp submission.Response) {
	if s.clock.Now() > r.MintedAt()+s.identifierLifetime() {
		resp = failureResponse(r.ID, nil, ownerGoneFailure())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r.ID)
	s.table.End(r, resp, s.clock.Now())
}

// failureResponse returns the final response for a failure.
func failureResponse(id string, kind *schema.Kind, f *verdict.Failure) submission.Response {
	f = withRetryAfter(f)
	body, _ := json.Marshal(failureAnswer(id, f, kind.GetIdempotent())) // plain strings always encode
	return submission.Response{Status: httpStatus(f), Body: body, RetryAfter: f.RetryAfter}
}

// defaultRetryAfter is the Retry-After of a failure that sets none. By then, refused starts and lost
// connections have usually passed.
const defaultRetryAfter = time.Second

// withRetryAfter returns the failure with a Retry-After, unless the request itself is invalid and would
// be refused again.
func withRetryAfter(f *verdict.Failure) *verdict.Failure {
	if f.RetryAfter > 0 || httpStatus(f) < http.StatusInternalServerError {
		return f
	}
	return f.WithRetryAfter(defaultRetryAfter)
}

// failureAnswer returns the answer for a failure.
func failureAnswer(id string, f *verdict.Failure, idempotent bool) schema.Answer {
	return schema.Answer{
		Id:           id,
		Outcome:      outcomeFailed,
		Verdict:      f.Verdict.String(),
		Reason:       string(f.Reason),
		Message:      f.Message,
		Resubmit:     f.ResubmitSafety(idempotent),
		RetryAfterMs: f.RetryAfter.Milliseconds(),
	}
}

// cancel cancels a running submission at its caller's request.
func (s *submissions) cancel(id string) {
	s.mu.Lock()
	key, ok := s.running[id]
	s.mu.Unlock()
	if ok {
		s.dispatcher.cancel(key)
	}
}

// cancelBeforeRequest returns the record of an identifier. If there is none, it creates one for the
// cancellation, so that a request that arrives later does not start the job.
func (s *submissions) cancelBeforeRequest(id submission.ID, team string) (*submission.Record, *verdict.Failure) {
	r, first, failure := s.table.BeginCancel(id, team, s.clock.Now())
	if first {
		s.finish(r, nil, nil, verdict.New(verdict.NotRun, verdict.Canceled, "canceled by the caller before the job arrived"))
	}
	return r, failure
}

// wait returns the final response of a submission, or false if the context ends first.
func (s *submissions) wait(ctx context.Context, r *submission.Record) (submission.Response, bool) {
	select {
	case <-r.Done():
		return r.Response(), true
	case <-ctx.Done():
		return submission.Response{}, false
	}
}
