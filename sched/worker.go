package sched

import "time"

// Worker is a worker with the slots that this entry may use on it.
type Worker struct {
	// Address is the worker's IP:port.
	Address string
	Domain  string
	// Slots is this entry's share of the worker's slots.
	Slots     int
	Resources Resources
	// Drained workers get no new task.
	Drained bool
}

// worker is a worker with its load.
type worker struct {
	Worker
	running int
	// leaving is set once the worker itself, or a peer, said that it is leaving.
	leaving bool
	// pausedUntil is the end of the pause after a refusal.
	pausedUntil time.Duration
	// gone is set when the worker left the list while tasks were still running.
	gone bool
}

// free returns the slots on which a task may start now.
func (w *worker) free(now time.Duration) int {
	if w.Drained || w.leaving || w.gone || now < w.pausedUntil {
		return 0
	}
	return max(w.Slots-w.running, 0)
}

// usable tells whether the worker may get work at all, now or later.
func (w *worker) usable() bool {
	return !w.Drained && !w.leaving && !w.gone
}
