// Tests of plans and their confirmations: races, lost replies and platform outages.

package operate

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/config"
	standinplatform "github.com/lavendercleat/lavendercleat/internal/standin/platform"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// Guards against two applied plans on one base revision. Two operators plan the same intent on the same
// base at two entries and confirm at the same moment, 50 times. Each time exactly one outcome must be
// "applied"; the other must be refused because the base revision has changed, and name the plan that won.
func TestConcurrentConfirmsApplyOnePlan(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1, EntryFlags: secondOperatorFlags()})
	a, b := cluster.NewOperator(t, c.Entries[0]), cluster.NewOperator(t, c.Entries[1])
	b.Token = secondToken
	const rounds = 50
	for round := range rounds {
		intent := setMaxTasks(fmt.Sprint(round + 1))
		plans := [2]schema.Plan{a.Plan(intent), b.Plan(intent)}
		assert.Equal(t, plans[0].BaseRevision, plans[1].BaseRevision)
		var out [2]schema.Outcome
		var wg sync.WaitGroup
		for i, o := range []cluster.Operator{a, b} {
			wg.Go(func() { out[i] = o.Confirm(plans[i]) })
		}
		wg.Wait()
		winner := 0
		if out[1].Outcome == config.Applied {
			winner = 1
		}
		loser := out[1-winner]
		assert.Equal(t, out[winner].Outcome, config.Applied, "round %d: %+v", round, out)
		assert.Equal(t, loser.Outcome, config.Refused, "round %d: the entries applied both plans: %+v", round, out)
		assert.Equal(t, loser.Reason, string(config.BaseRevisionChanged), "%+v", loser)
		assert.Equal(t, len(loser.Moved), 1, "%+v", loser)
		assert.Equal(t, loser.Moved[0].Plan, plans[winner].Id)
		assert.Equal(t, loser.Moved[0].Operator, []string{"operator", "second"}[winner])
	}
	assert.Equal(t, a.History().Revision, uint64(1+rounds))
}

// Guards against a plan that is applied to another base than the operator saw. One operator plans, another
// changes something else, then the first confirms at a third entry. The plan must be refused, the answer
// must name the change in between, and nothing of the plan may be applied.
func TestPlanOnChangedBaseIsRefused(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 3, Workers: 2})
	plan := cluster.NewOperator(t, c.Entries[0]).Plan(setMaxTasks("10"))
	cluster.NewOperator(t, c.Entries[1]).Apply(schema.Intent{Action: string(config.DrainWorker), Target: c.Workers[0].Link.Address()})
	o := cluster.NewOperator(t, c.Entries[2])
	out := o.Confirm(plan)
	assert.Equal(t, out.Outcome, config.Refused, "the entry applied the plan to another base revision: %+v", out)
	assert.Equal(t, out.Reason, string(config.BaseRevisionChanged))
	assert.Equal(t, len(out.Moved), 1)
	assert.Equal(t, out.Moved[0].Intent, "drain-worker "+c.Workers[0].Link.Address())
	doc, _ := c.StoredConfig()
	assert.Equal(t, doc.GetRevision(), uint64(2))
	assert.Equal(t, doc.GetLimits().GetMaxTasks(), uint32(config.MaxTasks))
}

// Guards against a wrong outcome and a second write after lost replies. The platform executes the write
// of a confirmation and loses the reply, and in the second round the next reply too. The operator must be
// told that the plan was applied. The same confirmation at another entry must have the same outcome and
// change nothing.
func TestConfirmWithLostReplyAppliesOnce(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	o := cluster.NewOperator(t, c.Entries[0])
	for lost := 1; lost <= 2; lost++ {
		plan := o.Plan(setMaxTasks(fmt.Sprint(100 + lost)))
		c.PlatformFaults(standinplatform.Faults{DropWriteReplies: lost})
		out := o.Confirm(plan)
		assert.Equal(t, out.Outcome, config.Applied, "%+v", out)
		assert.Equal(t, out.Revision, plan.Revision)
		assert.Assert(t, strings.Contains(out.Message, "lost"), out.Message)
		c.PlatformFaults(standinplatform.Faults{})

		again := cluster.NewOperator(t, c.Entries[1]).Confirm(plan)
		assert.Equal(t, again.Outcome, config.Applied, "%+v", again)
		assert.Assert(t, again.Earlier)
		assert.Equal(t, again.Revision, plan.Revision)
		assert.Equal(t, timesApplied(o.History(), plan.Id), 1)
		assert.Equal(t, o.History().Revision, plan.Revision)
	}
}

