// Tests of confirmations while the platform is slow.

package operate

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/config"
	standinplatform "github.com/lavendercleat/lavendercleat/internal/standin/platform"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// Guards against a confirmation that fails or is applied twice on a slow platform: each call to the
// platform takes two seconds. The confirmation takes a few seconds and must be applied once.
func TestConfirmWithSlowPlatformIsApplied(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1})
	o := cluster.NewOperator(t, c.Entries[0])
	plan := o.Plan(setMaxTasks("99"))
	c.PlatformFaults(standinplatform.Faults{DelayMS: 2000})
	out := o.Confirm(plan)
	assert.Equal(t, out.Outcome, config.Applied, "%+v", out)
	assert.Equal(t, out.Revision, plan.Revision)
	c.PlatformFaults(standinplatform.Faults{})
	assert.Equal(t, timesApplied(o.History(), plan.Id), 1)
}

// Guards against an unclear outcome if each call to the platform exceeds its time-out. The entry cannot read
// the document. It must refuse the confirmation as not written, with the time to retry. The same plan is
// applied when the platform is fast again.
func TestConfirmWithTooSlowPlatformIsRefused(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1})
	o := cluster.NewOperator(t, c.Entries[0])
	plan := o.Plan(setMaxTasks("99"))
	c.PlatformFaults(standinplatform.Faults{DelayMS: 6000})
	out := o.Confirm(plan)
	assert.Equal(t, out.Outcome, config.Refused, "%+v", out)
	assert.Equal(t, out.Reason, string(config.PlatformUnavailable))
	assert.Assert(t, out.RetryAfterMs > 0)
	assert.Equal(t, o.History().Revision, uint64(1))
	c.PlatformFaults(standinplatform.Faults{})
	out = o.Confirm(plan)
	assert.Equal(t, out.Outcome, config.Applied, "%+v", out)
	assert.Assert(t, !out.Earlier)
	assert.Equal(t, timesApplied(o.History(), plan.Id), 1)
}

// Guards against a wrong outcome if the platform executes a write after the entry's time-out. The platform
// becomes slow while a confirmation reads the document. The operator must be told that the outcome is
// unknown and that confirming again is safe, and the plan must be applied once.
func TestConfirmWithLateWritesAppliesOnce(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1})
	o := cluster.NewOperator(t, c.Entries[0])
	plan := o.Plan(setMaxTasks("99"))
	c.PlatformFaults(standinplatform.Faults{DelayMS: 2000})
	time.AfterFunc(time.Second, func() { c.PlatformFaults(standinplatform.Faults{DelayMS: 6000}) })
	out := o.Confirm(plan)
	assert.Equal(t, out.Outcome, config.OutcomeUnknown, "%+v", out)
	assert.Assert(t, strings.Contains(out.Message, "again"), out.Message)
	assert.Assert(t, out.RetryAfterMs > 0)

	c.PlatformFaults(standinplatform.Faults{})
	out = o.Confirm(plan)
	assert.Equal(t, out.Outcome, config.Applied, "%+v", out)
	cluster.Eventually(t, 10*time.Second, "the plan is in force", func() bool {
		return timesApplied(o.History(), plan.Id) == 1 && o.History().Revision == plan.Revision
	})
}
