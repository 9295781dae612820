package sched

import "time"

// Worker describes a worker and the slots that this entry may use on it.
type Worker struct {
	// Address is the worker's IP:port.
	Address string
	Domain  string
	// Slots is this entry's share of the worker's slots.
	Slots int
	// Total is the number of all slots of the worker. Only the baseline policies use it.
	Total     int
	Resources Resources
	// Drained workers get no new tasks.
	Drained bool
}

// worker is a worker with its grants, its load and its health.
type worker struct {
	Worker
	own      grant
	borrowed []*grant
	running  int
	// leaving is set once the worker itself or a peer has reported that it is leaving.
	leaving bool
	// removed is set once SetWorkers no longer lists the worker. Its tasks may still run.
	removed bool
	health
}

func newWorker(w Worker, lent int) *worker {
	n := &worker{Worker: w}
	n.own = grant{worker: n, slots: w.Slots, lent: lent}
	return n
}

// usable reports whether the worker may get tasks, now or after a backoff or ejection.
func (w *worker) usable() bool {
	return !w.Drained && !w.leaving && !w.removed
}

// SetWorkers replaces the list of workers and this entry's shares. Tasks continue on a
// worker that is no longer listed. Pass workers that are still leaving as Drained,
// because SetWorkers clears the mark that SetLeaving or an outcome set.
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

// SetLeaving marks a worker as leaving, so that it gets no new tasks.
func (s *Scheduler) SetLeaving(address string) {
	if w := s.workers[address]; w != nil {
		w.leaving = true
		s.reindex(w)
	}
}
