package sched

import "time"

// Worker is a worker with the slots that this entry may use on it.
type Worker struct {
	// Address is the worker's IP:port.
	Address string
	Domain  string
	// Slots is this entry's share of the worker's slots.
	Slots int
	// Total is the number of the worker's slots; only the baselines use it.
	Total     int
	Resources Resources
	// Drained workers get no new task.
	Drained bool
}

// worker is a worker with its load and health.
type worker struct {
	Worker
	own      grant
	borrowed []*grant
	running  int
	// leaving is set once the worker itself, or a peer, said that it is leaving.
	leaving bool
	// gone is set when the worker left the list while tasks were still running.
	removed bool
	health
}

func newWorker(w Worker, lent int) *worker {
	n := &worker{Worker: w}
	n.own = grant{worker: n, slots: w.Slots, lent: lent}
	return n
}

// usable tells whether the worker may get work at all, now or later.
func (w *worker) usable() bool {
	return !w.Drained && !w.leaving && !w.removed
}

// SetWorkers replaces the list of workers and this entry's shares. Tasks running on
// a worker that is no longer listed go on. Pass workers that are still leaving as
// Drained: the mark that SetLeaving or an outcome made ends here.
func (s *Scheduler) SetWorkers(now time.Duration, list []Worker) {
	old := s.workers
	s.workers = make(map[string]*worker, len(list))
	s.workerList = s.workerList[:0]
	for _, w := range list {
		n := old[w.Address]
		if n == nil {
			n = newWorker(w, s.ledger.Lent(w.Address))
		}
		delete(old, w.Address)
		n.Worker = w
		n.leaving = false
		n.own.slots = w.Slots
		s.workers[w.Address] = n
		s.workerList = append(s.workerList, n)
		s.reindex(n)
	}
	for _, o := range old {
		o.removed = true
		s.reindex(o)
		for _, k := range s.kindList {
			k.forgetWorker(o.Address)
		}
	}
	s.capacities.stale = true
	s.schedule(now)
}

// SetLeaving marks a worker that is leaving: it gets no new task.
func (s *Scheduler) SetLeaving(address string) {
	if w := s.workers[address]; w != nil {
		w.leaving = true
		s.reindex(w)
	}
}
