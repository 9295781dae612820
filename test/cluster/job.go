// Jobs for tests, and the check of a complete answer.

package cluster

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/lavendercleat/lavendercleat/client"
	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Job returns a job whose payloads contain the mark of the job and the index of the task.
func Job(kind string, mark string, tasks int) schema.Job {
	j := schema.Job{Kind: kind, Tasks: make([]schema.Task, tasks)}
	for i := range j.Tasks {
		j.Tasks[i].Payload = json.RawMessage(fmt.Sprintf(`{"mark":%q,"task":%d}`, mark, i))
	}
	return j
}

// CheckComplete checks that an answer is complete: it has the results of all tasks of the job, in
// task order, and no other job's. It is safe to call from any goroutine.
func CheckComplete(t testing.TB, j schema.Job, r client.Reply) bool {
	t.Helper()
	if r.Outcome != client.Complete {
		t.Errorf("expected outcome %s, got %s, status %d: %s (%s): %s", client.Complete, r.Outcome, r.Status, r.Reason, r.Verdict, r.Message)
		return false
	}
	if len(r.Results) != len(j.Tasks) {
		t.Errorf("got %d results for %d tasks", len(r.Results), len(j.Tasks))
		return false
	}
	for i, raw := range r.Results {
		var res standinbackend.Result
		if err := json.Unmarshal(raw, &res); err != nil {
			t.Errorf("result %d is not valid JSON of a result: %v", i, err)
			return false
		}
		if res.Submission != r.Id || res.Task != i || string(res.Payload) != string(j.Tasks[i].Payload) {
			t.Errorf("result %d does not belong to task %d of submission %s: %s", i, i, r.Id, raw)
			return false
		}
	}
	return true
}
