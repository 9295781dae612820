// Workloads of callers and fleets, and tests of the results under them.

package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mixedKinds are the jobs that callers submit to a fleet: wide short jobs, few long ones, and many
// pairs of tasks in between.
func mixedKinds(perSecond float64) []kind {
	return []kind{
		{"short", 0.244 * perSecond, 8, 60 * time.Millisecond, 14000, 0, 0.0291},
		{"long", 0.0444 * perSecond, 4, 900 * time.Millisecond, 14000, 2, 0.16},
		{"pairs", 0.711 * perSecond, 2, 200 * time.Millisecond, 14000, 1, 0.01},
	}
}

// The jobs a second that use 75%, 100% and 125% of the capacity of the fleet of fourDomains.
const (
	rate75  = 155
	rate100 = 200
	rate125 = 250
)

// fourDomains is a fleet of four failure domains with two daemons and twelve workers each.
func fourDomains(perSecond float64) workload {
	return workload{domains: 4, daemonsPerDomain: 2, workersPerDomain: 12, kinds: mixedKinds(perSecond), duration: 20 * time.Second}
}

// singleQueue returns the same fleet with one daemon, which knows the state of all workers: no
// distribution among several daemons could serve on time the jobs that it can't.
func (l workload) singleQueue() workload {
	l.callerDomains, l.daemonsPerCallerDomain = l.domains, l.daemonsPerDomain
	l.workersPerDomain, l.domains, l.daemonsPerDomain = l.workersPerDomain*l.domains, 1, 1
	return l
}

// seeds is the number of runs of each workload: the credit of two seeds differs by up to 0.03 at
// 100% load.
const seeds = 3

// meanOfSeeds runs a workload with several seeds, and returns the sums of the counts and the means
// of the shares.
func meanOfSeeds(t *testing.T, l workload) (mean results) {
	t.Helper()
	for seed := range uint64(seeds) {
		r := runLoad(l, seed)
		mean.jobs += r.jobs
		mean.onTime += r.onTime
		mean.late += r.late
		mean.refused += r.refused
		mean.refusedWithFreeCapacity += r.refusedWithFreeCapacity
		mean.refusedWithinShare += r.refusedWithinShare
		mean.refusedAtOnce += r.refusedAtOnce
		mean.failed += r.failed
		mean.credit += r.credit / seeds
		mean.uselessWork += r.uselessWork / seeds
		mean.returnedPerTask += r.returnedPerTask / seeds
		mean.submissionsPerCaller += r.submissionsPerCaller / seeds
	}
	t.Log(mean)
	return mean
}

// The jobs use three quarters of the capacity, and more in bursts. Tasks wait at one daemon while
// workers of another are idle, and jobs are late that a single queue would serve on time. Without
// immediate reports of taken capacity, and without coordinators that move waiting tasks to free
// capacity, the fleet loses 0.022 of the credit compared with a single queue.
func TestFreeCapacityElsewhereIsUsed(t *testing.T) {
	t.Parallel()
	l := fourDomains(rate75)
	got, best := meanOfSeeds(t, l), meanOfSeeds(t, l.singleQueue())
	assert.Assert(t, got.credit > best.credit-0.012)
	assert.Assert(t, got.refused < got.jobs/200)
	assert.Equal(t, got.failed, 0)
}

// The jobs use all capacity of the fleet. A single queue loses 0.01 of the credit; daemons that
// predict waiting times from outdated reports lose 0.11 to 0.14.
func TestFullFleet(t *testing.T) {
	t.Parallel()
	l := fourDomains(rate100)
	got, best := meanOfSeeds(t, l), meanOfSeeds(t, l.singleQueue())
	assert.Assert(t, got.credit > best.credit-0.06)
	assert.Assert(t, got.failed < got.jobs/500)
}

// Callers submit a quarter more than the capacity. The daemons refuse at once the jobs that they can't
// serve on time; most accepted ones are on time, and few fail after a wait. When a daemon accepts
// jobs by the mean waiting time alone, a third of the jobs is late, and these delay others.
func TestOverloadIsRefusedEarly(t *testing.T) {
	t.Parallel()
	l := fourDomains(rate125)
	got := meanOfSeeds(t, l)
	assert.Assert(t, got.credit > 0.68)
	assert.Assert(t, got.late < got.onTime/4)
	assert.Assert(t, got.failed < got.jobs/500, "jobs failed after a wait")
	assert.Assert(t, got.uselessWork < 0.01)
}

// A fifth of the workers is slow for some seconds, and no report says so. Daemons detect it by waits
// that are longer than predicted: they refuse jobs earlier, and accept them as before once the
// workers have recovered.
func TestRefusalsFollowSlowWorkers(t *testing.T) {
	t.Parallel()
	l := fourDomains(rate100)
	l.slowdown = func(worker int, at time.Duration) float64 {
		if worker%5 == 0 && at > 6*time.Second && at < 11*time.Second {
			return 6
		}
		return 1
	}
	got := meanOfSeeds(t, l)
	assert.Assert(t, got.credit > 0.885)
	assert.Assert(t, got.failed < got.jobs/50)
}

