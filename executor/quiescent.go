package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

// leaseBound is how long after the last order that a worker may have obeyed what runs there without
// further orders is over: its lease, the drift of clocks and timers that fire late.
func (e *Executor) maxLeaseTime() time.Duration {
	return time.Duration(float64(e.config.MaxLease)/(1-clockDrift)) + leaseMargin
}

// Quiescent reports whether nothing is here of what a lost coordinator ordered, kept tasks aside: the
// right to start its jobs may go to another then. What nobody has claimed on a worker that
// was taken over may be its too, and so may what runs on one that may have been taken over by an
// order without an answer: the earlier holder doesn't answer for it any more.
func (e *Executor) Quiescent(now time.Duration, owner member.Process) bool {
	if slices.ContainsFunc(e.queue, func(q *queuedTask) bool { return q.owner == owner && !q.task.Durable }) {
		return false
	}
	for _, w := range e.order {
		if w.phase != held && w.phase != claiming && w.acquireSentAt > 0 && now-w.acquireSentAt < e.maxLeaseTime() {
			return false
		}
		for _, r := range w.runs {
			if r.task == nil || r.owner == owner && !r.task.Durable {
				return false
			}
		}
	}
	return true
}

// QuiescentAfterReturn reports the same for a coordinator that was lost and is back, of what it ordered
// before. Where a worker was taken from this executor meanwhile, the next holder stops what nobody
// claims, or it ends with its lease.
func (e *Executor) QuiescentAfterReturn(now time.Duration, owner member.Process) bool {
	if at, ok := e.runsLeftAt[owner]; ok && now-at < e.maxLeaseTime() {
		return false
	}
	delete(e.runsLeftAt, owner)
	for _, w := range e.order {
		for _, r := range w.runs {
			if r.task == nil || r.owner == owner && r.discarded {
				return false
			}
		}
	}
	return true
}

// leave notes that a run that is to end is left to the worker's next holder.
func (e *Executor) noteLeftRun(now time.Duration, r *run) {
	if r.discarded && r.task != nil && !r.confirmEnd {
		maps.DeleteFunc(e.runsLeftAt, func(_ member.Process, at time.Duration) bool { return now-at > e.maxLeaseTime() })
		e.runsLeftAt[r.owner] = now
	}
}
