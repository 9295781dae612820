package sched

import (
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// probeRefusals is the number of refusals in a row after which a worker gets one
	// task at a time.
	refusalsBeforeProbing = 3
	// provenBy is the number of good runs after which a worker on probation gets its
	// full load again.
	recoveryRuns = 3
	// slowWeight is the weight of one run in a worker's speed.
	slowdownWeight = 0.1
	// slowRuns is the number of runs from which a worker's speed is relied on.
	minSlowdownRuns = 10
	// slowProbe is the first time between two tasks that show whether a straggler has
	// recovered; it doubles up to maxSlowProbe.
	slowProbeInterval    = 2 * time.Second
	maxSlowProbeInterval = 30 * time.Second
	// maxRatio bounds the effect of one run on a worker's speed.
	maxSlowdown = 10
	// failWeight is the weight of one run in a worker's failure rate, ejectRate the
	// rate at which it is ejected even though some tasks end well.
	failRateWeight = 0.1
	ejectFailRate  = 0.5
	// maxWithhold is the longest time for which a slot is left idle after a refusal.
	maxWithhold = time.Second
	// blameTail is how many times the tail of a kind's run times a task may take
	// before a timeout is the worker's fault and not that of a short deadline.
	blameTailFactor = 3
)

// health is what a worker's answers tell of it.
type health struct {
	// refusals and failures count those in a row.
	refusals int
	failures int
	// failRate is the moving rate of failures.
	failRate float64
	// withheld counts slots that are left idle for a while after refusals of a worker
	// that runs other tasks: someone else's task still holds the slot. fullRefusals
	// counts such refusals since the worker last ran as many tasks as it should.
	withheld     int
	busyRefusals int
	// paused is set for a pause after a refusal, ejected after too many failures.
	backingOff bool
	ejected    bool
	// ejections counts them; it falls when the worker proves itself.
	ejections int
	// probation counts the good runs that are still wanted after an ejection.
	probation int
	// speed is the moving mean of run times relative to those of the kind.
	slowdown float64
	runs     int
	slow     bool
	// probeAt is when a straggler gets a task to show whether it has recovered.
	probeAt       time.Duration
	probeInterval time.Duration
}

// probing tells whether the worker gets one task at a time.
func (h *health) probing() bool { return h.probation > 0 || h.refusals >= refusalsBeforeProbing }

// ranWell takes in a good run; full tells whether it had the worker's last free slot.
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

// measure takes in how long a run took relative to the kind's mean.
func (s *Scheduler) recordSlowdown(now time.Duration, w *worker, slowdown float64) {
	w.runs++
	weight := max(1/float64(w.runs), slowdownWeight)
	w.slowdown += weight * (min(slowdown, maxSlowdown) - w.slowdown)
	slow := w.runs >= minSlowdownRuns && w.slowdown >= s.config.StragglerSlowdown
	if slow && !w.slow {
		w.probeInterval = slowProbeInterval
		w.probeAt = now + w.probeInterval
	}
	w.slow = slow
}

// failed takes in a failure that may have run, and ejects the worker when it fails
// nearly everything.
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

// smallDomain is the number of workers below which a failure domain is too small to be
// judged by itself.
const minDomainSize = 3

// manyEjected tells whether one more ejection would leave less than half of a failure
// domain's workers, or of all workers when the domain is small: its only worker would
// never be ejected, and one that fails at once draws the tasks of the others.
func (s *Scheduler) tooManyEjected(domain string) bool {
	all, ejected := s.countEjected(func(w *worker) bool { return w.Domain == domain })
	if all < minDomainSize {
		all, ejected = s.countEjected(func(*worker) bool { return true })
	}
	return 2*(ejected+1) > all
}

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

// eject keeps a worker without tasks for a while, then on probation. Never more than
// half of the workers (see manyEjected) are ejected: when most look bad, the cause lies elsewhere
// and the rest could not carry the load.
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

// refused takes in a refusal that did not run: the worker pauses, longer each time.
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
		return // of tasks that were already on their way
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

// withhold leaves one slot of a worker idle for a while, longer each time.
func (s *Scheduler) withholdSlot(now time.Duration, w *worker) {
	backoff := min(s.config.RefusalBackoff<<min(w.busyRefusals, 16), maxWithhold)
	w.busyRefusals++
	w.withheld++
	s.setTimer(now+backoff, func(time.Duration) {
		w.withheld--
		s.reindex(w)
	})
}
