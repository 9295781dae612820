package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/task"
)

// declaredMargin is how many times as long as declared a task is taken to run at most when it is
// to be in time on a slow worker: what is declared is off by half.
const estimateMargin = 1.3

// place returns the open worker for a task: one that it has not failed on, where there is a
// choice; one on which it will be in time, or else the fastest; and of those the one with the
// least room that it fits into, so that large tasks find room elsewhere. A task that would be
// late by the worker's speed alone waits while it can be on time otherwise.
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

// hasRoom reports whether the worker has room for the task now.
func (e *Executor) hasCapacity(now time.Duration, w *worker, t *task.Task) bool {
	// The room first: it is what most workers lack, and the cheapest to ask.
	return t.Demand.Fits(w.freeCapacity()) && w.canRun(t) && w.acceptsRuns(now) && w.runs[t.ID] == nil && !w.atStepLimit(t)
}

// roomLeft bounds what place can find, without a look at each worker.
type capacityBounds struct {
	// usual and slow bound, in each dimension, what is left on any one worker that takes new runs:
	// on those that aren't slow, and on those slow ones where it is more.
	notSlow, slow capacity.Vector
	// least is the least slowness of the latter.
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

// mayTake is false only where place finds nothing: no worker has the room, or only ones that are so
// slow that the task is withheld from them.
func (l *capacityBounds) mayPlace(now time.Duration, t *task.Task) bool {
	if t.Demand.Fits(l.notSlow) {
		return true
	}
	return t.Demand.Fits(l.slow) && (t.Label != "" || !TooSlow(now, t, l.minSlowness))
}

// placeKey ranks workers for a task; the least is the best.
type placeKey struct {
	failed bool
	// late is how many times as long as usual the task takes where it would be late by that.
	slownessIfLate float64
	free           int64
}

func (e *Executor) placeKey(now time.Duration, w *worker, t *task.Task) placeKey {
	return placeKey{failed: slices.Contains(t.Avoid, w.info.ID), slownessIfLate: e.slownessIfLate(now, w, t), free: w.freeCapacity().MilliCPU}
}

// lateOn is how many times as long as usual the task takes on the worker where it would be late
// by that; else 0.
func (e *Executor) slownessIfLate(now time.Duration, w *worker, t *task.Task) float64 {
	if slowness := e.slowness(w); wouldBeLate(now, t, slowness) {
		return slowness
	}
	return 0
}

// lateBy reports whether the task is probably late on a worker that takes so many times as long
// as usual.
func wouldBeLate(now time.Duration, t *task.Task, slowness float64) bool {
	return slowness > 1 && endsAfter(now, t, slowness, t.Due)
}

// outlasts reports whether the task, started now where it takes so many times as long as usual,
// probably ends after a time.
func endsAfter(now time.Duration, t *task.Task, slowness float64, by time.Duration) bool {
	return now+time.Duration(estimateMargin*slowness*float64(t.ExpectedRunTime)) > by
}

// callerDeadline is when the task's caller gives up. Coordinators tell by when it may start, with
// half of its time left.
func callerDeadline(t *task.Task) time.Duration { return t.StartBy + t.ExpectedRunTime/2 }

// mayWait reports whether a task that starts later on a usual worker may still be on time.
func canWait(now time.Duration, t *task.Task) bool {
	return now+t.ExpectedRunTime <= t.Due
}

// TooSlow reports whether a worker that takes so many times as long as usual is no room for the
// task: it is probably late there, and may be on time elsewhere.
func TooSlow(now time.Duration, t *task.Task, slowness float64) bool {
	return canWait(now, t) && wouldBeLate(now, t, slowness)
}

// withheld reports whether a task waits rather than start where it takes so many times as long
// as usual: as long as it can be on time elsewhere, or when it would outlast its caller's
// deadline and a faster worker is here. Of workers with a label only those here are known.
func (e *Executor) withheld(now time.Duration, t *task.Task, slowness float64) bool {
	if canWait(now, t) && (t.Label == "" || e.hasFasterWorker(now, t)) {
		return true
	}
	return !t.Durable && endsAfter(now, t, slowness, callerDeadline(t)) && e.hasFasterWorker(now, t)
}

// faster reports whether a worker in use would run the task as usual.
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
