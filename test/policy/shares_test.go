// The tests of shares: a burst of one group of callers against the service of the others.

package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// toleratedLoss is how much less of its possible credit a group within its share may earn beside a
// burst of another group than alone: callers can't distinguish it from the usual variation between days.
const toleratedLoss = 0.03

// shareSeeds is the number of runs of these workloads. It is larger than seeds, as a group has only a
// part of the jobs.
const shareSeeds = 6

// creditByGroup runs a workload and returns the mean credit of all jobs, of each kind, and of each
// failure domain's callers.
func creditByGroup(l workload) map[string]float64 {
	mean := make(map[string]float64)
	for seed := range uint64(shareSeeds) {
		r := runLoad(l, seed)
		mean["all"] += r.credit / shareSeeds
		for _, group := range []map[string]*results{r.byKind, r.byDomain} {
			for name, groupResult := range group {
				mean[name] += groupResult.credit / shareSeeds
			}
		}
	}
	return mean
}

func inBurst(at time.Duration) bool { return at > 5*time.Second && at < 12*time.Second }

// A burst of one kind of jobs, or of one failure domain's callers, comes at the others' cost: together
// they request more than the capacity, and whoever comes first gets it.
func TestBurstDoesNotHarmOthers(t *testing.T) {
	t.Parallel()
	alone := creditByGroup(fourDomains(rate75))
	kind := func(times float64) workload {
		l := fourDomains(rate75)
		l.kindRateFactor = func(kind string, at time.Duration) float64 {
			if kind == "short" && inBurst(at) {
				return times
			}
			return 1
		}
		return l
	}
	domain := fourDomains(rate75)
	domain.domainRateFactor = func(domain string, at time.Duration) float64 {
		if domain == "z0" && inBurst(at) {
			return 4
		}
		return 1
	}
	for _, c := range []struct {
		name   string
		load   workload
		others []string
		// least bounds the credit of all jobs together from below: shares must not cost more than the burst could earn
		// with the capacity of the others.
		least float64
	}{
		{"one kind at 1.5 times", kind(1.5), []string{"long", "pairs"}, 0.97},
		{"one kind at 3 times", kind(3), []string{"long", "pairs"}, 0.915},
		{"one kind at 5 times", kind(5), []string{"long", "pairs"}, 0.771},
		{"one domain at 4 times", domain, []string{"z1", "z2", "z3"}, 0.844},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got := creditByGroup(c.load)
			t.Log(got)
			for _, o := range c.others {
				assert.Assert(t, got[o] > alone[o]-toleratedLoss, "%s: %.3f, %.3f alone", o, got[o], alone[o])
			}
			assert.Assert(t, got["all"] > c.least)
		})
	}
}
