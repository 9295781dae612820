// The queue of events in virtual time.

package interleave

import (
	"cmp"
	"container/heap"
	"time"
)

// event is an action that a daemon or the world takes at a time.
type event struct {
	at  time.Duration
	seq int
	to  *daemon
	do  func()
}

// events is a queue by time; events of the same time run in the order in which they were scheduled.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// after schedules an event of the world or of a worker, at a time from now.
func (w *world) after(d time.Duration, do func()) { w.schedule(w.now+d, nil, do) }

// at schedules an event of a daemon. A paused daemon handles it when its pause ends.
func (w *world) at(t time.Duration, to *daemon, do func()) { w.schedule(t, to, do) }

func (w *world) schedule(t time.Duration, to *daemon, do func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, to, do})
}

// run handles the events up to a time, or until no further violation can occur.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && !w.finished() {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if e.to != nil && w.now < e.to.pausedUntil {
			e.at = e.to.pausedUntil
			heap.Push(&w.queue, e)
			continue
		}
		e.do()
	}
}
