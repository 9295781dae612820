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

func complete(id string, j schema.Job) client.Reply {
	r := client.Reply{Answer: schema.Answer{Id: id, Outcome: client.Complete}}
	for i, task := range j.Tasks {
		b, _ := json.Marshal(standinbackend.Result{Submission: id, Task: i, Payload: task.Payload})
		r.Results = append(r.Results, b)
	}
	return r
}

func failed(verdict, reason string) client.Reply {
	return client.Reply{Answer: schema.Answer{Outcome: client.Failed, Verdict: verdict, Reason: reason}}
}

// seen returns the witness of tasks that each started n times.
func seen(n int, tasks ...string) standinbackend.RunRecord {
	w := standinbackend.RunRecord{Tasks: make(map[string]int)}
	for _, task := range tasks {
		w.Tasks[task] = n
	}
	return w
}

func TestLedgerFindsBrokenPromises(t *testing.T) {
	j := Job(Quote, "m", 2)
	whole := complete("a", j)
	partial := whole
	partial.Results = whole.Results[:1]
	for _, c := range []struct {
		name string
		told []client.Reply
		w    standinbackend.RunRecord
		want Report
	}{
		{"whole", []client.Reply{whole, whole}, seen(1, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 2}},
		{"never started", []client.Reply{whole}, seen(1, "a/0"), Report{Submissions: 1, Complete: 1, Starts: 1, PartialAnswers: 1}},
		{"partial", []client.Reply{partial}, seen(1, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 2, PartialAnswers: 1}},
		{"another's", []client.Reply{complete("b", j)}, seen(1, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 2, PartialAnswers: 1}},
		{"doubled", []client.Reply{whole}, seen(2, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 4, DoubledStarts: 2}},
		{"unanswered", nil, seen(1), Report{Submissions: 1, Unanswered: 1}},
		{"wrong not-run", []client.Reply{failed("not-run", "overloaded")}, seen(1, "a/1"), Report{Submissions: 1, Failed: 1, NotRun: 1, Starts: 1, WrongNotRun: 1}},
		{"not run", []client.Reply{failed("not-run", "overloaded")}, seen(1), Report{Submissions: 1, Failed: 1, NotRun: 1}},
		{"two endings", []client.Reply{failed("may-have-run", "task_failed"), whole}, seen(1, "a/0", "a/1"), Report{Submissions: 1, Failed: 1, Starts: 2, TwoEndings: 1}},
		{"forgotten", []client.Reply{whole, failed("may-have-run", "owner_gone")}, seen(1, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 2, Forgotten: 1}},
		{"expired is not not-run", []client.Reply{whole, failed("not-run", "identifier_expired")}, seen(1, "a/0", "a/1"), Report{Submissions: 1, Complete: 1, Starts: 2, WrongNotRun: 1, TwoEndings: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewCallRecorder()
			l.RecordRequest("a", j)
			for _, r := range c.told {
				l.RecordReply("a", r)
			}
			got, broken := l.compare(c.w)
			assert.Equal(t, got, c.want)
			faults := got.DoubledStarts + int64(got.Unanswered+got.PartialAnswers+got.WrongNotRun+got.TwoEndings)
			assert.Equal(t, len(broken) > 0, faults > 0, fmt.Sprint(broken))
		})
	}
}
