package sched

// This file chooses the worker for the next task of a job.

import "time"

// anyFree reports whether any slot is free.
func (s *Scheduler) anyFree() bool {
	if s.baseline() {
		return true
	}
	for i := range s.index {
		if s.index[i].top > 0 {
			return true
		}
	}
	return false
}

// baseline reports whether the policy chooses among all workers regardless of shares.
func (s *Scheduler) baseline() bool {
	return s.config.Policy == RandomWorker || s.config.Policy == TwoChoices
}

// pick returns the grant on which the next task of a job may start now, or nil when the
// task has to wait. Within a class it picks the worker with the most free slots. The
// classes in order are: workers that get one task at a time, own slots, borrowed slots whose
// loan outlasts the task's expected run, and stragglers if waiting for another worker would
// take longer.
func (s *Scheduler) pick(now time.Duration, j *job) *grant {
	if s.baseline() {
		return s.pickBaseline(j)
	}
	times := &j.kind.times
	if g := s.index[probeClass].best(now, j.Needs, j.Domains, 0); g != nil {
		return g
	}
	if g := s.index[ownClass].best(now, j.Needs, j.Domains, 0); g != nil {
		return g
	}
	if g := s.index[borrowedClass].best(now, j.Needs, j.Domains, times.tail); g != nil {
		return g
	}
	g := s.index[stragglerClass].best(now, j.Needs, j.Domains, times.tail)
	if g == nil || !s.worthStraggler(now, j, g.worker) {
		return nil
	}
	return g
}

// worthStraggler reports whether a straggler should run the job's next task. It should if
// a probe of the straggler is due, or if the expected wait for another worker exceeds the
// extra run time on the straggler.
func (s *Scheduler) worthStraggler(now time.Duration, j *job, w *worker) bool {
	if now >= w.probeAt && w.running == 0 {
		w.probeInterval = min(2*w.probeInterval, maxStragglerProbeInterval)
		w.probeAt = now + w.probeInterval
		return true
	}
	excess := w.slowdown - 1
	if float64(s.waiting) > excess*float64(max(s.capacities.total, 1)) {
		return true
	}
	return now-j.submittedAt > time.Duration(excess*float64(j.kind.times.mean))
}

// pickBaseline chooses a worker for the baseline policies.
func (s *Scheduler) pickBaseline(j *job) *grant {
	a := s.randomGrant(j)
	if s.config.Policy == RandomWorker || a == nil {
		return a
	}
	b := s.randomGrant(j)
	if b.worker.running < a.worker.running {
		return b
	}
	return a
}

// randomGrant returns the grant of a random worker that may run the job, or nil when
// there is none.
func (s *Scheduler) randomGrant(j *job) *grant {
	n := len(s.workerList)
	if n == 0 {
		return nil
	}
	at := s.random.IntN(n)
	for i := range n {
		w := s.workerList[(at+i)%n]
		if w.usable() && !w.backingOff && !w.ejected && w.own.suits(j.Needs, j.Domains) && w.running < w.Total {
			return &w.own
		}
	}
	return nil
}
