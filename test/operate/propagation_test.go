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

// spreadLimit is the time in which a change has to be in force everywhere.
const spreadLimit = 10 * time.Second

// cutPeers cuts an entry off from its peers, both ways.
func cutPeers(c *cluster.Cluster, e *cluster.Entry) {
	e.Relay.Block()
	for _, other := range c.Entries {
		other.Relay.Block(e.IP)
	}
}

func healPeers(c *cluster.Cluster) {
	for _, e := range c.Entries {
		e.Relay.Heal()
	}
}

// untilInForce returns how long it takes until a revision is in force at all entries.
func untilInForce(t *testing.T, entries []*cluster.Entry, revision uint64) time.Duration {
	t.Helper()
	start := time.Now()
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Go(func() {
			o := cluster.NewOperator(t, e)
			for o.History().Revision < revision && time.Since(start) < spreadLimit {
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	took := time.Since(start)
	assert.Assert(t, took < spreadLimit, "revision %d is not in force everywhere after %s", revision, took)
	return took
}

// One of eight entries is cut off from the platform, but not from its peers. Each
// confirmed change is in force on all eight within seconds: it comes to the one that
// is cut off through its peers. An entry that is cut off from both is named by the
// status, keeps what it has, and catches up within seconds after healing.
func TestChangeIsInForceEverywhereWithinSeconds(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 4, Workers: 2, OneProcess: true})
	last := c.Entries[7]
	last.Platform.Cut()
	changes := 10
	if full() {
		changes = 100
	}
	var times []time.Duration
	for n := range changes {
		revision := cluster.NewOperator(t, c.Entries[n%7]).Apply(limits(fmt.Sprint(n + 1)))
		times = append(times, untilInForce(t, c.Entries, revision))
	}
	slices.Sort(times)
	t.Logf("confirmation to in force on 8 entries, one cut off from the platform, %d changes: p50 %s, p95 %s, max %s",
		changes, times[len(times)/2], times[len(times)*95/100], times[len(times)-1])

	cutPeers(c, last)
	o := cluster.NewOperator(t, c.Entries[0])
	revision := o.Apply(limits("150"))
	untilInForce(t, c.Entries[:7], revision)
	cluster.Eventually(t, 10*time.Second, "the status names the entry that is not reached", func() bool {
		f := o.Status()
		return f.Revision == revision && slices.Contains(f.Unreachable, last.Relay.Address().String())
	})
	assert.Equal(t, cluster.NewOperator(t, last).History().Revision, revision-1)
	healPeers(c)
	t.Logf("entry cut off from platform and peers, after healing of the peers: in force after %s", untilInForce(t, c.Entries[7:], revision))
}

// Operators apply many changes in a row while callers send jobs: limits, quotas, rules
// of a kind, drained and undrained racks. Every job gets its whole answer.
func TestManyChangesUnderLoadHurtNoRequest(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 2, Workers: 4, OneProcess: true})
	changes := 40
	if full() {
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
		revision = cluster.NewOperator(t, c.Entries[n%len(c.Entries)]).Apply(change(n, rack))
	}
	took := time.Since(start)
	untilInForce(t, c.Entries, revision)
	stop.Store(true)
	wg.Wait()
	w := c.RunRecord()
	assert.Equal(t, w.Duplicates, int64(0))
	assert.Assert(t, jobs.Load() > 0)
	t.Logf("%d changes in %s while %d jobs (%d tasks) ran, all answered whole", changes, took.Round(time.Millisecond), jobs.Load(), w.Starts)
}

// change returns the n-th of a row of changes that follow each other without an end.
func change(n int, rack string) schema.Intent {
	switch n % 5 {
	case 0:
		return limits(fmt.Sprint(100 + n/5%50))
	case 1:
		return schema.Intent{Action: string(config.DrainRack), Target: rack}
	case 2:
		return schema.Intent{Action: string(config.SetTeam), Target: "team-a", Settings: []string{fmt.Sprintf("weight=%d", 1+n%7)}}
	case 3:
		return schema.Intent{Action: string(config.UndrainRack), Target: rack}
	}
	return schema.Intent{Action: string(config.SetKind), Target: cluster.Booking, Settings: []string{fmt.Sprintf("run_time_ms=%d", 10+n%90)}}
}

