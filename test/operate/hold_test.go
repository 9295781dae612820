// The test of a held kind.

package operate

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// Guards against jobs lost or repeated when a kind is held. The kind is held while callers send jobs of it
// through all entries. Accepted jobs must be complete, and a copy of an accepted job must receive that
// job's answer. Later jobs must be refused with the verdict not-run and the time to retry. Other kinds are
// served throughout, and the kind is served again after it is resumed.
func TestHeldKindIsRefusedButAcceptedJobsEnd(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2})
	operator := cluster.NewOperator(t, c.Entries[0])
	accepted := cluster.Job(cluster.Quote, "accepted", 2)
	caller := c.Entries[0].Client(cluster.Token)
	ids, err := caller.Reserve(t.Context(), 1)
	assert.NilError(t, err)
	first, err := caller.Put(t.Context(), ids[0], accepted)
	assert.NilError(t, err)
	cluster.CheckComplete(t, accepted, first)

	var refused atomic.Int64
	stop := startLoad(t, c.Entries, 6, 2, func(j schema.Job, r client.Reply) {
		if r.Outcome == client.Complete {
			cluster.CheckComplete(t, j, r)
			return
		}
		assert.Check(t, r.Reason == string(verdict.KindHeld) && r.Verdict == verdict.NotRun.String() && r.Status == http.StatusServiceUnavailable && r.RetryAfter > 0, "%+v", r)
		refused.Add(1)
	})
	operator.Apply(schema.Intent{Action: string(config.HoldKind), Target: cluster.Quote})
	for _, e := range c.Entries {
		cluster.Eventually(t, drainLimit, "the entry refuses jobs of the held kind", func() bool {
			r, err := e.Client(cluster.Token).Do(t.Context(), cluster.Job(cluster.Quote, "held", 1))
			return err == nil && r.Reason == string(verdict.KindHeld)
		})
		booking := cluster.Job(cluster.Booking, "another kind", 1)
		r, err := e.Client(cluster.Token).Submit(t.Context(), booking)
		assert.NilError(t, err)
		cluster.CheckComplete(t, booking, r)
	}
	again, err := c.Entries[1].Client(cluster.Token).Put(t.Context(), ids[0], accepted)
	assert.NilError(t, err)
	cluster.CheckComplete(t, accepted, again)
	cluster.Eventually(t, drainLimit, "the load's jobs are refused", func() bool { return refused.Load() > 0 })
	stop()

	operator.Apply(schema.Intent{Action: string(config.ResumeKind), Target: cluster.Quote})
	cluster.Eventually(t, drainLimit, "the kind is served again", func() bool {
		r, err := caller.Do(t.Context(), cluster.Job(cluster.Quote, "resumed", 1))
		return err == nil && r.Outcome == client.Complete
	})
}
