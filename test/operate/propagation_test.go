// Tests of the propagation of a change to all entries, and of a restored older configuration.

package operate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/platform"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// propagationLimit is the time within which a change must be in force on all entries.
const propagationLimit = 10 * time.Second

// isolateFromPeers drops all packets between an entry and its peers, in both directions.
func isolateFromPeers(c *cluster.Cluster, e *cluster.Entry) {
	e.Proxy.Block()
	for _, other := range c.Entries {
		other.Proxy.Block(e.IP)
	}
}

// healPeers ends all blocks between peers.
func healPeers(c *cluster.Cluster) {
	for _, e := range c.Entries {
		e.Proxy.Unblock()
	}
}

// waitInForce waits until a revision is in force on all given entries and returns the time that this took.
func waitInForce(t *testing.T, entries []*cluster.Entry, revision uint64) time.Duration {
	t.Helper()
	start := time.Now()
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Go(func() {
			o := cluster.NewOperator(t, e)
			for o.History().Revision < revision && time.Since(start) < propagationLimit {
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	took := time.Since(start)
	assert.Assert(t, took < propagationLimit, "revision %d is not in force on all entries after %s, expected within %s", revision, took, propagationLimit)
	return took
}

// Guards against a change that does not reach an entry without a link to the platform. One of eight entries
// reaches its peers but not the platform. Each confirmed change must be in force on all eight within
// seconds; the isolated entry receives it from its peers. After that entry is cut off from its peers too,
// the status must name it, it must keep its configuration, and it must catch up soon after healing.
func TestChangePropagatesToAllEntries(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 4, Workers: 2, OneProcess: true})
	isolated := c.Entries[7]
	isolated.Platform.Cut()
	changes := 10
	if fullLength() {
		changes = 100
	}
	var times []time.Duration
	for n := range changes {
		revision := cluster.NewOperator(t, c.Entries[n%7]).Apply(setMaxTasks(fmt.Sprint(n + 1)))
		times = append(times, waitInForce(t, c.Entries, revision))
	}
	slices.Sort(times)
	t.Logf("confirmation to in force on 8 entries, one cut off from the platform, %d changes: p50 %s, p95 %s, max %s",
		changes, times[len(times)/2], times[len(times)*95/100], times[len(times)-1])

	isolateFromPeers(c, isolated)
	o := cluster.NewOperator(t, c.Entries[0])
	revision := o.Apply(setMaxTasks("150"))
	waitInForce(t, c.Entries[:7], revision)
	cluster.Eventually(t, 10*time.Second, "the status names the unreachable entry", func() bool {
		f := o.Status()
		return f.Revision == revision && slices.Contains(f.Unreachable, isolated.Proxy.Address().String())
	})
	assert.Equal(t, cluster.NewOperator(t, isolated).History().Revision, revision-1)
	healPeers(c)
	t.Logf("entry cut off from platform and peers, after healing of the peers: in force after %s", waitInForce(t, c.Entries[7:], revision))
}

// Guards against jobs that fail because of changes to the configuration. Operators apply many changes in a
// row while callers send jobs: limits, quotas, rules of a kind, drained and undrained racks. Every job must
// be complete, and no task may start twice.
func TestChangesUnderLoadFailNoJob(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 2, Workers: 4, OneProcess: true})
	changes := 40
	if fullLength() {
		changes = 600
	}
	var stop atomic.Bool
	var jobs atomic.Int64
	var wg sync.WaitGroup
	for caller := range 16 {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				j := cluster.Job(cluster.Quote, fmt.Sprintf("%d/%d", caller, n), 1+rand.IntN(8))
				r, err := c.Entries[(caller+n)%len(c.Entries)].Client(cluster.Token).Submit(t.Context(), j)
				if !assert.Check(t, err) || !cluster.CheckComplete(t, j, r) {
					return
				}
				jobs.Add(1)
			}
		})
	}
	rack := c.Workers[0].Domain + "/" + c.Workers[0].Rack
	start := time.Now()
	revision := uint64(0)
	for n := range changes {
		revision = cluster.NewOperator(t, c.Entries[n%len(c.Entries)]).Apply(nthIntent(n, rack))
	}
	took := time.Since(start)
	waitInForce(t, c.Entries, revision)
	stop.Store(true)
	wg.Wait()
	w := c.RunRecord()
	assert.Equal(t, w.Duplicates, int64(0))
	assert.Assert(t, jobs.Load() > 0)
	t.Logf("%d changes in %s while %d jobs (%d tasks) ran, all complete", changes, took.Round(time.Millisecond), jobs.Load(), w.Starts)
}

