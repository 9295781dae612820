// The tests of entries that borrow slots from other entries.

package loan

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// Names of an entry's metrics.
const (
	borrowedSlots     = "lavendercleat_borrowed_slots"
	lentSlots         = "lavendercleat_lent_slots"
	successfulBorrows = `lavendercleat_borrows_total{result="slots"}`
	running           = "lavendercleat_running_tasks"
)

// withRunTime sets the run time of every task of a job.
func withRunTime(j schema.Job, ms int) schema.Job {
	for i := range j.Tasks {
		j.Tasks[i].Payload = []byte(fmt.Sprintf(`{"run_ms":%d,"task":%d}`, ms, i))
	}
	return j
}

// One entry gets a job with as many tasks as there are slots in two failure domains. It must borrow
// unused slots of the other entries, so that more tasks run at a time than its own share of slots
// allows. Afterwards all borrowed slots must be returned.
func TestBurstBorrowsSlotsOfPeers(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 2, Workers: 2, Slots: 4})
	e := c.Entries[0]
	ownSlots := e.Metric(t, "lavendercleat_slots")
	j := withRunTime(cluster.Job(cluster.Quote, "burst", 16), 3000)
	var wg sync.WaitGroup
	wg.Go(func() {
		r, err := e.Client(cluster.Token).Submit(t.Context(), j)
		if assert.Check(t, err) {
			cluster.CheckComplete(t, j, r)
		}
	})
	cluster.Eventually(t, 20*time.Second, "more tasks run than the entry has slots of its own", func() bool {
		return e.Metric(t, running) > ownSlots
	})
	wg.Wait()
	w := c.RunRecord()
	assert.Equal(t, w.Duplicates, int64(0))
	assert.Equal(t, w.Starts, int64(16))
	assert.Assert(t, e.Metric(t, successfulBorrows) > 0)
	cluster.Eventually(t, 20*time.Second, "all borrowed slots are returned", func() bool {
		held := 0.0
		for _, e := range c.Entries {
			held += e.Metric(t, borrowedSlots) + e.Metric(t, lentSlots)
		}
		return held == 0
	})
}

// A kind may run in domain-b only, and its caller uses an entry of domain-a, which has no slot there.
// The entry must admit the job and run it on borrowed slots.
func TestKindOfOtherDomainRunsOnBorrowedSlots(t *testing.T) {
	doc := cluster.Config()
	doc.Kinds["remote"] = &schema.Kind{Path: "/remote", Idempotent: true, OneCall: true, RunTimeMs: 20, DeadlineMs: 20_000, Domains: []string{"domain-b"}}
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 1, Workers: 1, Config: doc})
	j := cluster.Job("remote", "from a", 12)
	var r client.Reply
	cluster.Eventually(t, 20*time.Second, "the entry knows its peer in domain-b", func() bool {
		var err error
		r, err = c.Entries[0].Client(cluster.Token).Submit(t.Context(), j)
		assert.NilError(t, err)
		return r.Reason != string(verdict.NoWorkers)
	})
	cluster.CheckComplete(t, j, r)
	for _, w := range c.Workers {
		if w.Domain == "domain-a" {
			assert.Equal(t, c.RunRecordOf(w).Starts, int64(0))
		}
	}
}

// Two entries get bursts of jobs while the replies to borrow requests are lost. The lender has lent
// slots of which the borrower does not know, so these slots stay idle until the loan's term ends. Every
// caller must still get a complete answer, and no task may start twice. When the replies arrive again,
// all lent slots must be returned.
func TestLostLoanReplies(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 3, Workers: 2, Slots: 6})
	recorder := cluster.NewCallRecorder()
	stop := make(chan struct{})
	var wg, replyLoss sync.WaitGroup
	replyLoss.Go(func() { dropReplies(c, stop) })
	for n := range 40 {
		e := c.Entries[n%2]
		wg.Go(func() {
			j := withRunTime(cluster.Job(cluster.Quote, fmt.Sprint(n), 10), 30)
			r, err := recorder.Submit(t.Context(), func() *client.Client { return e.Client(cluster.Token) }, j)
			if assert.Check(t, err) {
				assert.Check(t, r.Outcome == client.Complete, "%d: %s %s", n, r.Reason, r.Message)
			}
		})
	}
	wg.Wait()
	close(stop)
	replyLoss.Wait()
	c.HealPeers()
	recorder.Check(t, c.RunRecord())
	cluster.Eventually(t, 20*time.Second, "all lent slots are returned", func() bool {
		held := 0.0
		for _, e := range c.Entries {
			held += e.Metric(t, borrowedSlots) + e.Metric(t, lentSlots)
		}
		return held == 0
	})
}

// dropReplies alternates until stop is closed: the entries' replies to each other are dropped for 150 ms,
// then pass for 100 ms.
func dropReplies(c *cluster.Cluster, stop chan struct{}) {
	for {
		for _, e := range c.Entries {
			for _, o := range c.Entries {
				if o != e {
					e.Proxy.BlockReplies(o.IP)
				}
			}
		}
		select {
		case <-time.After(150 * time.Millisecond):
		case <-stop:
			return
		}
		c.HealPeers()
		select {
		case <-time.After(100 * time.Millisecond):
		case <-stop:
			return
		}
	}
}
