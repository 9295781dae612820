// The record of requests and answers, and its comparison with the runs on the backend servers.

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/internal/clock"
	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// CallRecorder records the requests of callers and the final answers to them. A test compares them
// with the runs that the backend servers recorded. It is safe for concurrent use.
type CallRecorder struct {
	mu          sync.Mutex
	submissions map[string]*submission
}

// submission is one submission with the final answers to it, in the order of arrival.
type submission struct {
	job     schema.Job
	answers []client.Reply
}

// NewCallRecorder returns a recorder without submissions.
func NewCallRecorder() *CallRecorder { return &CallRecorder{submissions: make(map[string]*submission)} }

// Report counts the submissions by outcome, and the violations of the guarantees to callers.
type Report struct {
	// Submissions counts the submissions sent. Complete and Failed count them by their first
	// final answer. NotRun counts the failures with the verdict not-run.
	Submissions, Complete, Failed, NotRun int
	// Starts counts the starts of tasks, and DuplicateStarts those of tasks that had started before.
	Starts, DuplicateStarts int64
	// Unanswered counts the submissions without a final answer.
	Unanswered int
	// PartialAnswers counts the complete answers that lack a task's result, that have another
	// caller's results, or whose tasks no backend server started.
	PartialAnswers int
	// WrongNotRun counts the answers with the verdict not-run to submissions that had started.
	WrongNotRun int
	// ConflictingAnswers counts the answers that differ from the first answer to the submission.
	ConflictingAnswers int
	// UnavailableAnswers counts the repeated requests whose answer was lost with its owner or has
	// expired. The caller had received the answer before, so this violates no guarantee.
	UnavailableAnswers int
}

// String returns the report on one line. The keys of DuplicateStarts, ConflictingAnswers and
// UnavailableAnswers are doubled_starts, two_endings and forgotten.
func (r Report) String() string {
	return fmt.Sprintf("submissions=%d complete=%d failed=%d not_run=%d starts=%d doubled_starts=%d unanswered=%d partial=%d wrong_not_run=%d two_endings=%d forgotten=%d",
		r.Submissions, r.Complete, r.Failed, r.NotRun, r.Starts, r.DuplicateStarts, r.Unanswered, r.PartialAnswers, r.WrongNotRun, r.ConflictingAnswers, r.UnavailableAnswers)
}

// RecordRequest records that a caller sends a job under an identifier. Call it before the request.
func (rec *CallRecorder) RecordRequest(id string, j schema.Job) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.submissions[id] == nil {
		rec.submissions[id] = &submission{job: j}
	}
}

