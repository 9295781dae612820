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

// CallRecorder records what callers were told about each submission, to be compared with
// what the backend servers saw. It is safe for concurrent use.
type CallRecorder struct {
	mu      sync.Mutex
	entries map[string]*ledgerEntry
}

// ledgerEntry is one submission with every final answer told about it, oldest first.
type ledgerEntry struct {
	job   schema.Job
	final []client.Reply
}

// NewCallRecorder returns an empty ledger.
func NewCallRecorder() *CallRecorder { return &CallRecorder{entries: make(map[string]*ledgerEntry)} }

// Report counts the broken promises that a ledger and a witness show.
type Report struct {
	// Submissions counts the submissions sent; Complete and Failed their first
	// endings, NotRun the failures told as not run.
	Submissions, Complete, Failed, NotRun int
	// Starts counts the tasks' starts, DoubledStarts those of a task that had started.
	Starts, DoubledStarts int64
	// Unanswered counts submissions without any final answer.
	Unanswered int
	// PartialAnswers counts complete answers that lack a task, carry another caller's
	// results, or that no backend server ran.
	PartialAnswers int
	// WrongNotRun counts submissions told as not run that had started.
	WrongNotRun int
	// TwoEndings counts submissions told two different endings.
	TwoEndings int
	// Forgotten counts repeated questions whose answer died with its owner or expired;
	// each was told before, so this breaks no promise.
	Forgotten int
}

// String returns the report on one line.
func (r Report) String() string {
	return fmt.Sprintf("submissions=%d complete=%d failed=%d not_run=%d starts=%d doubled_starts=%d unanswered=%d partial=%d wrong_not_run=%d two_endings=%d forgotten=%d",
		r.Submissions, r.Complete, r.Failed, r.NotRun, r.Starts, r.DoubledStarts, r.Unanswered, r.PartialAnswers, r.WrongNotRun, r.TwoEndings, r.Forgotten)
}

// RecordRequest records that a job is sent under an identifier; call it before sending.
func (l *CallRecorder) RecordRequest(id string, j schema.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[id] == nil {
		l.entries[id] = &ledgerEntry{job: j}
	}
}

// RecordReply records what a caller was told about a submission that was sent; replies that
// are not final are left out. Don't record a reply to another body or team's request:
// its "not run" is about that request, not the submission.
func (l *CallRecorder) RecordReply(id string, r client.Reply) {
	if !r.Final() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	e.final = append(e.final, r)
}

// Put sends a job under an identifier once and records the answer.
func (l *CallRecorder) Put(ctx context.Context, c *client.Client, id string, j schema.Job) (client.Reply, error) {
	l.RecordRequest(id, j)
	r, err := c.Put(ctx, id, j)
	if err == nil {
		l.RecordReply(id, r)
	}
	return r, err
}

// Submit reserves an identifier and sends the job until there is a final answer,
// each time through the client that pick returns, and records every answer. A
// reservation is repeated too; it runs nothing.
func (l *CallRecorder) Submit(ctx context.Context, pick func() *client.Client, j schema.Job) (client.Reply, error) {
	var id string
	for id == "" {
		ids, err := pick().Reserve(ctx, 1)
		if err == nil {
			id = ids[0]
			break
		}
		if !clock.Sleep(ctx, askAgain) {
			return client.Reply{}, err
		}
	}
	return l.Ask(ctx, pick, id, j)
}

// askAgain is the pause before a caller asks again without advice.
const askAgain = 100 * time.Millisecond

// Ask sends the job under a reserved identifier until there is a final answer.
func (l *CallRecorder) Ask(ctx context.Context, pick func() *client.Client, id string, j schema.Job) (client.Reply, error) {
	for {
		r, err := l.Put(ctx, pick(), id, j)
		if err == nil && r.Final() {
			return r, nil
		}
		if !clock.Sleep(ctx, max(r.RetryAfter, askAgain)) {
			return r, ctx.Err()
		}
	}
}

