package interleave

import (
	"cmp"
	"container/heap"
	"time"
)

// event is something that happens at a time, to a daemon or to the world.
type event struct {
	at  time.Duration
	seq int
	to  *daemon
	do  func()
}

// events is a queue by time; what is due at once goes in the order in which it was scheduled.
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

// after schedules what happens to the world, or to workers.
func (w *world) after(d time.Duration, do func()) { w.schedule(w.now+d, nil, do) }

// at schedules what happens to a daemon; one that stands still then does it when it goes on.
func (w *world) at(t time.Duration, to *daemon, do func()) { w.schedule(t, to, do) }

func (w *world) schedule(t time.Duration, to *daemon, do func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, to, do})
}

// run lets time pass until a time, or until nothing is left to be seen.
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
