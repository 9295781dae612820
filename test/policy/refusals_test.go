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
	f, best := meanOfSeeds(t, l), meanOfSeeds(t, l.singleQueue())
	t.Logf("refused with free capacity %d, within their share %d, at once %d of %d", f.refusedWithFreeCapacity, f.refusedWithinShare, f.refusedAtOnce, f.refused)
	assert.Assert(t, f.credit > best.credit-0.04)
	assert.Assert(t, f.refusedWithFreeCapacity < f.jobs/50)
	assert.Assert(t, f.refusedWithinShare < f.jobs/200)
	assert.Assert(t, f.credit > 0.835)
	assert.Assert(t, f.late < f.onTime/25)
	assert.Assert(t, f.failed < f.jobs/500)
}
