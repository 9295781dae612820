package test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// job returns a job whose payloads name the job and the task.
func job(kind string, mark string, tasks int) schema.Job {
	j := schema.Job{Kind: kind, Tasks: make([]schema.Task, tasks)}
	for i := range j.Tasks {
		j.Tasks[i].Payload = json.RawMessage(fmt.Sprintf(`{"mark":%q,"task":%d}`, mark, i))
	}
	return j
}

// checkWhole checks that an answer is whole, in task order, and the job's own.
func checkWhole(t testing.TB, j schema.Job, r client.Reply) {
	t.Helper()
	assert.Equal(t, r.Outcome, client.Complete, "%s %s", r.Reason, r.Message)
	assert.Equal(t, len(r.Results), len(j.Tasks))
	for i, raw := range r.Results {
		var res standinbackend.Result
		assert.NilError(t, json.Unmarshal(raw, &res))
		assert.Equal(t, res.Submission, r.Id)
		assert.Equal(t, res.Task, i)
		assert.Equal(t, string(res.Payload), string(j.Tasks[i].Payload))
	}
}

// 500 callers send jobs of 1 to 40 tasks to random entries. Each gets the whole answer
// to its own job, and the backend servers saw each task exactly once.
func TestEveryCallerGetsWholeOwnAnswer(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 2, Workers: 4})
	const jobs, callers = 500, 50
	var wg sync.WaitGroup
	var mu sync.Mutex
	tasks := 0
	for caller := range callers {
		wg.Go(func() {
			for n := range jobs / callers {
				j := job(cluster.Quote, fmt.Sprintf("%d/%d", caller, n), 1+rand.IntN(40))
				e := c.Entries[rand.IntN(len(c.Entries))]
				r, err := e.Client(cluster.Token).Submit(t.Context(), j)
				if !assert.Check(t, err) {
					return
				}
				checkWhole(t, j, r)
				mu.Lock()
				tasks += len(j.Tasks)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	w := c.Witness()
	assert.Equal(t, w.Doubled, int64(0))
	assert.Equal(t, w.Starts, int64(tasks))
}
