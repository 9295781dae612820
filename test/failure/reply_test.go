package failure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// atOnce is far below the deadline of 10 s of the test kinds.
const maxFailureDelay = 3 * time.Second

// checkGivenUp checks a job that failed after a start: told at once, as may have run,
// with the time to come back, and whether a new submission is harmless.
func checkFailedAfterStart(t *testing.T, r client.Reply, took time.Duration, reason, resubmit string) {
	t.Helper()
	assert.Equal(t, r.Outcome, client.Failed)
	assert.Equal(t, r.Verdict, "may-have-run")
	assert.Equal(t, r.Reason, reason)
	assert.Equal(t, r.Resubmit, resubmit)
	assert.Equal(t, len(r.Results), 0)
	assert.Assert(t, r.RetryAfter > 0 && r.RetryAfterMs > 0)
	assert.Assert(t, took < maxFailureDelay, "told after %s", took)
}

// A backend server runs a task, and its answer is lost: the connection breaks instead
// of the answer, or in its middle. The caller hears at once that the job failed and
// may have run. The task is never started again, for the first start may have booked
// the crusher; a caller that asks again hears the same.
func TestReplyLostAfterStart(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2})
	for _, mode := range []standinbackend.Mode{standinbackend.DropReply, standinbackend.CutReply} {
		for kind, resubmit := range map[string]string{cluster.Booking: "unsafe", cluster.Quote: "safe"} {
			t.Run(fmt.Sprintf("%s %s", mode, kind), func(t *testing.T) {
				lost := 1
				for _, w := range c.Workers {
					c.SetWorkerBehaviour(w, standinbackend.Behaviour{Mode: mode, RunMS: 20, OnlyTask: &lost})
				}
				recorder := cluster.NewCallRecorder()
				owner, other := c.Entries[0].Client(cluster.Token), c.Entries[1].Client(cluster.Token)
				id := reserve(t, owner)
				job := cluster.Job(kind, "lost", 3)
				begin := time.Now()
				r, err := recorder.Put(t.Context(), owner, id, job)
				took := time.Since(begin)
				assert.NilError(t, err)
				recorder.Check(t, c.RunRecord())
				checkFailedAfterStart(t, r, took, "connection_lost", resubmit)
				assert.Equal(t, r.Status, http.StatusBadGateway)
				for range 3 {
					_, err = recorder.Put(t.Context(), other, id, job)
					assert.NilError(t, err)
				}
				recorder.Check(t, c.RunRecord())
			})
		}
	}
}

// failing returns a job of five tasks whose payload at one position is replaced.
func jobWithPayload(mark string, at int, payload string) schema.Job {
	j := cluster.Job(cluster.Booking, mark, 5)
	j.Tasks[at].Payload = json.RawMessage(payload)
	return j
}

// One task of a job fails, or runs beyond the kind's task timeout, at each position
// in turn, while the others succeed. The caller gets one clear failure and no result;
// nothing that was waiting starts later, and the slots are free again.
func TestTaskFailsAtEveryPosition(t *testing.T) {
	doc := cluster.Config()
	doc.Kinds[cluster.Booking].TaskTimeoutMs = 500
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1, Slots: 4, Config: doc})
	recorder := cluster.NewCallRecorder()
	for at := range 5 {
		for reason, payload := range map[string]string{"task_failed": `{"fail":true,"run_ms":30}`, "task_timeout": `{"run_ms":20000}`} {
			e := c.Entries[at%2].Client(cluster.Token)
			begin := time.Now()
			r, err := recorder.Put(t.Context(), e, reserve(t, e), jobWithPayload(reason, at, payload))
			assert.NilError(t, err)
			checkFailedAfterStart(t, r, time.Since(begin), reason, "unsafe")
		}
	}
	waitIdle(t, c)
	starts := c.RunRecord().Starts
	job := cluster.Job(cluster.Booking, "after", 10)
	r, err := recorder.Submit(t.Context(), roundRobin(c, 0), job)
	assert.NilError(t, err)
	cluster.CheckComplete(t, job, r)
	assert.Equal(t, c.RunRecord().Starts, starts+10)
	t.Log(recorder.Check(t, c.RunRecord()))
}

// A backend server is killed while it runs one task of a job and another backend
// server runs the rest. The caller hears at once that the job failed; then bookings
// run on the server that is left, and on both after a restart.
func TestWorkerKilledAtEveryPosition(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 2, Slots: 2})
	recorder := cluster.NewCallRecorder()
	e := c.Entries[0].Client(cluster.Token)
	victim := c.Workers[0]
	for at := range 4 {
		job := cluster.Job(cluster.Booking, fmt.Sprint("killed ", at), 4)
		for i := range job.Tasks {
			job.Tasks[i].Payload = json.RawMessage(`{"run_ms":6000}`)
		}
		id := reserve(t, e)
		type told struct {
			r    client.Reply
			when time.Time
		}
		done := make(chan told, 1)
		go func() {
			r, err := recorder.Put(t.Context(), e, id, job)
			assert.Check(t, err)
			done <- told{r, time.Now()}
		}()
		cluster.Eventually(t, 10*time.Second, "the victim runs its tasks", func() bool {
			return c.RunRecord().Tasks[fmt.Sprintf("%s/%d", id, at)] == 1 && c.RunRecordOf(victim).Starts > 0
		})
		killed := time.Now()
		c.KillWorker(victim)
		r := <-done
		checkFailedAfterStart(t, r.r, r.when.Sub(killed), "connection_lost", "unsafe")

		// A worker that is gone is no reason to refuse what the other can run.
		after := cluster.Job(cluster.Booking, fmt.Sprint("after ", at), 4)
		got, err := recorder.Submit(t.Context(), roundRobin(c, 0), after)
		assert.NilError(t, err)
		cluster.CheckComplete(t, after, got)
		c.RestartWorker(victim)
	}
	t.Log(recorder.Check(t, c.RunRecord()))
}

// pick returns a function that gives the entries' clients in turn, from one on.
func roundRobin(c *cluster.Cluster, from int) func() *client.Client {
	n := from
	return func() *client.Client {
		e := c.Entries[n%len(c.Entries)]
		n++
		return e.Client(cluster.Token)
	}
}

// waitIdle waits until no entry runs a task or has one waiting.
func waitIdle(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, e := range c.Entries {
		cluster.Eventually(t, 10*time.Second, "no task runs or waits", func() bool {
			return e.Metric(t, "lavendercleat_running_tasks") == 0 && e.Metric(t, "lavendercleat_waiting_tasks") == 0 &&
				e.Metric(t, "lavendercleat_free_slots") == e.Metric(t, "lavendercleat_slots")
		})
	}
}
