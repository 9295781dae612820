package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// oneTo is the rate of one of n callers' groups, of which one comes k times as often as each
// other, compared with a mean of 1.
func oneTo(k float64, often bool, n int) float64 {
	mean := (k + float64(n-1)) / float64(n)
	if often {
		return k / mean
	}
	return 1 / mean
}

// Callers come unevenly, by a hash, to the daemons of a failure domain, and unevenly from the
// failure domains, one after the other more often. Who decides is not who has the room: served
// by the room that is near alone, the callers of the busy ones came late.
func TestUnevenCallers(t *testing.T) {
	for _, perSecond := range []float64{load75, 0.9 * load100} {
		for _, k := range []float64{2, 4, 8} {
			t.Run(fmt.Sprintf("%g a second, 1:%g", perSecond, k), func(t *testing.T) {
				t.Parallel()
				l := fourDomains(perSecond)
				l.share = func(entry int) float64 { return oneTo(k, entry == 0, l.daemonsEach) }
				l.domainRate = func(domain string, at time.Duration) float64 {
					return oneTo(k, domain == domainName(int(at/(4*time.Second))%l.domains), l.domains)
				}
				f, best := mean(t, l), mean(t, l.oneQueue())
				assert.Assert(t, f.credit > 0.95*best.credit)
				assert.Assert(t, f.refused < f.jobs/50)
				assert.Assert(t, f.failed < f.jobs/500)
				for domain, d := range f.byDomain {
					assert.Assert(t, d.credit > 0.95*f.credit, "callers of %s", domain)
				}
			})
		}
	}
}