// One worker after the other starts to drain while callers submit as many jobs as before. The daemons
// refuse the jobs that no longer fit, and few jobs fail after a wait.
func TestShrinkingFleet(t *testing.T) {
	t.Parallel()
	l := fourDomains(rate75)
	l.draining = func(worker int, at time.Duration) bool {
		return worker%4 == 0 && at > time.Duration(worker)*200*time.Millisecond
	}
	got := meanOfSeeds(t, l)
	assert.Assert(t, got.credit > 0.9)
	assert.Assert(t, got.failed < got.jobs/500)
}

// All callers submit twice as many jobs for two seconds. The fleet serves new jobs on time soon after
// the burst, and doesn't process the late ones first.
func TestRecoveryAfterBurst(t *testing.T) {
	t.Parallel()
	l := fourDomains(rate75)
	l.rateFactor = func(at time.Duration) float64 {
		if at > 5*time.Second && at < 7*time.Second {
			return 2
		}
		return 1
	}
	got := meanOfSeeds(t, l)
	assert.Assert(t, got.credit > 0.915)
	assert.Assert(t, got.failed < got.jobs/500)
}

// A failure domain is cut off from the others twice for five seconds. Offers of its daemons to the
// others get no answer. Once heartbeats are overdue its daemons offer nothing more to the others,
// well before these count as unreachable.
func TestIsolatedDomain(t *testing.T) {
	t.Parallel()
	l := fourDomains(rate75)
	l.isolated = func(domain string, at time.Duration) bool {
		return domain == "z1" && (at > 3*time.Second && at < 8*time.Second || at > 12*time.Second && at < 17*time.Second)
	}
	got := meanOfSeeds(t, l)
	assert.Assert(t, got.credit > 0.955)
	assert.Assert(t, got.failed < got.jobs/60)
}

// Callers submit two and a half times as many jobs for three seconds, and a refused caller retries at
// the time in its refusal. If all refusals name the same time, the retries are the next burst: 1.5
// submissions a caller, and one caller in fifteen is refused each time. Times one after the other let
// the fleet serve nearly all callers.
func TestRetriesOfRefusedCallersAreSpread(t *testing.T) {
	t.Parallel()
	l := fourDomains(rate75)
	l.maxSubmissions = 4
	l.rateFactor = func(at time.Duration) float64 {
		if at > 5*time.Second && at < 8*time.Second {
			return 2.5
		}
		return 1
	}
	got := meanOfSeeds(t, l)
	assert.Assert(t, got.refused < got.jobs/100)
	assert.Assert(t, got.credit > 0.88)
	assert.Assert(t, got.submissionsPerCaller < 1.35)
}

// largeTasks are kinds of jobs whose tasks take half of a smaller worker each. Two tasks fit on one
// worker only if their sum does, so that tasks can't use a third of the capacity.
func largeTasks(perSecond float64) []kind {
	return []kind{
		{"short", 0.236 * perSecond, 8, 60 * time.Millisecond, 16000, 0, 0.00485},
		{"long", 0.075 * perSecond, 4, 900 * time.Millisecond, 16000, 2, 0.0267},
		{"pairs", 0.689 * perSecond, 2, 200 * time.Millisecond, 16000, 1, 0.00167},
	}
}

// threeDomains is a fleet of three failure domains, whose small daemons hold about eight workers each.
func threeDomains(perSecond float64) workload {
	return workload{domains: 3, daemonsPerDomain: 5, workersPerDomain: 39, kinds: largeTasks(perSecond), duration: 16 * time.Second}
}

// threeDomainsRate is how many jobs a second the callers of threeDomains usually submit.
const threeDomainsRate = 217

// The operator retires one of three failure domains while callers submit jobs as usual. Its workers
// get no new tasks, its daemons accept jobs as before, and the capacity of the other domains serves
// nearly all. The domain serves again as soon as the operator reinstates it.
func TestRetiredDomain(t *testing.T) {
	t.Parallel()
	l := threeDomains(threeDomainsRate)
	l.retired = func(domain string, at time.Duration) bool {
		return domain == "z1" && at > 4*time.Second && at < 10*time.Second
	}
	got := meanOfSeeds(t, l)
	assert.Assert(t, got.credit > 0.985)
	assert.Assert(t, got.failed < got.jobs/500)
}

// Workers leave one in thirty orders unanswered. If an executor detects this by the orders' time
// limit, and the task starts again 50 ms after the stop that prevents the first start, a fifteenth of
// the jobs is late: 0.948 of the credit.
func TestUnansweredOrders(t *testing.T) {
	t.Parallel()
	l := threeDomains(threeDomainsRate)
	l.unansweredShare = 0.033
	got := meanOfSeeds(t, l)
	assert.Assert(t, got.credit > 0.985)
	assert.Assert(t, got.failed < got.jobs/300)
}

// Two of the eight daemons of each failure domain have four times the processor of the others, and
// hold all its workers. If all eight hold workers in proportion to their processors, tasks that take
// half of a worker find free capacity less often and wait in the wrong queue: 0.924 of the credit.
func TestFewHoldersUseFreeCapacity(t *testing.T) {
	t.Parallel()
	l := threeDomains(240)
	l.domains, l.daemonsPerDomain, l.strongDaemons = 2, 8, 2
	got, best := meanOfSeeds(t, l), meanOfSeeds(t, l.singleQueue())
	assert.Assert(t, got.credit > best.credit-0.04)
	assert.Assert(t, got.failed < got.jobs/500)
}
