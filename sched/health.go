package sched

// This file tracks the health of workers: backoff after refusals, ejection after failures,
// and the detection of stragglers.

import (
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// refusalsBeforeProbing is the number of refusals in a row after which a worker gets
	// one task at a time.
	refusalsBeforeProbing = 3
	// recoveryRuns is the number of successful runs after which a worker on probation
	// gets its full load again.
	recoveryRuns = 3
	// slowdownWeight is the weight of one run in a worker's slowdown.
	slowdownWeight = 0.1
	// minSlowdownRuns is the number of runs from which the scheduler uses a worker's
	// slowdown.
	minSlowdownRuns = 10
	// stragglerProbeInterval is the first interval between tasks that test whether a
	// straggler has recovered. The interval doubles up to maxStragglerProbeInterval.
	stragglerProbeInterval    = 2 * time.Second
	maxStragglerProbeInterval = 30 * time.Second
	// maxSlowdown bounds the effect of one run on a worker's slowdown.
	maxSlowdown = 10
	// failRateWeight is the weight of one run in a worker's failure rate. The
	// scheduler ejects a worker above ejectFailRate even though some of its tasks succeed.
	failRateWeight = 0.1
	ejectFailRate  = 0.5
	// maxWithhold bounds the time for which a slot is withheld after a refusal.
	maxWithhold = time.Second
	// blameTailFactor times the tail run time of the kind is the run time from which the
	// scheduler blames a timeout on the worker, and not on a short deadline.
	blameTailFactor = 3
)

// health is what the outcomes of a worker's tasks say about the worker.
type health struct {
	// refusals and failures count consecutive refusals and failures.
	refusals int
	failures int
	// failRate is the moving average of the failure rate.
	failRate float64
	// withheld is the number of slots that are left idle for a while, because the worker
	// refused a task although it runs others: a task that this entry does not know of
	// occupies the slot. busyRefusals counts such refusals since the latest success of a
	// task that had taken the worker's last free slot.
	withheld     int
	busyRefusals int
	// backingOff is set for the backoff after a refusal, ejected after too many failures.
	backingOff bool
	ejected    bool
	// ejections counts the ejections. It decreases when the worker completes a probation.
	ejections int
	// probation is the number of successful runs that the worker still needs after an
	// ejection.
	probation int
	// slowdown is the moving average of run times relative to the mean of the kind
	// (1 = as fast as the mean), runs the number of runs in it. straggler is set
	// while the worker counts as a straggler.
	slowdown  float64
	runs      int
	straggler bool
	// probeAt is when a straggler gets the next task that tests whether it has recovered.
	probeAt       time.Duration
	probeInterval time.Duration
}

// probing reports whether the worker gets one task at a time.
func (h *health) probing() bool { return h.probation > 0 || h.refusals >= refusalsBeforeProbing }

// recordSuccess records a successful run. tookLastSlot reports whether the task had taken
// the worker's last free slot.
func (s *Scheduler) recordSuccess(now time.Duration, w *worker, k *kind, took time.Duration, tookLastSlot bool) {
	k.recordResult(w.Address, false)
	w.refusals, w.failures = 0, 0
	if tookLastSlot {
		w.busyRefusals = 0
	}
	w.failRate -= failRateWeight * w.failRate
	if w.probation > 0 {
		w.probation--
		if w.probation == 0 {
			w.ejections = max(w.ejections-1, 0)
		}
	}
	if k.times.learned() {
		s.recordSlowdown(now, w, float64(took)/float64(k.times.mean))
	}
	k.times.add(took)
}

// recordSlowdown records the run time of a task relative to the mean of its kind, and
// marks or unmarks the worker as a straggler.
func (s *Scheduler) recordSlowdown(now time.Duration, w *worker, slowdown float64) {
	w.runs++
	weight := max(1/float64(w.runs), slowdownWeight)
	w.slowdown += weight * (min(slowdown, maxSlowdown) - w.slowdown)
	straggler := w.runs >= minSlowdownRuns && w.slowdown >= s.config.StragglerSlowdown
	if straggler && !w.straggler {
		w.probeInterval = stragglerProbeInterval
		w.probeAt = now + w.probeInterval
	}
	w.straggler = straggler
}

