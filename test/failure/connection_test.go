// Tests of connections to backend servers that are refused, break or go silent.

package failure

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// Guards against bookings that fail because one backend server is down. Connections to it are refused
// before any byte is sent, which proves that no task started. The entry must send the tasks to the other
// backend server, and every booking must be complete.
func TestRefusedConnectionIsRetried(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 2, Slots: 4, WorkerProxy: true})
	c.Workers[0].Proxy.Cut()
	recorder := cluster.NewCallRecorder()
	for n := range 5 {
		job := cluster.Job(cluster.Booking, fmt.Sprint(n), 4)
		r, err := recorder.Submit(t.Context(), roundRobin(c, 0), job)
		assert.NilError(t, err)
		cluster.CheckComplete(t, job, r)
	}
	assert.Assert(t, c.Entries[0].Metric(t, `lavendercleat_retries_total{reason="dial_failed"}`) > 0)
	t.Log(recorder.Check(t, c.RunRecord()))
}

// Guards against automatic retries by net/http. The proxy closes the idle connections 100 times, and a
// booking follows at once each time. A task must start at most once. If it is not certain that the
// request was unsent, the answer must have the verdict may-have-run.
func TestClosedIdleConnectionIsNotRetried(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1, WorkerProxy: true, RunTime: time.Millisecond})
	recorder := cluster.NewCallRecorder()
	const rounds = 100
	for n := range rounds {
		_, err := recorder.Submit(t.Context(), roundRobin(c, 0), cluster.Job(cluster.Booking, fmt.Sprint(n), 2))
		assert.NilError(t, err)
		c.Workers[0].Proxy.BreakExisting()
	}
	r := recorder.Check(t, c.RunRecord())
	t.Log(r)
	assert.Assert(t, r.Complete >= rounds/2, "%s", r)
}

// Guards against a retry after a partly sent request. The connection breaks while the entry sends a
// task. The backend server never receives the whole request, but the entry cannot know that: the
// caller receives the verdict may-have-run at once, and the entry does not start the task elsewhere.
func TestConnectionBreaksWhileSending(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1})
	c.Workers[0].Link.AddToxic(`{"type":"limit_data","stream":"upstream","attributes":{"bytes":2000}}`)
	recorder := cluster.NewCallRecorder()
	e := c.Entries[0].Client(cluster.Token)
	job := cluster.Job(cluster.Booking, "cut", 1)
	job.Tasks[0].Payload = json.RawMessage(`"` + strings.Repeat("x", 200_000) + `"`)
	begin := time.Now()
	r, err := recorder.Put(t.Context(), e, reserve(t, e), job)
	assert.NilError(t, err)
	checkFailedAfterStart(t, r, time.Since(begin), "connection_lost", "unsafe")
	assert.Equal(t, recorder.Check(t, c.RunRecord()).Starts, int64(0))
}

// silenceModes are the two ways in which existing connections go silent for good while new ones work:
// the network loses the packets, or a proxy acknowledges the data and does not forward it.
var silenceModes = map[string]func(*cluster.TCPProxy){
	"lost":  (*cluster.TCPProxy).MuteExisting,
	"taken": (*cluster.TCPProxy).StallExisting,
}

// Guards against callers that wait until the deadline after a connection has gone silent under running
// tasks. The caller must receive the verdict may-have-run: after the silence time-out if packets are
// lost, and after the kind's task time-out otherwise. Later bookings must use new connections.
func TestSilentConnectionWhileRunning(t *testing.T) {
	for name, silence := range silenceModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			doc := cluster.Config()
			doc.Kinds[cluster.Booking].DeadlineMs = 50_000
			want := "connection_lost"
			if name == "taken" {
				doc.Kinds[cluster.Booking].TaskTimeoutMs = 3000
				want = "task_timeout"
			}
			c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1, WorkerProxy: true, Config: doc})
			recorder := cluster.NewCallRecorder()
			job := cluster.Job(cluster.Booking, "silent", 2)
			for i := range job.Tasks {
				job.Tasks[i].Payload = json.RawMessage(`{"run_ms":1000}`)
			}
			var wg sync.WaitGroup
			var r client.Reply
			var took time.Duration
			var silent time.Time
			wg.Go(func() {
				var err error
				r, err = recorder.Submit(t.Context(), roundRobin(c, 0), job)
				took = time.Since(silent)
				assert.Check(t, err)
			})
			cluster.Eventually(t, 10*time.Second, "both tasks of the booking run", func() bool { return c.RunRecord().Starts == 2 })
			silent = time.Now()
			silence(c.Workers[0].Proxy)
			wg.Wait()
			t.Logf("figure: silent while running (%s): answer %s after the silence", name, took.Round(time.Millisecond))
			checkFailedAfterStart(t, r, 0, want, "unsafe")
			assert.Assert(t, took < 20*time.Second)
			after := cluster.Job(cluster.Booking, "after", 8)
			r, err := recorder.Submit(t.Context(), roundRobin(c, 0), after)
			assert.NilError(t, err)
			cluster.CheckComplete(t, after, r)
			recorder.Check(t, c.RunRecord())
		})
	}
}

// Guards against bookings on idle connections that have gone silent for good. A booking sent on such a
// connection is lost until a time-out. The entry must therefore use only connections that have just
// answered, or new ones: no booking may fail.
func TestSilentIdleConnections(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1, WorkerProxy: true})
	proxy := c.Workers[0].Proxy
	recorder := cluster.NewCallRecorder()
	warm := cluster.Job(cluster.Booking, "warm", 8)
	r, err := recorder.Submit(t.Context(), roundRobin(c, 0), warm)
	assert.NilError(t, err)
	cluster.CheckComplete(t, warm, r)
	assert.Assert(t, proxy.Connections() >= 2)
	time.Sleep(300 * time.Millisecond) // The fault: the connections are idle when they go silent.
	proxy.MuteExisting()
	var wg sync.WaitGroup
	for n := range 20 {
		wg.Go(func() {
			_, err := recorder.Submit(t.Context(), roundRobin(c, 0), cluster.Job(cluster.Booking, fmt.Sprint(n), 1))
			assert.Check(t, err)
		})
		time.Sleep(20 * time.Millisecond) // The interval between bookings.
	}
	wg.Wait()
	report := recorder.Check(t, c.RunRecord())
	t.Logf("figure: silent idle connections: %d of 20 bookings lost; %s", report.Failed, report)
	assert.Equal(t, report.Failed, 0)
}