// The platform comes back with an old copy of the document, or without any. No entry
// goes back: the drained worker still gets nothing. The entries report it, a plan is
// refused and says what to do, and an entry that starts anew takes the newer document
// from its peers. A restore writes the document in force back above all others.
func TestPlatformThatComesBackOlderIsNotObeyed(t *testing.T) {
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
			revision := o.Apply(limits("100"))
			untilInForce(t, c.Entries, revision)

			c.OverwriteStoredConfig(old)
			for _, e := range c.Entries {
				cluster.Eventually(t, spreadLimit, "the older document is reported", func() bool {
					return hasAlarm(entryOf(o.Status(), e), "config_ignored") && e.Metric(t, `lavendercleat_config_ignored_total{reason="older"}`) == 1
				})
			}
			before, calls := c.RunRecordOf(drained).Starts, platformCalls(c)
			time.Sleep(time.Second)
			checkServes(t, c)
			assert.Assert(t, platformCalls(c)-calls < 100, "the entries ask the platform in a loop")
			assert.Equal(t, c.RunRecordOf(drained).Starts, before, "a drained worker got work again: the older document was obeyed")
			refused := o.ExpectPlanRefused(limits("50"))
			assert.Equal(t, refused.Reason, string(config.PlatformOlder))

			restarted := c.Entries[2]
			restarted.Kill()
			c.StartEntry(restarted)
			untilInForce(t, c.Entries, revision)

			plan := o.Plan(schema.Intent{Action: string(config.Restore)})
			out := cluster.NewOperator(t, c.Entries[1]).Confirm(plan)
			assert.Equal(t, out.Outcome, config.Applied, "%+v", out)
			assert.Equal(t, out.Revision, revision+1)
			untilInForce(t, c.Entries, revision+1)
			doc, _ := c.StoredConfig()
			assert.Equal(t, doc.GetRevision(), revision+1)
			assert.DeepEqual(t, doc.GetDrainedWorkers(), []string{drained.Link.Address()})
			for _, e := range c.Entries {
				cluster.Eventually(t, spreadLimit, "the alarm is gone", func() bool { return len(entryOf(o.Status(), e).Alarms) == 0 })
			}
		})
	}
}

// checkServes sends a job to every entry and checks the answers.
func checkServes(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	checkServesAt(t, c.Entries)
}

func checkServesAt(t *testing.T, entries []*cluster.Entry) {
	t.Helper()
	for n, e := range entries {
		j := cluster.Job(cluster.Quote, fmt.Sprint("check ", n), 20)
		r, err := e.Client(cluster.Token).Submit(t.Context(), j)
		assert.NilError(t, err)
		cluster.CheckComplete(t, j, r)
	}
}

func platformCalls(c *cluster.Cluster) int64 {
	n := c.PlatformCounts()
	return n.Reads + n.Writes + n.Watches
}

// While an entry is cut off from the platform, the platform comes back from a copy and
// is changed again, so that its key has the revision that the entry saw last, for
// another document. The entry has no peer to learn from; it must not wait for another
// key revision, but read the document once it reaches the platform.
func TestNewDocumentBehindOldKeyRevisionIsSeen(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1})
	e := c.Entries[0]
	doc, v := c.StoredConfig()
	e.Platform.Cut()
	cluster.Eventually(t, spreadLimit, "the entry misses the platform", func() bool {
		return hasAlarm(entryOf(cluster.NewOperator(t, e).Status(), e), "platform_unavailable")
	})
	doc.Revision = 5
	b, err := proto.Marshal(doc)
	assert.NilError(t, err)
	c.OverwriteStoredConfig(platform.Value{Revision: v.Revision, Value: b})
	e.Platform.Restore()
	untilInForce(t, c.Entries, 5)
}
