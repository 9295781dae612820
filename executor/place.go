package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// place returns the open worker for a task: one that it has not failed on, where there is a
// choice, on which it will be in time; of those the slowest, which leaves fast ones to tasks that
// would be late elsewhere; and of equally fast ones that with the least room that it fits into,
// so that large tasks find room elsewhere.
func (e *Executor) place(now time.Duration, t *task.Task) *worker {
	var best *worker
	var bestKey placeKey
	for _, w := range e.order {
		if !w.open(now) || !w.serves(t) || !t.Demand.Fits(w.free()) || w.runs[t.ID] != nil || w.crowded(t) {
			continue
		}
		if key := e.placeKey(now, w, t); best == nil || key.compare(bestKey) < 0 {
			best, bestKey = w, key
		}
	}
	return best
}

// placeKey ranks workers for a task; the least is the best.
type placeKey struct {
	failed, late bool
	speed        float64
	free         int64
}

func (e *Executor) placeKey(now time.Duration, w *worker, t *task.Task) placeKey {
	slowness := e.slowness(w)
	end := now + time.Duration(slowness*float64(t.Expected))
	k := placeKey{failed: slices.Contains(t.Avoid, w.info.ID), late: slowness > 1 && end > t.Due, speed: 1 / slowness, free: w.free().MilliCPU}
	if k.late {
		k.speed = slowness // the less late the better
	}
	return k
}

func (k placeKey) compare(o placeKey) int {
	rank := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(k.failed), rank(o.failed)), cmp.Compare(rank(k.late), rank(o.late)),
		cmp.Compare(k.speed, o.speed), cmp.Compare(k.free, o.free))
}