// RecordReply records a reply to a submission if the reply is final. Do not record the reply to a
// request with another body or from another team: its verdict not-run applies to that request and
// not to the submission.
func (rec *CallRecorder) RecordReply(id string, r client.Reply) {
	if !r.Final() {
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	s := rec.submissions[id]
	s.answers = append(s.answers, r)
}

// Put sends a job under an identifier once and records the reply.
func (rec *CallRecorder) Put(ctx context.Context, c *client.Client, id string, j schema.Job) (client.Reply, error) {
	rec.RecordRequest(id, j)
	r, err := c.Put(ctx, id, j)
	if err == nil {
		rec.RecordReply(id, r)
	}
	return r, err
}

// Submit reserves an identifier and sends the job until it receives a final answer. It calls pick
// for the client of each request and records every reply. It repeats a failed reservation too,
// which is safe: a reservation runs nothing.
func (rec *CallRecorder) Submit(ctx context.Context, pick func() *client.Client, j schema.Job) (client.Reply, error) {
	var id string
	for id == "" {
		ids, err := pick().Reserve(ctx, 1)
		if err == nil {
			id = ids[0]
			break
		}
		if !clock.Sleep(ctx, retryInterval) {
			return client.Reply{}, err
		}
	}
	return rec.PutUntilFinal(ctx, pick, id, j)
}

// retryInterval is the time between requests if the reply does not give one.
const retryInterval = 100 * time.Millisecond

// PutUntilFinal sends the job under a reserved identifier until it receives a final answer.
func (rec *CallRecorder) PutUntilFinal(ctx context.Context, pick func() *client.Client, id string, j schema.Job) (client.Reply, error) {
	for {
		r, err := rec.Put(ctx, pick(), id, j)
		if err == nil && r.Final() {
			return r, nil
		}
		if !clock.Sleep(ctx, max(r.RetryAfter, retryInterval)) {
			return r, ctx.Err()
		}
	}
}

// Report compares the answers to callers with the runs that the backend servers recorded. Read
// these records after all work has ended.
func (rec *CallRecorder) Report(runs standinbackend.RunRecord) Report {
	r, _ := rec.compare(runs)
	return r
}

// Check is Report, and reports a test error for each violation.
func (rec *CallRecorder) Check(t testing.TB, runs standinbackend.RunRecord) Report {
	t.Helper()
	r, violations := rec.compare(runs)
	const shown = 10
	for i, violation := range violations {
		if i == shown {
			t.Errorf("and %d more violations", len(violations)-shown)
			break
		}
		t.Error(violation)
	}
	return r
}

// compare returns the report and a description of each violation.
func (rec *CallRecorder) compare(runs standinbackend.RunRecord) (r Report, violations []string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	violation := func(count *int, format string, args ...any) {
		*count++
		violations = append(violations, fmt.Sprintf(format, args...))
	}
	for _, request := range runs.Unidentified {
		violations = append(violations, "start request without a task: "+request)
	}
	for task, n := range runs.Tasks {
		r.Starts += int64(n)
		if n > 1 {
			r.DuplicateStarts += int64(n - 1)
			violations = append(violations, fmt.Sprintf("duplicate start: task %s started %d times", task, n))
		}
	}
	for id, s := range rec.submissions {
		r.Submissions++
		if len(s.answers) == 0 {
			violation(&r.Unanswered, "unanswered: submission %s got no final answer", id)
			continue
		}
		started := s.startedTasks(id, runs)
		r.countOutcome(s.answers[0])
		for i, answer := range s.answers {
			switch {
			case answer.Outcome == client.Complete && (started < len(s.job.Tasks) || !s.isComplete(id, answer)):
				violation(&r.PartialAnswers, "partial answer: submission %s has %d tasks, %d started, %d results", id, len(s.job.Tasks), started, len(answer.Results))
			case answer.Verdict == verdict.NotRun.String() && started > 0:
				violation(&r.WrongNotRun, "wrong not-run: submission %s got the answer %s (%s) but %d tasks started", id, answer.Verdict, answer.Reason, started)
			}
			if i == 0 || sameOutcome(s.answers[0], answer) {
				continue
			}
			if answerUnavailable(answer) {
				r.UnavailableAnswers++
				continue
			}
			violation(&r.ConflictingAnswers, "conflicting answers: submission %s got the answer %s first, then %s", id, formatReply(s.answers[0]), formatReply(answer))
		}
	}
	return r, violations
}

// countOutcome counts a submission by its first final answer.
func (r *Report) countOutcome(first client.Reply) {
	switch {
	case first.Outcome == client.Complete:
		r.Complete++
	case first.Verdict == verdict.NotRun.String():
		r.NotRun++
		r.Failed++
	default:
		r.Failed++
	}
}

// startedTasks returns the number of tasks of the submission that started at least once.
func (s *submission) startedTasks(id string, runs standinbackend.RunRecord) int {
	n := 0
	for i := range s.job.Tasks {
		if runs.Tasks[fmt.Sprintf("%s/%d", id, i)] > 0 {
			n++
		}
	}
	return n
}

// isComplete reports whether an answer has the result of every task, in task order, and all results
// belong to this submission.
func (s *submission) isComplete(id string, r client.Reply) bool {
	if len(r.Results) != len(s.job.Tasks) {
		return false
	}
	for i, raw := range r.Results {
		var res standinbackend.Result
		if json.Unmarshal(raw, &res) != nil {
			return false
		}
		if res.Submission != id || res.Task != i || !bytes.Equal(res.Payload, s.job.Tasks[i].Payload) {
			return false
		}
	}
	return true
}

// sameOutcome reports whether two final answers agree in outcome, verdict, reason and results.
func sameOutcome(a, b client.Reply) bool {
	if a.Outcome != b.Outcome || a.Verdict != b.Verdict || a.Reason != b.Reason || len(a.Results) != len(b.Results) {
		return false
	}
	for i := range a.Results {
		if !bytes.Equal(a.Results[i], b.Results[i]) {
			return false
		}
	}
	return true
}

// answerUnavailable reports whether the reply says that the earlier answer is no longer available:
// its owner is gone or the identifier has expired.
func answerUnavailable(r client.Reply) bool {
	unavailable := r.Reason == string(verdict.OwnerGone) || r.Reason == string(verdict.IdentifierExpired)
	return unavailable && r.Verdict == verdict.MayHaveRun.String()
}

// formatReply returns the outcome of a reply, and for a failure its reason and verdict.
func formatReply(r client.Reply) string {
	if r.Outcome == client.Complete {
		return client.Complete
	}
	return fmt.Sprintf("%s %s (%s)", r.Outcome, r.Reason, r.Verdict)
}
