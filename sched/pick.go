package sched

import "time"

// anyFree tells whether any slot is free.
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

// baseline tells whether workers are chosen among all, whatever the shares.
func (s *Scheduler) baseline() bool {
	return s.config.Policy == RandomWorker || s.config.Policy == TwoChoices
}

// pick returns where the next task of a job may start now, nil when it has to wait.
// It takes the worker with the most free slots: own slots first, then borrowed ones
// that are expected to last as long as the task, then stragglers where waiting for
// another worker would take longer.
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
	g := s.index[slowClass].best(now, j.Needs, j.Domains, times.tail)
	if g == nil || !s.worthStraggler(now, j, g.worker) {
		return nil
	}
	return g
}

// worthSlow tells whether a straggler should run the job's next task: when it is time
// to see whether it has recovered, or when the wait for another worker is expected to
// be longer than what the straggler loses.
func (s *Scheduler) worthStraggler(now time.Duration, j *job, w *worker) bool {
	if now >= w.probeAt && w.running == 0 {
		w.probeInterval = min(2*w.probeInterval, maxSlowProbeInterval)
		w.probeAt = now + w.probeInterval
		return true
	}
	excess := w.slowdown - 1
	if float64(s.waiting) > excess*float64(max(s.capacities.total, 1)) {
		return true
	}
	return now-j.submitted > time.Duration(excess*float64(j.kind.times.mean))
}

// pickAny is the baselines' choice among all workers.
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

// randomGrant returns a random worker that may run the job, nil when there is none.
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
