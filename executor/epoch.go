package executor

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// Each taking of a worker begins a tenure, numbered from 1. Coordinators hear of each: by a Takeover
// when it begins, and by the list of rooms until it is known what became of all runs in it. A task
// is started only in tenures that its coordinator knew of when it offered the task. So when this
// executor is lost, the coordinator knows all workers that the task may run on.

// within reports whether the task may start in the present tenure of the worker.
func (w *worker) inKnownEpoch(t *task.Task) bool { return t.MaxEpoch == 0 || w.epoch <= t.MaxEpoch }

// told reports whether coordinators are told of the worker.
func (w *worker) visible() bool { return w.phase == held || w.phase == claiming || len(w.runs) > 0 }

// mayServe reports whether the worker, in use or about to be, may run the task in some tenure.
func (w *worker) availableFor(t *task.Task) bool {
	return w.phase != released && w.phase != yielded && !w.excluded() && w.missedPolls < stopExtendingAfterMissed && w.canRun(t)
}

// onlyLater reports whether there is room for the task in later tenures than it may start in. Its
// coordinator has been told of them by now, and may offer it again.
func (e *Executor) fitsOnlyLaterEpoch(now time.Duration, t *task.Task) bool {
	return e.laterEpochReported(t) && slices.ContainsFunc(e.order, func(w *worker) bool { return !w.inKnownEpoch(t) && e.hasCapacity(now, w, t) })
}

// canServeWithin reports whether a worker in use, or about to be, may run the task in the tenures
// that it may start in. One that is being taken is waited for until its coordinator knows of it.
func (e *Executor) canServeInKnownEpochs(t *task.Task) bool {
	return !e.laterEpochReported(t) || slices.ContainsFunc(e.order, func(w *worker) bool {
		return w.availableFor(t) && (w.inKnownEpoch(t) || w.phase == acquiring)
	})
}

// laterTold reports whether coordinators have been told of later tenures than the task may start in.
func (e *Executor) laterEpochReported(t *task.Task) bool {
	return t.MaxEpoch > 0 && t.MaxEpoch < e.epochs && len(e.output.Takeovers) == 0
}
