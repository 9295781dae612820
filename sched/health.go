package sched

import (
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// probeRefusals is the number of refusals in a row after which a worker gets one
	// task at a time.
	probeRefusals = 3
	// provenBy is the number of good runs after which a worker on probation gets its
	// full load again.
	provenBy = 3
	// slowWeight is the weight of one run in a worker's speed.
	slowWeight = 0.1
	// slowRuns is the number of runs from which a worker's speed is relied on.
	slowRuns = 10
	// slowProbe is the first time between two tasks that show whether a straggler has
	// recovered; it doubles up to maxSlowProbe.
	slowProbe    = 2 * time.Second
	maxSlowProbe = 30 * time.Second
	// maxRatio bounds the effect of one run on a worker's speed.
	maxRatio = 10
	// failWeight is the weight of one run in a worker's failure rate, ejectRate the
	// rate at which it is ejected even though some tasks end well.
	failWeight = 0.1
	ejectRate  = 0.5
	// maxWithhold is the longest time for which a slot is left idle after a refusal.
	maxWithhold = time.Second
	// blameTail is how many times the tail of a kind's run times a task may take
	// before a timeout is the worker's fault and not that of a short deadline.
	blameTail = 3
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
	fullRefusals int
	// paused is set for a pause after a refusal, ejected after too many failures.
	paused  bool
	ejected bool
	// ejections counts them; it falls when the worker proves itself.
	ejections int
	// probation counts the good runs that are still wanted after an ejection.
	probation int
	// speed is the moving mean of run times relative to those of the kind.
	speed float64
	runs  int
	slow  bool
	// probeAt is when a straggler gets a task to show whether it has recovered.
	probeAt   time.Duration
	probeWait time.Duration
}

// probing tells whether the worker gets one task at a time.
func (h *health) probing() bool { return h.probation > 0 || h.refusals >= probeRefusals }

// ranWell takes in a good run; full tells whether it had the worker's last free slot.
func (s *Scheduler) ranWell(now time.Duration, w *worker, k *kind, took time.Duration, full bool) {
	k.note(w.Address, false)
	w.refusals, w.failures = 0, 0
	if full {
		w.fullRefusals = 0
	}
	w.failRate -= failWeight * w.failRate
	if w.probation > 0 {
		w.probation--
		if w.probation == 0 {
			w.ejections = max(w.ejections-1, 0)
		}
	}
	if k.times.learned() {
		s.measure(now, w, float64(took)/float64(k.times.mean))
	}
	k.times.add(took)
}

// measure takes in how long a run took relative to the kind's mean.
func (s *Scheduler) measure(now time.Duration, w *worker, ratio float64) {
	w.runs++
	weight := max(1/float64(w.runs), slowWeight)
	w.speed += weight * (min(ratio, maxRatio) - w.speed)
	slow := w.runs >= slowRuns && w.speed >= s.config.SlowFactor
	if slow && !w.slow {
		w.probeWait = slowProbe
		w.probeAt = now + w.probeWait
	}
	w.slow = slow
}

// failed takes in a failure that may have run, and ejects the worker when it fails
// nearly everything.
func (s *Scheduler) failed(now time.Duration, w *worker, k *kind, took time.Duration, reason verdict.Reason) {
	if reason == verdict.ReplyTooLarge || reason == verdict.Internal {
		return
	}
	if reason == verdict.TaskTimeout && took < blameTail*k.times.tail {
		return
	}
	k.note(w.Address, true)
	if k.suspect() {
		return
	}
	w.refusals = 0
	w.failures++
	w.failRate += failWeight * (1 - w.failRate)
	if w.failures >= s.config.EjectAfter || w.probation > 0 || w.failRate > ejectRate {
		s.eject(now, w)
	}
}

// smallDomain is the number of workers below which a failure domain is too small to be
// judged by itself.
const smallDomain = 3

// manyEjected tells whether one more ejection would leave less than half of a failure
// domain's workers, or of all workers when the domain is small: its only worker would
// never be ejected, and one that fails at once draws the tasks of the others.
func (s *Scheduler) manyEjected(domain string) bool {
	all, ejected := s.countEjected(func(w *worker) bool { return w.Domain == domain })
	if all < smallDomain {
		all, ejected = s.countEjected(func(*worker) bool { return true })
	}
	return 2*(ejected+1) > all
}

func (s *Scheduler) countEjected(of func(*worker) bool) (all, ejected int) {
	for _, w := range s.list {
		if !of(w) {
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
	if w.ejected || s.manyEjected(w.Domain) {
		return
	}
	d := min(s.config.EjectFor<<min(w.ejections, 16), s.config.MaxEject)
	w.ejections++
	w.ejected = true
	w.failures, w.failRate = 0, 0
	s.ready.Ejections = append(s.ready.Ejections, Ejection{Worker: w.Address, For: d})
	s.after(now+d, func(time.Duration) {
		w.ejected = false
		w.probation = provenBy
		s.place(w)
	})
}

// refused takes in a refusal that did not run: the worker pauses, longer each time.
func (s *Scheduler) refused(now time.Duration, w *worker, reason verdict.Reason) {
	pause := s.config.RefusalPause
	switch reason {
	case verdict.DialFailed:
		pause = s.config.DialPause
	case verdict.WorkerRefused:
	default:
		return
	}
	if w.paused {
		return // of tasks that were already on their way
	}
	if w.running > 1 && reason == verdict.WorkerRefused {
		s.withhold(now, w)
		return
	}
	pause = min(pause<<min(w.refusals, 16), s.config.MaxPause)
	w.refusals++
	w.paused = true
	s.after(now+pause, func(time.Duration) {
		w.paused = false
		s.place(w)
	})
}

// withhold leaves one slot of a worker idle for a while, longer each time.
func (s *Scheduler) withhold(now time.Duration, w *worker) {
	pause := min(s.config.RefusalPause<<min(w.fullRefusals, 16), maxWithhold)
	w.fullRefusals++
	w.withheld++
	s.after(now+pause, func(time.Duration) {
		w.withheld--
		s.place(w)
	})
}
