package sched

import (
	"container/heap"
	"time"
)

// timer calls a function at a time. heapIndex is its position in the heap of timers.
type timer struct {
	at        time.Duration
	call      func(now time.Duration)
	heapIndex int
}

// timers is a heap of timers, the earliest first.
type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	n := x.(*timer)
	n.heapIndex = len(*t)
	*t = append(*t, n)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.heapIndex = -1
	return last
}

// setTimer sets a timer: the first call of fireTimers at or after the given time calls do.
func (s *Scheduler) setTimer(at time.Duration, do func(now time.Duration)) *timer {
	t := &timer{at: at, call: do}
	heap.Push(&s.timers, t)
	return t
}

// stopTimer stops a timer. It does nothing for a timer that has fired.
func (s *Scheduler) stopTimer(t *timer) {
	if t != nil && t.heapIndex >= 0 {
		heap.Remove(&s.timers, t.heapIndex)
	}
}

// fireTimers calls and removes the timers that are due.
func (s *Scheduler) fireTimers(now time.Duration) {
	for len(s.timers) > 0 && s.timers[0].at <= now {
		heap.Pop(&s.timers).(*timer).call(now)
	}
}
