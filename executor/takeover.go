package executor

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// taken acts on a higher token: another executor holds the worker. What runs there goes
// on; the new holder asks the coordinators for it.
func (e *Executor) taken(now time.Duration, w *worker) {
	if w.phase == yielded || w.phase == released {
		return
	}
	e.event("worker_taken", w, nil, fmt.Sprintf("runs=%d", len(w.runs)))
	for _, r := range w.sorted() {
		if r.state == starting {
			continue // its answer tells whether the order was obeyed
		}
		w.remove(r)
		e.leave(now, r)
		e.moved(w, r)
	}
	// The new holder finds what is held here on the worker's list, and so does this one, if it takes
	// the worker back: who is to store those ends may have changed.
	w.cursor = w.acknowledged()
	clear(w.unsettled)
	w.phase = yielded
	w.nextPoll = now + yieldTime
	if !w.wanted {
		w.phase = released
	}
}

// moved tells a run's coordinator that another executor looks after the worker.
func (e *Executor) moved(w *worker, r *run) {
	if r.wanted() {
		e.report(r.owner, task.Report{ID: r.id, Run: r.num, Outcome: task.Moved, Worker: w.info.ID, Reason: "worker_taken", Token: w.obeyed})
	}
}

// acquired takes a worker over: its runs are asked for among the coordinators.
func (e *Executor) acquired(now time.Duration, w *worker, a Answer) {
	w.phase = claiming
	e.tenures++
	w.tenure, w.obeyed = e.tenures, w.token
	if len(a.Running) == 0 {
		// Nothing can be claimed, and no order of an earlier holder is obeyed any more: the
		// worker is free. After a loss of power of all daemons that is each of them, and
		// callers that come again wait for the first.
		w.phase = held
	}
	w.claimBy = now + claimWait
	w.waiting = nil
	t := Takeover{Worker: w.info.ID, Epoch: w.tenure, Token: w.obeyed}
	e.resume(now, w, a)
	for _, l := range a.Running {
		if r := w.runs[l.ID]; r == nil || r.num != l.Run {
			w.add(&run{id: l.ID, num: l.Run, state: running, began: now, changed: now, since: a.Clock})
		}
		t.Running = append(t.Running, l.RunningTask)
	}
	for _, f := range a.Completions {
		if f.Number <= w.cursor {
			continue // of a run that this executor started itself
		}
		w.cursor = f.Number
		t.Completed = append(t.Completed, f.RunningTask)
		e.holdFound(now, w, f)
	}
	// Our leases may not shorten what an earlier holder granted.
	w.granted = max(w.granted, a.Clock+e.config.Lease.Milliseconds())
	e.event("worker_held", w, nil, fmt.Sprintf("token=%d running=%d ended=%d", w.token, len(t.Running), len(t.Completed)))
	e.out.Takeovers = append(e.out.Takeovers, t)
}

// ExpectClaims tells which coordinators a takeover was sent to; the worker opens when all have
// answered, or after claimWait.
func (e *Executor) ExpectClaims(now time.Duration, workerID string, coordinators []member.Process) {
	w := e.workers[workerID]
	if w == nil || w.phase != claiming {
		return
	}
	w.waiting = make(map[member.Process]bool, len(coordinators))
	for _, c := range coordinators {
		w.waiting[c] = true
	}
	e.settleClaims(now, w)
	e.step(now)
}

// HandleClaims takes a coordinator's claims: what runs goes on for it, what doesn't is
// reported as gone.
func (e *Executor) HandleClaims(now time.Duration, c Claims) {
	w := e.workers[c.Worker]
	if w == nil || w.phase != claiming && w.phase != held {
		for _, t := range c.Tasks {
			e.report(c.Owner, task.Report{ID: t.ID, Run: t.Run, Outcome: task.Moved, Worker: c.Worker, Reason: "not_held"})
		}
		return
	}
	for i := range c.Tasks {
		e.claim(now, w, c.Owner, &c.Tasks[i])
	}
	delete(w.waiting, c.Owner)
	e.settleClaims(now, w)
	e.step(now)
}

func (e *Executor) claim(now time.Duration, w *worker, owner member.Process, t *task.Task) {
	r := w.runs[t.ID]
	if r == nil || r.num != t.Run {
		e.report(owner, task.Report{ID: t.ID, Run: t.Run, Outcome: w.heldOutcome(t), Worker: w.info.ID, Reason: "not_listed"})
		return
	}
	if r.task != nil && (r.owner == owner && r.orphanedAt == 0 || !t.Durable) {
		return
	}
	w.remove(r)
	r.task, r.owner, r.orphanedAt = t, owner, 0
	w.add(r)
	if r.state == starting || r.state == doubtful {
		return // its start is reported when the worker confirms it
	}
	if r.state == stopping {
		r.discard = false // too late to go on, but its end is worth knowing
		return
	}
	e.report(owner, task.Report{ID: r.id, Run: r.num, Outcome: task.Started, Worker: w.info.ID, Reason: "claimed", Token: w.obeyed})
}

// settleClaims opens a worker once all its runs are claimed or stopped.
func (e *Executor) settleClaims(now time.Duration, w *worker) {
	if w.phase != claiming || w.waiting == nil || len(w.waiting) > 0 && now < w.claimBy {
		return
	}
	for _, r := range w.sorted() {
		if r.task == nil && r.state != stopping {
			e.discard(now, w, r, "unclaimed")
		}
	}
	if !w.unclaimed() {
		w.phase = held
	}
}
