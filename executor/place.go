package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/task"
)

// estimateMargin is how many times its declared time a task is assumed to take at most, when the
// executor decides whether it will be on time on a slow worker. Declared times are off by half.
const estimateMargin = 1.3

// place returns the worker on which to start a task, or nil. It prefers workers on which the task
// has not failed, then workers on which the task will be on time, else the fastest, and of those the
// one with the least free capacity, so that large tasks find capacity elsewhere. A task that would be
// late only because of the worker's speed waits while it can be on time on another worker.
func (e *Executor) place(now time.Duration, t *task.Task) *worker {
	var best *worker
	var bestKey placeKey
	for _, w := range e.order {
		if !e.eligible(now, w, t) {
			continue
		}
		if key := e.placeKey(now, w, t); best == nil || key.compare(bestKey) < 0 {
			best, bestKey = w, key
		}
	}
	switch {
	case best == nil:
		return nil
	case bestKey.slownessIfLate > 0 && e.withheld(now, t, bestKey.slownessIfLate):
		return nil
	case bestKey.slownessIfLate == 0:
		if w := e.probeFor(now, t); w != nil {
			return w
		}
	}
	return best
}

// eligible reports whether the task may start on the worker now.
func (e *Executor) eligible(now time.Duration, w *worker, t *task.Task) bool {
	return e.hasCapacity(now, w, t) && w.inKnownEpoch(t)
}

// hasCapacity reports whether the worker can start the task now, whatever its epoch.
func (e *Executor) hasCapacity(now time.Duration, w *worker, t *task.Task) bool {
	// Free capacity first: most workers lack it, and it is the cheapest check.
	return t.Demand.Fits(w.freeCapacity()) && w.canRun(t) && w.acceptsRuns(now) && w.runs[t.ID] == nil && !w.atStepLimit(t)
}

// capacityBounds bounds what place can find, without a look at each worker.
type capacityBounds struct {
	// notSlow and slow are upper bounds, in each dimension, of the free capacity on any one worker
	// that accepts runs: notSlow for workers that are not slow, slow for slow workers that have more.
	notSlow, slow capacity.Vector
	// minSlowness is the least slowness of the workers that count in slow.
	minSlowness float64
}

func (e *Executor) capacityBounds(now time.Duration) (b capacityBounds) {
	for _, w := range e.order {
		free := w.freeCapacity()
		if free.Fits(b.notSlow) || !w.acceptsRuns(now) {
			continue
		}
		slowness := e.slowness(w)
		switch {
		case slowness <= 1:
			b.notSlow = b.notSlow.Max(free)
		case b.minSlowness == 0 || slowness < b.minSlowness:
			b.slow, b.minSlowness = b.slow.Max(free), slowness
		default:
			b.slow = b.slow.Max(free)
		}
	}
	return b
}

// mayPlace returns false only where place finds nothing: no worker has the capacity, or only workers
// that are so slow that the task is withheld from them.
func (b *capacityBounds) mayPlace(now time.Duration, t *task.Task) bool {
	if t.Demand.Fits(b.notSlow) {
		return true
	}
	return t.Demand.Fits(b.slow) && (t.Label != "" || !TooSlow(now, t, b.minSlowness))
}

// placeKey ranks workers for a task; the least key is the best.
type placeKey struct {
	failed bool
	// slownessIfLate is the worker's slowness if the task would be late because of it; else 0.
	slownessIfLate float64
	free           int64
}

func (e *Executor) placeKey(now time.Duration, w *worker, t *task.Task) placeKey {
	return placeKey{failed: slices.Contains(t.Avoid, w.info.ID), slownessIfLate: e.slownessIfLate(now, w, t), free: w.freeCapacity().MilliCPU}
}

// slownessIfLate returns the worker's slowness if the task would be late on it because of that;
// else 0.
func (e *Executor) slownessIfLate(now time.Duration, w *worker, t *task.Task) float64 {
	if slowness := e.slowness(w); wouldBeLate(now, t, slowness) {
		return slowness
	}
	return 0
}

// wouldBeLate reports whether the task is probably late on a worker of this slowness, that is, one
// that takes so many times as long as usual.
func wouldBeLate(now time.Duration, t *task.Task, slowness float64) bool {
	return slowness > 1 && endsAfter(now, t, slowness, t.Due)
}

// endsAfter reports whether the task, started now on a worker of this slowness, probably ends after
// the given time.
func endsAfter(now time.Duration, t *task.Task, slowness float64, by time.Duration) bool {
	return now+time.Duration(estimateMargin*slowness*float64(t.ExpectedRunTime)) > by
}

// callerDeadline is when the task's caller gives up. Coordinators set StartBy so that half of the
// task's expected time is left then.
func callerDeadline(t *task.Task) time.Duration { return t.StartBy + t.ExpectedRunTime/2 }

// canWait reports whether a task that starts later on a usual worker may still be on time.
func canWait(now time.Duration, t *task.Task) bool {
	return now+t.ExpectedRunTime <= t.Due
}

// TooSlow reports whether a worker of this slowness offers no useful capacity for the task: the task
// is probably late there, and may be on time elsewhere.
func TooSlow(now time.Duration, t *task.Task, slowness float64) bool {
	return canWait(now, t) && wouldBeLate(now, t, slowness)
}

// withheld reports whether a task waits rather than starts on a worker of this slowness. It waits
// while it can be on time elsewhere. It also waits if it would outlast its caller's deadline here and
// this executor has a faster worker. If the task needs a label, only this executor's workers count,
// as those of others are not known.
func (e *Executor) withheld(now time.Duration, t *task.Task, slowness float64) bool {
	if canWait(now, t) && (t.Label == "" || e.hasFasterWorker(now, t)) {
		return true
	}
	return !t.Durable && endsAfter(now, t, slowness, callerDeadline(t)) && e.hasFasterWorker(now, t)
}

// hasFasterWorker reports whether a worker in use would run the task at the usual speed.
func (e *Executor) hasFasterWorker(now time.Duration, t *task.Task) bool {
	return slices.ContainsFunc(e.order, func(w *worker) bool {
		return w.usable() && w.canRun(t) && e.slowness(w) <= 1
	})
}

func (k placeKey) compare(o placeKey) int {
	if k.failed != o.failed {
		if o.failed {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(k.slownessIfLate, o.slownessIfLate), cmp.Compare(k.free, o.free))
}
