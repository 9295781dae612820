package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/task"
)

// place returns the open worker for a task: one that it has not failed on, where there is a
// choice; one on which it will be in time, or else the fastest; and of those the one with the
// least room that it fits into, so that large tasks find room elsewhere.
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
	return best
}

// eligible reports whether the task may start on the worker now.
func (e *Executor) eligible(now time.Duration, w *worker, t *task.Task) bool {
	// The room first: it is what most workers lack, and the cheapest to ask.
	return t.Demand.Fits(w.free()) && w.serves(t) && w.open(now) && w.runs[t.ID] == nil && !w.crowded(t)
}

// mostFree bounds, in each dimension, what is left on any one worker that takes new runs.
func (e *Executor) mostFree(now time.Duration) (most capacity.Vector) {
	for _, w := range e.order {
		if free := w.free(); !free.Fits(most) && w.open(now) {
			most = most.Max(free)
		}
	}
	return most
}

// placeKey ranks workers for a task; the least is the best.
type placeKey struct {
	failed bool
	// late is how many times as long as usual the task takes where it would be late by that.
	late float64
	free int64
}

func (e *Executor) placeKey(now time.Duration, w *worker, t *task.Task) placeKey {
	k := placeKey{failed: slices.Contains(t.Avoid, w.info.ID), free: w.free().MilliCPU}
	if slowness := e.slowness(w); slowness > 1 && now+time.Duration(slowness*float64(t.Expected)) > t.Due {
		k.late = slowness
	}
	return k
}

func (k placeKey) compare(o placeKey) int {
	if k.failed != o.failed {
		if o.failed {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(k.late, o.late), cmp.Compare(k.free, o.free))
}