// Report compares what callers were told with what the backend servers saw. Take the
// witness after all work has ended.
func (l *CallRecorder) Report(w standinbackend.RunRecord) Report {
	r, _ := l.compare(w)
	return r
}

// Check reports an error for every broken promise and returns the report.
func (l *CallRecorder) Check(t testing.TB, w standinbackend.RunRecord) Report {
	t.Helper()
	r, broken := l.compare(w)
	const shown = 10
	for i, b := range broken {
		if i == shown {
			t.Errorf("and %d more", len(broken)-shown)
			break
		}
		t.Error(b)
	}
	return r
}

func (l *CallRecorder) compare(w standinbackend.RunRecord) (r Report, broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	note := func(count *int, format string, args ...any) {
		*count++
		broken = append(broken, fmt.Sprintf(format, args...))
	}
	for _, order := range w.Unidentified {
		broken = append(broken, "order without a task: "+order)
	}
	for task, n := range w.Tasks {
		r.Starts += int64(n)
		if n > 1 {
			r.DoubledStarts += int64(n - 1)
			broken = append(broken, fmt.Sprintf("doubled start: task %s started %d times", task, n))
		}
	}
	for id, e := range l.entries {
		r.Submissions++
		if len(e.final) == 0 {
			note(&r.Unanswered, "unanswered: submission %s got no final answer", id)
			continue
		}
		starts := e.starts(id, w)
		r.count(e.final[0])
		for i, told := range e.final {
			switch {
			case told.Outcome == client.Complete && (starts < len(e.job.Tasks) || !e.whole(id, told)):
				note(&r.PartialAnswers, "partial answer: submission %s has %d tasks, %d started, %d results", id, len(e.job.Tasks), starts, len(told.Results))
			case told.Verdict == verdict.NotRun.String() && starts > 0:
				note(&r.WrongNotRun, "wrong not-run: submission %s was told %s (%s) but %d tasks started", id, told.Verdict, told.Reason, starts)
			}
			if i == 0 || sameEnding(e.final[0], told) {
				continue
			}
			if forgotten(told) {
				r.Forgotten++
				continue
			}
			note(&r.TwoEndings, "two endings: submission %s was told %s, then %s", id, describe(e.final[0]), describe(told))
		}
	}
	return r, broken
}

func (r *Report) count(told client.Reply) {
	switch {
	case told.Outcome == client.Complete:
		r.Complete++
	case told.Verdict == verdict.NotRun.String():
		r.NotRun++
		r.Failed++
	default:
		r.Failed++
	}
}

// starts returns how many of the submission's tasks started.
func (e *ledgerEntry) starts(id string, w standinbackend.RunRecord) int {
	n := 0
	for i := range e.job.Tasks {
		if w.Tasks[fmt.Sprintf("%s/%d", id, i)] > 0 {
			n++
		}
	}
	return n
}

// whole tells whether a complete answer has every result, in order, and is the
// caller's own.
func (e *ledgerEntry) whole(id string, r client.Reply) bool {
	if len(r.Results) != len(e.job.Tasks) {
		return false
	}
	for i, raw := range r.Results {
		var res standinbackend.Result
		if json.Unmarshal(raw, &res) != nil {
			return false
		}
		if res.Submission != id || res.Task != i || !bytes.Equal(res.Payload, e.job.Tasks[i].Payload) {
			return false
		}
	}
	return true
}

// sameEnding tells whether two final answers say the same.
func sameEnding(a, b client.Reply) bool {
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

// forgotten tells whether an answer says that the earlier one is no longer kept.
func forgotten(r client.Reply) bool {
	gone := r.Reason == string(verdict.OwnerGone) || r.Reason == string(verdict.IdentifierExpired)
	return gone && r.Verdict == verdict.MayHaveRun.String()
}

func describe(r client.Reply) string {
	if r.Outcome == client.Complete {
		return client.Complete
	}
	return fmt.Sprintf("%s %s (%s)", r.Outcome, r.Reason, r.Verdict)
}
