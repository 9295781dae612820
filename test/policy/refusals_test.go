// The test of refusals while capacity is free.

package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The callers of one kind, then of one failure domain, then all compete for scarce capacity, at
// daemons whose reports on each other are up to 200 ms old. Daemons refuse jobs that find no free
// capacity. They refuse few, by outdated reports, whose tasks all have free capacity; jobs over
// their share may be among these, as others will request that capacity soon. Few accepted jobs are late.
func TestCompetingCallersAreNotRefusedWithFreeCapacity(t *testing.T) {
	t.Parallel()
	l := competingBursts(unequalDaemons(211))
	got, best := meanOfSeeds(t, l), meanOfSeeds(t, l.singleQueue())
	t.Logf("refused with free capacity %d, within their share %d, at once %d of %d", got.refusedWithFreeCapacity, got.refusedWithinShare, got.refusedAtOnce, got.refused)
	assert.Assert(t, got.credit > best.credit-0.04)
	assert.Assert(t, got.refusedWithFreeCapacity < got.jobs/50)
	assert.Assert(t, got.refusedWithinShare < got.jobs/200)
	assert.Assert(t, got.credit > 0.835)
	assert.Assert(t, got.late < got.onTime/25)
	assert.Assert(t, got.failed < got.jobs/500)
}
