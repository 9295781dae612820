// The test of an entry that is paused.

package stop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// An entry is frozen while tasks wait in its queue, and meanwhile a worker reports to the other entry
// that it is leaving. After the pause the entry must ask its peers before it starts a task, so that
// the leaving worker gets none. Results from before the pause arrive first and free slots of the worker.
func TestPausedEntryAsksPeersBeforeStartingTasks(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2, Slots: 4, RunTime: 500 * time.Millisecond})
	frozen, other, w := c.Entries[0], c.Entries[1], c.Workers[0]
	answers := make(chan client.Reply, 1)
	queued := cluster.Job(cluster.Quote, "queued", 24)
	queued.DeadlineMs = 30_000
	go func() {
		r, _ := frozen.Client(cluster.Token).Submit(t.Context(), queued)
		answers <- r
	}()
	cluster.Eventually(t, 10*time.Second, "tasks run", func() bool { return c.RunRecordOf(w).Starts > 0 })
	frozen.Freeze()
	c.SetWorkerBehaviour(w, standinbackend.Behaviour{Mode: standinbackend.Leaving})
	callers := startCallers(t, singleEntryBalancer(other), 8)
	cluster.Eventually(t, 10*time.Second, "the worker has reported that it is leaving", func() bool {
		return other.Metric(t, "lavendercleat_leaving_workers") == 1
	})
	callers.finish(t)
	cluster.Eventually(t, 10*time.Second, "the frozen entry counts as dead", func() bool {
		return other.Metric(t, "lavendercleat_members") == 1
	})
	refused := c.RunRecordOf(w).Refused
	frozen.Thaw()
	r := <-answers
	assert.Equal(t, r.Outcome, client.Complete, "%s: %s", r.Reason, r.Message)
	assert.Equal(t, c.RunRecordOf(w).Refused, refused, "tasks that the leaving worker has refused after the pause")
	assert.Equal(t, frozen.Metric(t, `lavendercleat_pauses_total{noticed_by="tick"}`), 1.0)
	assert.Equal(t, c.RunRecord().Duplicates, int64(0))
}
