package sched

import (
	"container/heap"
	"time"
)

// timer is something to do at a time, at position index of the heap.
type timer struct {
	at    time.Duration
	do    func(now time.Duration)
	index int
}

// timers is a heap of timers, the earliest first.
type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	n := x.(*timer)
	n.index = len(*t)
	*t = append(*t, n)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.index = -1
	return last
}

// after arranges for do to be called by the first Tick at or after a time.
func (s *Scheduler) after(at time.Duration, do func(now time.Duration)) *timer {
	t := &timer{at: at, do: do}
	heap.Push(&s.timers, t)
	return t
}

// stop stops a timer that may have fired.
func (s *Scheduler) stop(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&s.timers, t.index)
	}
}

// fire runs what is due.
func (s *Scheduler) fire(now time.Duration) {
	for len(s.timers) > 0 && s.timers[0].at <= now {
		heap.Pop(&s.timers).(*timer).do(now)
	}
}
