package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

// maxLeaseTime is how long a run can go on without further orders after the last order that the
// worker may have obeyed: the longest lease, plus clock drift, plus a margin for timers that fire
// late.
func (e *Executor) maxLeaseTime() time.Duration {
	return LeaseBound(e.config.MaxLease)
}

// Quiescent reports whether this executor has nothing left of what a lost coordinator ordered,
// durable jobs aside. Only then may another coordinator start that one's jobs. Unclaimed runs on a
// worker that was taken over may be that coordinator's too. So may runs on a worker that may have
// been taken by an order without an answer, as the earlier holder does not answer for it any more.
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

// QuiescentAfterReturn reports the same for a coordinator that was lost and is back, for what it
// ordered before its loss. Where another holder took a worker from this executor meanwhile, that
// holder stops unclaimed runs, or they end with their lease.
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

// noteLeftRun notes that a run that has to end is left to the worker's next holder.
func (e *Executor) noteLeftRun(now time.Duration, r *run) {
	if r.discarded && r.task != nil && !r.confirmEnd {
		maps.DeleteFunc(e.runsLeftAt, func(_ member.Process, at time.Duration) bool { return now-at > e.maxLeaseTime() })
		e.runsLeftAt[r.owner] = now
	}
}
