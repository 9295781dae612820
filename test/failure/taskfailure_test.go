// Tests of tasks that fail after their start, and helpers of this package's tests.

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

// maxFailureDelay is the maximum time until a caller learns of a failure. It is far below the deadline
// of the test kinds, 10 s.
const maxFailureDelay = 3 * time.Second

// checkFailedAfterStart checks the answer for a job that failed after a start: it arrives in time, has
// the verdict may-have-run, the time to retry, no results, and says whether a new submission is safe.
func checkFailedAfterStart(t *testing.T, r client.Reply, took time.Duration, reason, resubmit string) {
	t.Helper()
	assert.Equal(t, r.Outcome, client.Failed)
	assert.Equal(t, r.Verdict, "may-have-run")
	assert.Equal(t, r.Reason, reason)
	assert.Equal(t, r.Resubmit, resubmit)
	assert.Equal(t, len(r.Results), 0)
	assert.Assert(t, r.RetryAfter > 0 && r.RetryAfterMs > 0)
	assert.Assert(t, took < maxFailureDelay, "the answer took %s, expected less than %s", took, maxFailureDelay)
}

// Guards against a second start after a lost reply. A backend server runs a task, and the connection
// breaks before or within its reply. The caller must learn at once that the job failed and may have run.
// The entry must not start the task again, because the first start may have booked the crusher. A
// repeated request must receive the same answer.
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

// jobWithPayload returns a booking of five tasks, of which the task at index at has the given payload.
func jobWithPayload(mark string, at int, payload string) schema.Job {
	j := cluster.Job(cluster.Booking, mark, 5)
	j.Tasks[at].Payload = json.RawMessage(payload)
	return j
}

// Guards against partial results and leaked slots after one task of a job has failed or has exceeded the
// kind's task time-out. The test does so at each position in the job. The caller must receive one failure
// without results, no waiting task of the job may start later, and all slots must be free again.
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

// Guards against slow failures and refusals after the death of a backend server. The server is killed
// while it runs a task of a job and another server runs the rest. The caller must learn at once that
// the job failed. Later bookings run on the remaining server, and after a restart on both.
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
		type timedReply struct {
			r    client.Reply
			when time.Time
		}
		done := make(chan timedReply, 1)
		go func() {
			r, err := recorder.Put(t.Context(), e, id, job)
			assert.Check(t, err)
			done <- timedReply{r, time.Now()}
		}()
		cluster.Eventually(t, 10*time.Second, "the server to be killed runs a task", func() bool {
			return c.RunRecord().Tasks[fmt.Sprintf("%s/%d", id, at)] == 1 && c.RunRecordOf(victim).Starts > 0
		})
		killed := time.Now()
		c.KillWorker(victim)
		r := <-done
		checkFailedAfterStart(t, r.r, r.when.Sub(killed), "connection_lost", "unsafe")

		// The entry must not refuse a job that the remaining server can run.
		after := cluster.Job(cluster.Booking, fmt.Sprint("after ", at), 4)
		got, err := recorder.Submit(t.Context(), roundRobin(c, 0), after)
		assert.NilError(t, err)
		cluster.CheckComplete(t, after, got)
		c.RestartWorker(victim)
	}
	t.Log(recorder.Check(t, c.RunRecord()))
}

// roundRobin returns a function that returns clients for the entries in turn, starting at index first.
func roundRobin(c *cluster.Cluster, first int) func() *client.Client {
	n := first
	return func() *client.Client {
		e := c.Entries[n%len(c.Entries)]
		n++
		return e.Client(cluster.Token)
	}
}

// waitIdle waits until no entry has a running or waiting task and all slots are free.
func waitIdle(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, e := range c.Entries {
		cluster.Eventually(t, 10*time.Second, "no task runs or waits and all slots are free", func() bool {
			return e.Metric(t, "lavendercleat_running_tasks") == 0 && e.Metric(t, "lavendercleat_waiting_tasks") == 0 &&
				e.Metric(t, "lavendercleat_free_slots") == e.Metric(t, "lavendercleat_slots")
		})
	}
}
