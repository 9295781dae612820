// The tests of backend servers that leave.

package stop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// maxStartAfterLeaving is how long a leaving backend server may still get new tasks.
const maxStartAfterLeaving = 3 * time.Second

// singleEntryBalancer returns a balancer that knows only one entry.
func singleEntryBalancer(e *cluster.Entry) *balancer { return &balancer{ready: []string{e.CallerURL}} }

// A backend server reports with the results of its tasks that it is leaving, but the platform's list
// does not show it: the platform is unreachable, or the list lags behind. The entry that gets the
// report must stop sending tasks at once and tell its peer. Callers of the peer, which has had no
// reply from the worker, must get no task there either. No task in progress is aborted.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	for name, hideLeaving := range map[string]func(*cluster.Cluster){
		"platform cut off": func(c *cluster.Cluster) {
			for _, e := range c.Entries {
				e.Platform.Cut()
			}
		},
		"list lags": func(c *cluster.Cluster) {
			c.Post(c.PlatformURL+"/admin/lag?ms=30000", nil)
			listAsLeaving(c, c.Workers[0])
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2, RunTime: 50 * time.Millisecond})
			w := c.Workers[0]
			hideLeaving(c)
			load := startCallers(t, singleEntryBalancer(c.Entries[0]), 10)
			cluster.Eventually(t, 10*time.Second, "the worker runs tasks", func() bool { return c.RunRecordOf(w).Starts > 0 })
			c.SetWorkerBehaviour(w, standinbackend.Behaviour{Mode: standinbackend.ServeWhileLeaving, RunMS: 50})
			begin := time.Now()
			cluster.Eventually(t, maxStartAfterLeaving, "the peer knows the leaving worker", func() bool {
				return c.Entries[1].Metric(t, "lavendercleat_leaving_workers") == 1
			})
			checkLastStart(t, c, w, begin)

			peerLoad := startCallers(t, singleEntryBalancer(c.Entries[1]), 10)
			starts := c.RunRecordOf(w).Starts
			load.waitForJobs(t, 100)
			peerLoad.waitForJobs(t, 100)
			load.finish(t)
			peerLoad.finish(t)
			assert.Equal(t, c.RunRecordOf(w).Starts, starts, "starts at the leaving worker")
			assert.Equal(t, c.RunRecord().Aborted, int64(0))
			load.recorder.Check(t, c.RunRecord())
		})
	}
}

// listAsLeaving publishes a list of VMs that shows a worker as leaving.
func listAsLeaving(c *cluster.Cluster, w *cluster.Worker) {
	c.PublishVMs(func(vm *schema.Vm) { vm.Leaving = vm.GetAddress() == w.Address() })
}

// checkLastStart logs the time from begin to the last start at the leaving worker and checks it.
func checkLastStart(t *testing.T, c *cluster.Cluster, w *cluster.Worker, begin time.Time) {
	t.Helper()
	last := time.UnixMilli(c.RunRecordOf(w).LastStartMS).Sub(begin)
	t.Logf("time from leaving to the last start: %s", last)
	assert.Assert(t, last < maxStartAfterLeaving, "the leaving worker got a task %s after it began to leave, want less than %s", last, maxStartAfterLeaving)
}

// The platform's list shows a backend server as leaving, but the server does not report it. The server
// must get no new tasks, and get some again when the list no longer shows it as leaving.
func TestServerListedAsLeavingGetsNoNewWork(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2, RunTime: 50 * time.Millisecond})
	w := c.Workers[0]
	load := startCallers(t, newBalancer(t, func() []*cluster.Entry { return c.Entries }), 10)
	cluster.Eventually(t, 10*time.Second, "the worker runs tasks", func() bool { return c.RunRecordOf(w).Starts > 0 })
	begin := time.Now()
	listAsLeaving(c, w)
	var starts int64
	cluster.Eventually(t, maxStartAfterLeaving, "the worker gets no new tasks", func() bool {
		before := starts
		starts = c.RunRecordOf(w).Starts
		n := load.count()
		load.waitForJobs(t, 20)
		return before == starts && n > 0
	})
	checkLastStart(t, c, w, begin)
	load.waitForJobs(t, 100)
	assert.Equal(t, c.RunRecordOf(w).Starts, starts, "starts at the leaving worker")
	c.PublishVMs(nil)
	cluster.Eventually(t, 10*time.Second, "the worker gets tasks again", func() bool { return c.RunRecordOf(w).Starts > starts })
	load.finish(t)
	load.recorder.Check(t, c.RunRecord())
}