// recordFailure records the failure of a task that may have run. It ejects a worker that
// fails nearly everything.
func (s *Scheduler) recordFailure(now time.Duration, w *worker, k *kind, took time.Duration, reason verdict.Reason) {
	if reason == verdict.ReplyTooLarge || reason == verdict.Internal {
		return
	}
	if reason == verdict.TaskTimeout && took < blameTailFactor*k.times.tail {
		return
	}
	k.recordResult(w.Address, true)
	if k.suspect() {
		return
	}
	w.refusals = 0
	w.failures++
	w.failRate += failRateWeight * (1 - w.failRate)
	if w.failures >= s.config.EjectAfterFailures || w.probation > 0 || w.failRate > ejectFailRate {
		s.eject(now, w)
	}
}

// minDomainSize is the number of workers below which a failure domain is too small to
// bound ejections by its own workers.
const minDomainSize = 3

// tooManyEjected reports whether one more ejection would leave less than half of the
// failure domain's workers. For a small domain it counts all workers instead: otherwise
// the scheduler could never eject the only worker of a domain, and a worker that fails at once
// would attract the tasks of the others.
func (s *Scheduler) tooManyEjected(domain string) bool {
	all, ejected := s.countEjected(func(w *worker) bool { return w.Domain == domain })
	if all < minDomainSize {
		all, ejected = s.countEjected(func(*worker) bool { return true })
	}
	return 2*(ejected+1) > all
}

// countEjected counts the workers that match, and the ejected ones among them.
func (s *Scheduler) countEjected(match func(*worker) bool) (all, ejected int) {
	for _, w := range s.workerList {
		if !match(w) {
			continue
		}
		all++
		if w.ejected {
			ejected++
		}
	}
	return all, ejected
}

// eject gives a worker no tasks for a while and then puts it on probation. It never
// ejects more than half of the workers (see tooManyEjected): when most workers fail, the
// cause lies elsewhere, and the remaining workers could not carry the load.
func (s *Scheduler) eject(now time.Duration, w *worker) {
	if w.ejected || s.tooManyEjected(w.Domain) {
		return
	}
	period := min(s.config.EjectDuration<<min(w.ejections, 16), s.config.MaxEjectDuration)
	w.ejections++
	w.ejected = true
	w.failures, w.failRate = 0, 0
	s.ready.Ejections = append(s.ready.Ejections, Ejection{Worker: w.Address, For: period})
	s.setTimer(now+period, func(time.Duration) {
		w.ejected = false
		w.probation = recoveryRuns
		s.reindex(w)
	})
}

// recordRefusal records a refusal that proves that the task did not run. The worker gets
// no tasks for a backoff, which doubles with each refusal in a row.
func (s *Scheduler) recordRefusal(now time.Duration, w *worker, reason verdict.Reason) {
	backoff := s.config.RefusalBackoff
	switch reason {
	case verdict.DialFailed:
		backoff = s.config.DialBackoff
	case verdict.WorkerRefused:
	default:
		return
	}
	if w.backingOff {
		return // the entry sent the task before the backoff began
	}
	if w.running > 1 && reason == verdict.WorkerRefused {
		s.withholdSlot(now, w)
		return
	}
	backoff = min(backoff<<min(w.refusals, 16), s.config.MaxBackoff)
	w.refusals++
	w.backingOff = true
	s.setTimer(now+backoff, func(time.Duration) {
		w.backingOff = false
		s.reindex(w)
	})
}

// withholdSlot leaves one slot of a worker idle for a backoff, which doubles with each
// such refusal.
func (s *Scheduler) withholdSlot(now time.Duration, w *worker) {
	backoff := min(s.config.RefusalBackoff<<min(w.busyRefusals, 16), maxWithhold)
	w.busyRefusals++
	w.withheld++
	s.setTimer(now+backoff, func(time.Duration) {
		w.withheld--
		s.reindex(w)
	})
}
