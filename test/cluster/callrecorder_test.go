// The test of the comparison that finds violations of the guarantees to callers.

package cluster

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	"github.com/lavendercleat/lavendercleat/schema"
)

// completeReply returns a reply with the result of every task of the job.
func completeReply(id string, j schema.Job) client.Reply {
	r := client.Reply{Answer: schema.Answer{Id: id, Outcome: client.Complete}}
	for i, task := range j.Tasks {
		b, _ := json.Marshal(standinbackend.Result{Submission: id, Task: i, Payload: task.Payload})
		r.Results = append(r.Results, b)
	}
	return r
}

// failedReply returns a reply that the job failed.
func failedReply(verdict, reason string) client.Reply {
	return client.Reply{Answer: schema.Answer{Outcome: client.Failed, Verdict: verdict, Reason: reason}}
}

// newRunRecord returns the run record of tasks that each started n times.
func newRunRecord(n int, tasks ...string) standinbackend.RunRecord {
	w := standinbackend.RunRecord{Tasks: make(map[string]int)}
	for _, task := range tasks {
		w.Tasks[task] = n
	}
	return w
}

// Guards against a recorder that misses a violation of the guarantees to callers, or that reports one
// where none is.
func TestCallRecorderCompare(t *testing.T) {
	j := Job(Quote, "m", 2)
	full := completeReply("a", j)
	partial := full
	partial.Results = full.Results[:1]
	for _, c := range []struct {
		name    string
		answers []client.Reply
		runs    standinbackend.RunRecord
		want    Report
	}{
		{"whole", []client.Reply{full, full}, newRunRecord(1, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 2}},
		{"never started", []client.Reply{full}, newRunRecord(1, "a/0"), Report{Submissions: 1, Complete: 1, Starts: 1, PartialAnswers: 1}},
		{"partial", []client.Reply{partial}, newRunRecord(1, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 2, PartialAnswers: 1}},
		{"another's", []client.Reply{completeReply("b", j)}, newRunRecord(1, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 2, PartialAnswers: 1}},
		{"doubled", []client.Reply{full}, newRunRecord(2, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 4, DuplicateStarts: 2}},
		{"unanswered", nil, newRunRecord(1), Report{Submissions: 1, Unanswered: 1}},
		{"wrong not-run", []client.Reply{failedReply("not-run", "overloaded")}, newRunRecord(1, "a/1"), Report{Submissions: 1, Failed: 1, NotRun: 1, Starts: 1, WrongNotRun: 1}},
		{"not run", []client.Reply{failedReply("not-run", "overloaded")}, newRunRecord(1), Report{Submissions: 1, Failed: 1, NotRun: 1}},
		{"conflicting answers", []client.Reply{failedReply("may-have-run", "task_failed"), full}, newRunRecord(1, "a/0", "a/1"), Report{Submissions: 1, Failed: 1, Starts: 2, ConflictingAnswers: 1}},
		{"forgotten", []client.Reply{full, failedReply("may-have-run", "owner_gone")}, newRunRecord(1, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 2, UnavailableAnswers: 1}},
		{"expired reported as not-run", []client.Reply{full, failedReply("not-run", "identifier_expired")}, newRunRecord(1, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 2, WrongNotRun: 1, ConflictingAnswers: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := NewCallRecorder()
			recorder.RecordRequest("a", j)
			for _, r := range c.answers {
				recorder.RecordReply("a", r)
			}
			got, violations := recorder.compare(c.runs)
			assert.Equal(t, got, c.want)
			expected := got.DuplicateStarts + int64(got.Unanswered+got.PartialAnswers+got.WrongNotRun+got.ConflictingAnswers)
			assert.Equal(t, len(violations) > 0, expected > 0, fmt.Sprint(violations))
		})
	}
}
