// A workload of callers who compete for scarce capacity, and the check of refusals against free capacity.

package policy

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
)

// recordRefusal records how a job was refused, and whether there was free capacity for all its tasks.
func (m *model) recordRefusal(j *job, a coordinator.Answer) {
	j.refusedAtOnce, j.hadFreeCapacity = a.Waited == 0, m.fits(j)
}

// fits reports whether all tasks of a job fit on workers now, by the state that the workers' holders have.
func (m *model) fits(j *job) bool {
	var free []int64
	for _, d := range m.daemons {
		for _, r := range d.executor.WorkerCapacities(m.now) {
			if r.Open {
				free = append(free, r.Free.MilliCPU)
			}
		}
	}
	slices.Sort(free)
	for range j.runTimes {
		at, _ := slices.BinarySearch(free, j.demand)
		if at == len(free) {
			return false
		}
		rest := free[at] - j.demand
		free = slices.Delete(free, at, at+1)
		at, _ = slices.BinarySearch(free, rest)
		free = slices.Insert(free, at, rest)
	}
	return true
}

// competingBursts adds bursts of callers who compete for scarce capacity: one kind's callers submit
// five times as many jobs for five seconds, then one failure domain's four times as many, then all
// twice as many.
func competingBursts(l workload) workload {
	between := func(at time.Duration, from, to float64) bool {
		return at.Seconds() >= from && at.Seconds() < to
	}
	l.kindRateFactor = func(kind string, at time.Duration) float64 {
		if kind == "short" && between(at, 3, 8) {
			return 5
		}
		return 1
	}
	l.domainRateFactor = func(domain string, at time.Duration) float64 {
		if domain == "z0" && between(at, 10, 15) {
			return 4
		}
		return 1
	}
	l.rateFactor = func(at time.Duration) float64 {
		if between(at, 17, 25) {
			return 2
		}
		return 1
	}
	l.duration = 28 * time.Second
	return l
}

// unequalDaemons is a fleet whose daemons have different processors and whose workers run one or two
// of most tasks at once. Two of eight daemons of each failure domain hold the workers, and the
// longer heartbeat interval makes reports on them older.
func unequalDaemons(perSecond float64) workload {
	return workload{domains: 4, daemonsPerDomain: 8, workersPerDomain: 22, strongDaemons: 2, heartbeatInterval: 200 * time.Millisecond, kinds: []kind{
		{"short", 0.244 * perSecond, 8, 60 * time.Millisecond, 16000, 0, 0.00485},
		{"long", 0.0444 * perSecond, 4, 900 * time.Millisecond, 16000, 2, 0.0267},
		{"pairs", 0.711 * perSecond, 2, 200 * time.Millisecond, 16000, 1, 0.00167},
	}, duration: 20 * time.Second}
}
