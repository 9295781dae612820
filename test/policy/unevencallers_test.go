// The test of uneven callers.

package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// relativeRate is the rate of one of n groups of callers, compared with a mean of 1, if one group
// submits ratio times as many jobs as each other.
func relativeRate(ratio float64, frequent bool, n int) float64 {
	mean := (ratio + float64(n-1)) / float64(n)
	if frequent {
		return ratio / mean
	}
	return 1 / mean
}

// A hash distributes callers unevenly to the daemons of a failure domain, and one failure domain after
// the other has more callers. The daemons that accept most jobs aren't those with free capacity: if
// only near capacity serves them, the callers of the busy daemons get late answers.
func TestUnevenCallers(t *testing.T) {
	for _, perSecond := range []float64{rate75, 0.9 * rate100} {
		for _, k := range []float64{2, 4, 8} {
			t.Run(fmt.Sprintf("%g a second, 1:%g", perSecond, k), func(t *testing.T) {
				t.Parallel()
				l := fourDomains(perSecond)
				l.callerShare = func(entry int) float64 { return relativeRate(k, entry == 0, l.daemonsPerDomain) }
				l.domainRateFactor = func(domain string, at time.Duration) float64 {
					return relativeRate(k, domain == domainName(int(at/(4*time.Second))%l.domains), l.domains)
				}
				got, best := meanOfSeeds(t, l), meanOfSeeds(t, l.singleQueue())
				assert.Assert(t, got.credit > 0.95*best.credit)
				assert.Assert(t, got.refused < got.jobs/50)
				assert.Assert(t, got.failed < got.jobs/500)
				for domain, d := range got.byDomain {
					assert.Assert(t, d.credit > 0.95*got.credit, "callers of %s", domain)
				}
			})
		}
	}
}