// Guards against an unclear outcome while the platform is down, first at a plan and then between a plan
// and its confirmation. Both must be refused as not written, with the time to retry. Callers are served
// meanwhile, and the same plan is applied when the platform is back.
func TestPlatformDownAtPlanAndBeforeConfirm(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 2})
	e := c.Entries[0]
	o := cluster.NewOperator(t, e)
	plan := o.Plan(setMaxTasks("99"))
	c.PlatformFaults(standinplatform.Faults{FailCalls: true})

	refused := o.ExpectPlanRefused(setMaxTasks("98"))
	assert.Equal(t, refused.Reason, string(config.PlatformUnavailable))
	assert.Assert(t, refused.RetryAfterMs > 0)
	out := o.Confirm(plan)
	assert.Equal(t, out.Outcome, config.Refused, "%+v", out)
	assert.Equal(t, out.Reason, string(config.PlatformUnavailable))
	assert.Assert(t, out.RetryAfterMs > 0)
	assert.Equal(t, o.History().Revision, uint64(1))
	cluster.Eventually(t, 10*time.Second, "the status has the alarm platform_unavailable", func() bool {
		return hasAlarm(statusOf(o.Status(), e), "platform_unavailable")
	})
	j := cluster.Job(cluster.Quote, "outage", 10)
	r, err := e.Client(cluster.Token).Submit(t.Context(), j)
	assert.NilError(t, err)
	cluster.CheckComplete(t, j, r)

	c.PlatformFaults(standinplatform.Faults{})
	out = o.Confirm(plan)
	assert.Equal(t, out.Outcome, config.Applied, "%+v", out)
	cluster.Eventually(t, 10*time.Second, "the status has no alarms", func() bool {
		return len(statusOf(o.Status(), e).Alarms) == 0
	})
}

// Guards against a wrong outcome when the platform goes down after a confirmation has read the document:
// the write fails. If the platform stays down, the operator must be told that the outcome is unknown and
// that confirming again is safe, and the second confirmation applies the plan once. If the platform
// returns in time, the first confirmation must succeed.
func TestPlatformDownDuringConfirm(t *testing.T) {
	for _, back := range []bool{true, false} {
		t.Run(fmt.Sprintf("back=%t", back), func(t *testing.T) {
			t.Parallel()
			c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1})
			o := cluster.NewOperator(t, c.Entries[0])
			plan := o.Plan(setMaxTasks("99"))
			c.PlatformFaults(standinplatform.Faults{FailWrites: true})
			if back {
				time.AfterFunc(2*time.Second, func() { c.PlatformFaults(standinplatform.Faults{}) })
			}
			out := o.Confirm(plan)
			if !back {
				assert.Equal(t, out.Outcome, config.OutcomeUnknown, "%+v", out)
				assert.Assert(t, strings.Contains(out.Message, "again"), out.Message)
				assert.Assert(t, out.RetryAfterMs > 0)
				c.PlatformFaults(standinplatform.Faults{})
				out = o.Confirm(plan)
			}
			assert.Equal(t, out.Outcome, config.Applied, "%+v", out)
			assert.Equal(t, timesApplied(o.History(), plan.Id), 1)
			assert.Equal(t, o.History().Revision, plan.Revision)
		})
	}
}

// Guards against plans that must not be applied: an unauthorized token reads and changes nothing, a plan
// whose contents were altered is refused, and a plan that leaves a kind without workers needs force.
func TestInvalidPlansAreRefused(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1})
	o := cluster.NewOperator(t, c.Entries[0])
	unauthorized := o
	unauthorized.Token = "guess"
	var out schema.Outcome
	assert.Equal(t, unauthorized.Call(http.MethodGet, "/v1/config", nil, &out), http.StatusUnauthorized)
	assert.Equal(t, unauthorized.Call(http.MethodPost, "/v1/plans", setMaxTasks("5"), &out), http.StatusUnauthorized)

	plan := o.Plan(setMaxTasks("5"))
	plan.Intent = setMaxTasks("6")
	assert.Equal(t, o.Confirm(plan).Reason, string(config.BadPlan))

	drain := schema.Intent{Action: string(config.DrainWorker), Target: c.Workers[0].Link.Address()}
	plan = o.Plan(drain)
	assert.DeepEqual(t, plan.Effects.KindsWithoutWorkers, []string{cluster.Booking, cluster.Quote})
	assert.Assert(t, plan.Refused != "")
	assert.Equal(t, o.Confirm(plan).Reason, string(config.NowhereToRun))
	drain.Force = true
	assert.Equal(t, o.Confirm(o.Plan(drain)).Outcome, config.Applied)
}

// hasAlarm reports whether the status of an entry has the named alarm.
func hasAlarm(e schema.EntryStatus, name string) bool {
	for _, a := range e.Alarms {
		if strings.HasPrefix(a, name+":") {
			return true
		}
	}
	return false
}