// nthIntent returns the n-th intent of an endless sequence of changes.
func nthIntent(n int, rack string) schema.Intent {
	switch n % 5 {
	case 0:
		return setMaxTasks(fmt.Sprint(100 + n/5%50))
	case 1:
		return schema.Intent{Action: string(config.DrainRack), Target: rack}
	case 2:
		return schema.Intent{Action: string(config.SetTeam), Target: "team-a", Settings: []string{fmt.Sprintf("weight=%d", 1+n%7)}}
	case 3:
		return schema.Intent{Action: string(config.UndrainRack), Target: rack}
	}
	return schema.Intent{Action: string(config.SetKind), Target: cluster.Booking, Settings: []string{fmt.Sprintf("run_time_ms=%d", 10+n%90)}}
}

// Guards against entries that return to an older configuration. The platform is restored with an old copy
// of the document, or without a document. The drained worker must still get no tasks, the entries must
// report the older document, and a plan must be refused with advice. An entry that restarts must take the
// newer document from its peers. The intent restore then writes the document in force back at a new
// highest revision.
func TestRestoredOldConfigIsIgnored(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("lost=%t", lost), func(t *testing.T) {
			t.Parallel()
			c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 3, Workers: 2})
			_, old := c.StoredConfig()
			if lost {
				old = platform.Value{}
			}
			o := cluster.NewOperator(t, c.Entries[0])
			drained := c.Workers[0]
			o.Apply(schema.Intent{Action: string(config.DrainWorker), Target: drained.Link.Address()})
			revision := o.Apply(setMaxTasks("100"))
			waitInForce(t, c.Entries, revision)

			c.OverwriteStoredConfig(old)
			for _, e := range c.Entries {
				cluster.Eventually(t, propagationLimit, "the entry reports the older document", func() bool {
					return hasAlarm(statusOf(o.Status(), e), "config_ignored") && e.Metric(t, `lavendercleat_config_ignored_total{reason="older"}`) == 1
				})
			}
			before, calls := c.RunRecordOf(drained).Starts, platformCalls(c)
			time.Sleep(time.Second)
			checkAllServe(t, c)
			assert.Assert(t, platformCalls(c)-calls < 100, "the entries call the platform in a loop")
			assert.Equal(t, c.RunRecordOf(drained).Starts, before, "a drained worker received new tasks: an entry applied the older document")
			refused := o.ExpectPlanRefused(setMaxTasks("50"))
			assert.Equal(t, refused.Reason, string(config.PlatformOlder))

			restarted := c.Entries[2]
			restarted.Kill()
			c.StartEntry(restarted)
			waitInForce(t, c.Entries, revision)

			plan := o.Plan(schema.Intent{Action: string(config.Restore)})
			out := cluster.NewOperator(t, c.Entries[1]).Confirm(plan)
			assert.Equal(t, out.Outcome, config.Applied, "%+v", out)
			assert.Equal(t, out.Revision, revision+1)
			waitInForce(t, c.Entries, revision+1)
			doc, _ := c.StoredConfig()
			assert.Equal(t, doc.GetRevision(), revision+1)
			assert.DeepEqual(t, doc.GetDrainedWorkers(), []string{drained.Link.Address()})
			for _, e := range c.Entries {
				cluster.Eventually(t, propagationLimit, "the status has no alarms", func() bool { return len(statusOf(o.Status(), e).Alarms) == 0 })
			}
		})
	}
}

// checkAllServe sends a job through each entry of the cluster and checks the answers.
func checkAllServe(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	checkServe(t, c.Entries)
}

// checkServe sends a job through each of the entries and checks the answers.
func checkServe(t *testing.T, entries []*cluster.Entry) {
	t.Helper()
	for n, e := range entries {
		j := cluster.Job(cluster.Quote, fmt.Sprint("check ", n), 20)
		r, err := e.Client(cluster.Token).Submit(t.Context(), j)
		assert.NilError(t, err)
		cluster.CheckComplete(t, j, r)
	}
}

// platformCalls returns the number of calls that the platform stand-in has received.
func platformCalls(c *cluster.Cluster) int64 {
	n := c.PlatformCounts()
	return n.Reads + n.Writes + n.Watches
}

// Guards against an entry that misses a new document because the revision of its key is unchanged. While an
// entry is cut off from the platform, the platform is restored from a copy and changed again, so that the
// key has the revision that the entry has seen, with another document. The entry has no peers to learn the
// document from. It must read the document when it reaches the platform, not wait for a new key revision.
func TestNewDocumentAtSameKeyRevisionIsRead(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1})
	e := c.Entries[0]
	doc, v := c.StoredConfig()
	e.Platform.Cut()
	cluster.Eventually(t, propagationLimit, "the entry reports that the platform is unavailable", func() bool {
		return hasAlarm(statusOf(cluster.NewOperator(t, e).Status(), e), "platform_unavailable")
	})
	doc.Revision = 5
	b, err := proto.Marshal(doc)
	assert.NilError(t, err)
	c.OverwriteStoredConfig(platform.Value{Revision: v.Revision, Value: b})
	e.Platform.Restore()
	waitInForce(t, c.Entries, 5)
}
