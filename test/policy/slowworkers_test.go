// The tests of slow workers and of wrongly declared run times.

package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowdownFactor is how many times as long tasks run on workers that are slow.
const slowdownFactor = 6

// rate73WithLong is the jobs a second that use 73% of the capacity of fourDomains if 3 in 100 jobs are long.
const rate73WithLong = 128

// inDisturbedFifth reports whether a worker is one of the fifth that a disturbance affects at a time.
func inDisturbedFifth(worker int, at, begin, end time.Duration) bool {
	return worker%5 == 0 && at >= begin && at < end
}

func slowdownOfFifth(worker int, at time.Duration) float64 {
	if inDisturbedFifth(worker, at, 6*time.Second, 12*time.Second) {
		return slowdownFactor
	}
	return 1
}

// A fifth of the workers is six times slower for six seconds, and recovers then. The daemons detect
// and exclude these workers at once: callers are served nearly as well as if the workers were draining
// for that time. Three in a hundred jobs run seven times as long on any worker; the daemons exclude no
// worker because of these.
func TestFifthOfWorkersTurnsSlow(t *testing.T) {
	t.Parallel()
	slow, drained, usual := fourDomains(rate73WithLong), fourDomains(rate73WithLong), fourDomains(rate73WithLong)
	slow.slowdown = slowdownOfFifth
	drained.draining = func(worker int, at time.Duration) bool {
		return inDisturbedFifth(worker, at, 6*time.Second, 12*time.Second)
	}
	for _, l := range []*workload{&slow, &drained, &usual} {
		l.longShare = 0.03
	}
	slowResults, drainedResults, usualResults := meanOfSeeds(t, slow), meanOfSeeds(t, drained), meanOfSeeds(t, usual)
	// Not all tasks that run on these workers when they become slow can be on time: two a worker, most
	// too short to start again in time. Draining workers complete theirs.
	assert.Assert(t, slowResults.credit > drainedResults.credit-0.025)
	assert.Assert(t, slowResults.credit > 0.955)
	assert.Assert(t, usualResults.credit > 0.97)
}

// A third of the workers always takes two and a half times as long. Tasks that are on time there run
// there, the others on other workers. The reports on workers serve nearly as well as a single queue
// that knows all of them.
func TestThirdOfWorkersIsSlower(t *testing.T) {
	t.Parallel()
	l := fourDomains(100)
	l.slowdown = func(worker int, _ time.Duration) float64 {
		if worker%3 == 0 {
			return 2.5
		}
		return 1
	}
	got, best := meanOfSeeds(t, l), meanOfSeeds(t, l.singleQueue())
	assert.Assert(t, got.credit > 0.94)
	assert.Assert(t, got.credit > best.credit-0.02)
}

// All workers take longer than declared, as callers declare too short run times. No worker is excluded
// as slow because of this, and the fleet uses all capacity.
func TestAllWorkersSlowerThanDeclared(t *testing.T) {
	t.Parallel()
	l := fourDomains(90)
	l.slowdown = func(int, time.Duration) float64 { return 1.5 }
	got := meanOfSeeds(t, l)
	assert.Assert(t, got.refused < got.jobs/50)
	assert.Assert(t, got.failed < got.jobs/200)
}

// Callers declare run times that are half as long again as the real ones, and so request a quarter
// more than the capacity. The real run times fit, and the fleet serves the jobs.
func TestRunTimesDeclaredTooLong(t *testing.T) {
	t.Parallel()
	l := fourDomains(rate125)
	l.slowdown = func(int, time.Duration) float64 { return 0.67 }
	got, best := meanOfSeeds(t, l), meanOfSeeds(t, l.singleQueue())
	assert.Assert(t, got.credit > best.credit-0.03)
	assert.Assert(t, got.refused < got.jobs/100)
}
