// Tests of faulty and slow backend servers, wrong run times and jobs that cannot run.

package failure

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// Guards against a faulty backend server that fails most jobs. One of four servers fails, refuses, stalls
// or drops the reply of every task. The entries must soon send it very few tasks, so that at least three
// quarters of the bookings are complete. After the server has recovered, the entries must use it again.
func TestFaultyWorkerIsAvoided(t *testing.T) {
	for _, mode := range []standinbackend.Mode{standinbackend.Fail, standinbackend.Refuse, standinbackend.Stall, standinbackend.DropReply} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			doc := cluster.Config()
			doc.Kinds[cluster.Booking].TaskTimeoutMs = 1000
			c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 4, Slots: 4, Config: doc})
			faulty := c.Workers[0]
			c.SetWorkerBehaviour(faulty, standinbackend.Behaviour{Mode: mode, RunMS: 20})
			recorder := cluster.NewCallRecorder()
			const callers, each = 8, 20
			sendBookings(t, c, recorder, callers, each)
			r := recorder.Check(t, c.RunRecord())
			w := c.RunRecordOf(faulty)
			t.Logf("%s; faulty server: %d started, %d refused", r, w.Starts, w.Refused)
			assert.Assert(t, r.Complete >= callers*each*3/4, "%s", r)
			if mode == standinbackend.Refuse {
				assert.Equal(t, r.Failed, 0)
			}

			c.SetWorkerBehaviour(faulty, standinbackend.Behaviour{Mode: standinbackend.Serve, RunMS: 20})
			before := c.RunRecordOf(faulty).Starts
			cluster.Eventually(t, 20*time.Second, "the entries use the recovered server again", func() bool {
				sendBookings(t, c, recorder, callers, 2)
				return c.RunRecordOf(faulty).Starts > before+2
			})
		})
	}
}

// sendBookings lets each of several callers send bookings of two tasks, one after the other.
func sendBookings(t *testing.T, c *cluster.Cluster, recorder *cluster.CallRecorder, callers, each int) {
	t.Helper()
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			next := roundRobin(c, n)
			for i := range each {
				_, err := recorder.Submit(t.Context(), next, cluster.Job(cluster.Booking, fmt.Sprint(n, "/", i), 2))
				assert.Check(t, err)
			}
		})
	}
	wg.Wait()
}

// Guards against jobs that fail because their kind declares a wrong run time: a tenth of the real time,
// and ten times the real time. Each job must be complete, or refused at once with the verdict not-run.
func TestWrongDeclaredRunTimes(t *testing.T) {
	doc := cluster.Config()
	doc.Kinds["short"] = &schema.Kind{Path: "/short", RunTimeMs: 20, DeadlineMs: 10_000}
	doc.Kinds["long"] = &schema.Kind{Path: "/long", RunTimeMs: 2000, DeadlineMs: 10_000}
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2, Slots: 4, RunTime: 200 * time.Millisecond, Config: doc})
	recorder := cluster.NewCallRecorder()
	var wg sync.WaitGroup
	for n := range 40 {
		wg.Go(func() {
			job := cluster.Job([]string{"short", "long"}[n%2], fmt.Sprint(n), 3)
			r, err := recorder.Submit(t.Context(), roundRobin(c, n/2), job)
			if assert.Check(t, err) && r.Verdict != "not-run" {
				cluster.CheckComplete(t, job, r)
			}
		})
	}
	wg.Wait()
	r := recorder.Check(t, c.RunRecord())
	t.Log(r)
	assert.Assert(t, r.Complete >= 20, "%s", r)
}

// Guards against jobs that wait although no backend server can ever run them: they need ten times the
// memory of any server, too many processors, an accelerator, or a failure domain that does not exist.
// They must be refused at once with status 422, and no task may start.
func TestUnrunnableJobsAreRefused(t *testing.T) {
	doc := cluster.Config()
	doc.Kinds["memory"] = &schema.Kind{Path: "/m", DeadlineMs: 10_000, Needs: &schema.Resources{MemoryMb: 10 * 256 << 10}}
	doc.Kinds["processors"] = &schema.Kind{Path: "/p", DeadlineMs: 10_000, Needs: &schema.Resources{Cpus: 640}}
	doc.Kinds["accelerators"] = &schema.Kind{Path: "/a", DeadlineMs: 10_000, Needs: &schema.Resources{Accelerators: 1}}
	doc.Kinds["elsewhere"] = &schema.Kind{Path: "/e", DeadlineMs: 10_000, Domains: []string{"domain-z"}}
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1, Config: doc})
	recorder := cluster.NewCallRecorder()
	for _, kind := range []string{"memory", "processors", "accelerators", "elsewhere"} {
		begin := time.Now()
		r, err := recorder.Submit(t.Context(), roundRobin(c, 0), cluster.Job(kind, kind, 2))
		assert.NilError(t, err)
		assert.Equal(t, r.Status, http.StatusUnprocessableEntity, kind)
		assert.Equal(t, r.Verdict, "not-run", kind)
		assert.Assert(t, time.Since(begin) < maxFailureDelay, "kind %s", kind)
	}
	assert.Equal(t, recorder.Check(t, c.RunRecord()).Starts, int64(0))
}

// Guards against slow jobs and refusals because of one slow backend server, which takes ten times as
// long as the others. Every booking must be complete, and the slow server must get a smaller share of the
// tasks than the others.
func TestSlowWorkerGetsLessWork(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 4, Slots: 4})
	slow := c.Workers[0]
	c.SetWorkerBehaviour(slow, standinbackend.Behaviour{Mode: standinbackend.Serve, RunMS: 20, SlowBy: 10})
	recorder := cluster.NewCallRecorder()
	sendBookings(t, c, recorder, 12, 25)
	r := recorder.Check(t, c.RunRecord())
	share := float64(c.RunRecordOf(slow).Starts) / float64(r.Starts)
	t.Logf("%s; the slow server's share of the starts %.3f", r, share)
	assert.Equal(t, r.Complete, r.Submissions)
	assert.Assert(t, share < 0.25)
}
