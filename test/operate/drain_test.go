// Tests of drained racks and retired failure domains under load.

package operate

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// drainLimit is the time after which a drained worker must receive no new tasks.
const drainLimit = 3 * time.Second

// startLoad lets callers send jobs to the entries until the returned function is called, which waits for
// the last answers. It passes each answer to handle, from several goroutines.
func startLoad(t *testing.T, entries []*cluster.Entry, callers, tasks int, handle func(schema.Job, client.Reply)) (stop func()) {
	var stopped atomic.Bool
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				j := cluster.Job(cluster.Quote, fmt.Sprintf("%d/%d", caller, n), tasks)
				r, err := entries[(caller+n)%len(entries)].Client(cluster.Token).Do(t.Context(), j)
				if !assert.Check(t, err) {
					return
				}
				handle(j, r)
			}
		})
	}
	return func() {
		stopped.Store(true)
		wg.Wait()
	}
}

// startsOn returns the number of starts on the workers that include selects.
func startsOn(c *cluster.Cluster, include func(*cluster.Worker) bool) (starts int64) {
	for _, w := range c.Workers {
		if include(w) {
			starts += c.RunRecordOf(w).Starts
		}
	}
	return starts
}

// Guards against new tasks on a drained rack, and against jobs that fail because of the drain. A rack is
// drained while callers send jobs through all entries. Three seconds after the confirmation its workers
// must receive no new tasks, and every job must be complete.
func TestDrainedRackGetsNoNewTasks(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 3, Workers: 4})
	stop := startLoad(t, c.Entries, 12, 4, func(j schema.Job, r client.Reply) { cluster.CheckComplete(t, j, r) })
	rack := c.Workers[0].Domain + "/" + c.Workers[0].Rack
	inRack := func(w *cluster.Worker) bool { return w.Domain+"/"+w.Rack == rack }
	notInRack := func(w *cluster.Worker) bool { return !inRack(w) }
	cluster.Eventually(t, 10*time.Second, "the rack runs tasks", func() bool { return startsOn(c, inRack) > 20 })
	plan := cluster.NewOperator(t, c.Entries[0]).Plan(schema.Intent{Action: string(config.DrainRack), Target: rack})
	assert.DeepEqual(t, plan.Effects.Domains, []schema.DomainEffect{{
		Domain: c.Workers[0].Domain, WorkersBefore: 4, WorkersAfter: 2, SlotsBefore: 32, SlotsAfter: 16, EntriesBefore: 3, EntriesAfter: 3,
	}})
	assert.Equal(t, cluster.NewOperator(t, c.Entries[1]).Confirm(plan).Outcome, config.Applied)
	time.Sleep(drainLimit)
	drained, active := startsOn(c, inRack), startsOn(c, notInRack)
	cluster.Eventually(t, 10*time.Second, "the other rack runs 100 more tasks", func() bool { return startsOn(c, notInRack) > active+100 })
	assert.Equal(t, startsOn(c, inRack), drained, "drained workers received new tasks")
	stop()
}

// Guards against new work in a retired failure domain and against failed jobs. The failure domain is
// retired while callers send jobs through its entries and the others. Its entries must refuse new jobs
// with the verdict not-run, also under identifiers reserved before, and report the retirement in /readyz
// and in the status. Three seconds later its workers must receive no new tasks. Jobs accepted before must
// be complete, and the entries of the other failure domain must serve all jobs.
func TestRetiredDomainRefusesNewJobs(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 2, Workers: 4})
	active, retired := c.Entries[:2], c.Entries[2:]
	stopActive := startLoad(t, active, 6, 4, func(j schema.Job, r client.Reply) { cluster.CheckComplete(t, j, r) })
	var complete, refused, failed atomic.Int64
	stopRetired := startLoad(t, retired, 6, 4, func(j schema.Job, r client.Reply) {
		switch {
		case r.Outcome == client.Complete:
			cluster.CheckComplete(t, j, r)
			complete.Add(1)
		case r.Reason == string(verdict.DomainRetired):
			assert.Check(t, r.Verdict == verdict.NotRun.String() && r.Status == http.StatusServiceUnavailable && r.RetryAfter > 0, "%+v", r)
			refused.Add(1)
		default:
			failed.Add(1)
			t.Errorf("expected a complete answer or reason %s, got %+v", verdict.DomainRetired, r)
		}
	})
	inRetired := func(w *cluster.Worker) bool { return w.Domain == retired[0].Domain }
	cluster.Eventually(t, 10*time.Second, "the failure domain runs tasks", func() bool { return startsOn(c, inRetired) > 50 })
	ids, err := retired[0].Client(cluster.Token).Reserve(t.Context(), 1)
	assert.NilError(t, err)

	cluster.NewOperator(t, active[0]).Apply(schema.Intent{Action: string(config.RetireDomain), Target: retired[0].Domain})
	for _, e := range retired {
		cluster.Eventually(t, drainLimit, "the entry reports that it is retired", func() bool {
			s := statusOf(cluster.NewOperator(t, active[0]).Status(), e)
			return !s.Ready && strings.Contains(s.NotReadyBecause, "retired") && hasAlarm(s, "domain_retired") && readyStatus(t, e) == http.StatusServiceUnavailable
		})
	}
	r, err := retired[0].Client(cluster.Token).Put(t.Context(), ids[0], cluster.Job(cluster.Quote, "reserved before", 1))
	assert.NilError(t, err)
	assert.Equal(t, r.Reason, string(verdict.DomainRetired), "%+v", r)
	assert.Equal(t, r.Verdict, verdict.NotRun.String())
	time.Sleep(drainLimit)
	drained := startsOn(c, inRetired)
	cluster.Eventually(t, 10*time.Second, "the retired entries refuse jobs", func() bool { return refused.Load() > 0 })
	checkServe(t, active)
	assert.Equal(t, startsOn(c, inRetired), drained, "workers of the retired failure domain received new tasks")
	stopActive()
	stopRetired()
	t.Logf("through the retired entries: %d complete, %d refused as not run, %d failed", complete.Load(), refused.Load(), failed.Load())

	cluster.NewOperator(t, active[1]).Apply(schema.Intent{Action: string(config.ReinstateDomain), Target: retired[0].Domain})
	cluster.Eventually(t, drainLimit, "the entry is ready again", func() bool { return readyStatus(t, retired[0]) == http.StatusOK })
	checkServe(t, retired)
}

// readyStatus returns the HTTP status of the entry's /readyz, or 0 without a response.
func readyStatus(t *testing.T, e *cluster.Entry) int {
	t.Helper()
	resp, err := http.Get(strings.TrimSuffix(e.MetricsURL, "/metrics") + "/readyz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
