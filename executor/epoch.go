package executor

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// Each time that this executor takes a worker, a holding epoch begins, numbered from 1.
// Coordinators learn of each epoch: by a Takeover when it begins, and by the list of free capacity
// until the outcome of all runs in it is known. A task starts only in epochs that its coordinator
// knew of when it offered the task. So if this executor is lost, the coordinator knows all workers
// that the task may run on.

// inKnownEpoch reports whether the task may start in the worker's current epoch.
func (w *worker) inKnownEpoch(t *task.Task) bool { return t.MaxEpoch == 0 || w.epoch <= t.MaxEpoch }

// visible reports whether the worker and its capacity are reported to coordinators.
func (w *worker) visible() bool { return w.phase == held || w.phase == claiming || len(w.runs) > 0 }

// availableFor reports whether the worker, which is in use or being taken, may run the task in some
// epoch.
func (w *worker) availableFor(t *task.Task) bool {
	return w.phase != released && w.phase != yielded && !w.excluded() && w.missedPolls < stopExtendingAfterMissed && w.canRun(t)
}

// fitsOnlyLaterEpoch reports whether only workers in epochs that the coordinator did not know of
// have capacity for the task. These epochs have been reported to the coordinator by now, and it may
// offer the task again.
func (e *Executor) fitsOnlyLaterEpoch(now time.Duration, t *task.Task) bool {
	return e.laterEpochReported(t) && slices.ContainsFunc(e.order, func(w *worker) bool { return !w.inKnownEpoch(t) && e.hasCapacity(now, w, t) })
}

// canServeInKnownEpochs reports whether a worker that is in use, or is being taken, may run the
// task in the epochs that its coordinator knew of. The task waits for a worker that is being taken
// until the coordinator knows of that epoch.
func (e *Executor) canServeInKnownEpochs(t *task.Task) bool {
	return !e.laterEpochReported(t) || slices.ContainsFunc(e.order, func(w *worker) bool {
		return w.availableFor(t) && (w.inKnownEpoch(t) || w.phase == acquiring)
	})
}

// laterEpochReported reports whether coordinators have received epochs after those that the
// task may start in.
func (e *Executor) laterEpochReported(t *task.Task) bool {
	return t.MaxEpoch > 0 && t.MaxEpoch < e.epochs && len(e.output.Takeovers) == 0
}
