package executor

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// handleTaken handles a higher token: another executor has taken the worker. Its runs go on, and the
// new holder asks the coordinators to claim them.
func (e *Executor) handleTaken(now time.Duration, w *worker) {
	if w.phase == yielded || w.phase == released {
		return
	}
	e.emitEvent("worker_taken", w, nil, fmt.Sprintf("runs=%d", len(w.runs)))
	for _, r := range w.sortedRuns() {
		if r.state == starting {
			continue // the start's answer tells whether the worker obeyed it
		}
		w.removeRun(r)
		e.noteLeftRun(now, r)
		e.reportMoved(w, r)
	}
	// The new holder finds the unacknowledged completions in the worker's list. So does this executor
	// if it takes the worker back: another coordinator may have to store them by then.
	w.cursor = w.acknowledgeable()
	clear(w.unacknowledged)
	w.listIncomplete = false
	e.endDeferredClaims(w, task.Moved, "worker_taken")
	w.phase = yielded
	w.nextPollAt = now + yieldDelay
	if !w.assigned {
		w.phase = released
	}
}

// reportMoved tells a run's coordinator that another executor now holds the worker.
func (e *Executor) reportMoved(w *worker, r *run) {
	if r.awaited() {
		e.emitReport(r.owner, task.Report{ID: r.id, Run: r.number, Outcome: task.Moved, Worker: w.info.ID, Reason: "worker_taken", Token: w.epochToken})
	}
}

// handleAcquired completes the taking of a worker, and asks the coordinators to claim its runs.
func (e *Executor) handleAcquired(now time.Duration, w *worker, a Answer) {
	w.phase = claiming
	e.epochs++
	w.epoch, w.epochToken = e.epochs, w.token
	if len(a.Running) == 0 {
		// There is nothing to claim, and the worker no longer obeys orders of an earlier holder, so
		// it is free. After a power loss of all daemons every worker is, and callers that retry wait
		// for the first.
		w.phase = held
	}
	w.claimDeadline = now + claimTimeout
	w.awaitedClaims = nil
	w.listIncomplete = len(a.Completions) >= completionListLimit
	t := Takeover{Worker: w.info.ID, Epoch: w.epoch, Token: w.epochToken, Incomplete: w.listIncomplete}
	e.endDeferredClaims(w, task.Moved, "worker_taken")
	own := e.resolveEarlierRuns(now, w, a)
	for _, l := range a.Running {
		if r := w.runs[l.ID]; r == nil || r.number != l.Run {
			w.addRun(&run{id: l.ID, number: l.Run, state: running, startSentAt: now, progressAt: now, runningClock: a.Clock})
		}
		t.Running = append(t.Running, l.RunningTask)
	}
	for _, c := range a.Completions {
		if c.Number <= w.cursor {
			continue // read before
		}
		w.cursor = c.Number
		if own[c.Number] {
			continue // the completion of a run that this executor started itself
		}
		t.Completed = append(t.Completed, c.RunningTask)
		e.holdFoundCompletion(now, w, c)
	}
	// This holder's leases must not shorten a lease that an earlier holder granted.
	w.grantedUntil = max(w.grantedUntil, a.Clock+e.config.Lease.Milliseconds())
	e.emitEvent("worker_held", w, nil, fmt.Sprintf("token=%d running=%d ended=%d incomplete=%t", w.token, len(t.Running), len(t.Completed), t.Incomplete))
	e.output.Takeovers = append(e.output.Takeovers, t)
}

// ExpectClaims sets which coordinators a takeover was sent to. The worker opens for new runs when all
// have answered, or after claimTimeout.
func (e *Executor) ExpectClaims(now time.Duration, workerID string, coordinators []member.Process) {
	w := e.workers[workerID]
	if w == nil || w.phase != claiming {
		return
	}
	w.awaitedClaims = make(map[member.Process]bool, len(coordinators))
	for _, c := range coordinators {
		w.awaitedClaims[c] = true
	}
	e.finishClaims(now, w)
	e.schedule(now)
}

// HandleClaims handles a coordinator's claims. Claimed runs that are listed go on for it; for the
// others it gets a report of how they ended.
func (e *Executor) HandleClaims(now time.Duration, c Claims) {
	w := e.workers[c.Worker]
	if w == nil || w.phase != claiming && w.phase != held {
		for _, t := range c.Tasks {
			e.emitReport(c.Owner, task.Report{ID: t.ID, Run: t.Run, Outcome: task.Moved, Worker: c.Worker, Reason: "not_held"})
		}
		return
	}
	for i := range c.Tasks {
		e.claim(now, w, c.Owner, &c.Tasks[i])
	}
	delete(w.awaitedClaims, c.Owner)
	e.finishClaims(now, w)
	e.schedule(now)
}

// claim gives a coordinator a run that it claims, or reports to it how the run ended.
func (e *Executor) claim(now time.Duration, w *worker, owner member.Process, t *task.Task) {
	r := w.runs[t.ID]
	if r == nil || r.number != t.Run {
		if w.listIncomplete && w.outcomeOfUnlisted(t) == task.Terminated {
			w.deferredClaims = append(w.deferredClaims, deferredClaim{owner, t})
			return
		}
		e.emitReport(owner, task.Report{ID: t.ID, Run: t.Run, Outcome: w.outcomeOfUnlisted(t), Worker: w.info.ID, Reason: "not_listed"})
		return
	}
	if r.task != nil && (r.owner == owner && r.orphanedAt == 0 || !t.Durable) {
		return
	}
	if r.task != nil && r.owner != owner {
		// The record of the job's owner is in the store, and an earlier owner may not have read that it is
		// replaced. It drops the job when it does.
		refused := t.OutrankedBy(r.task.OwnedSince)
		e.emitEvent("run_claimed", w, r, fmt.Sprintf("by=%s owned_since=%d before=%s before_since=%d refused=%t", owner.Address, t.OwnedSince, r.owner.Address, r.task.OwnedSince, refused))
		if refused {
			return
		}
	}
	w.removeRun(r)
	r.task, r.owner, r.orphanedAt = t, owner, 0
	w.addRun(r)
	if r.state == starting || r.state == unanswered {
		return // the executor reports the start when the worker confirms it
	}
	if r.state == stopping {
		r.discarded = false // the run cannot go on any more, but the coordinator has to learn of its end
		return
	}
	e.emitReport(owner, task.Report{ID: r.id, Run: r.number, Outcome: task.Started, Worker: w.info.ID, Reason: "claimed", Token: w.epochToken})
}

// deferredClaim is a coordinator's claim for a run that the worker has not listed so far.
type deferredClaim struct {
	owner member.Process
	task  *task.Task
}

// reportFound tells all coordinators of completions of earlier holders' runs that did not fit into the
// list at the takeover. Until a list is complete, no coordinator may conclude from it that a run is over.
func (e *Executor) reportFound(now time.Duration, w *worker, found []task.RunningTask, complete bool) {
	if len(found) == 0 && !complete {
		return
	}
	w.listIncomplete = !complete
	t := w.presentLists()
	for _, r := range found {
		if !r.Done && !r.Failed { // the others are among those that are held
			t.Completed = append(t.Completed, r)
		}
	}
	e.emitEvent("ends_found", w, nil, fmt.Sprintf("found=%d held=%d complete=%t", len(found), len(w.unacknowledged), complete))
	e.output.Takeovers = append(e.output.Takeovers, t)
	if !complete {
		return
	}
	claims := w.deferredClaims
	w.deferredClaims = nil
	for _, c := range claims {
		e.claim(now, w, c.owner, c.task)
	}
}

// presentLists returns the runs and the unacknowledged completions of a worker as they are now known.
func (w *worker) presentLists() Takeover {
	t := Takeover{Worker: w.info.ID, Epoch: w.epoch, Token: w.epochToken, Reconciliation: true, Incomplete: w.listIncomplete}
	for _, r := range w.sortedRuns() {
		t.Running = append(t.Running, task.RunningTask{ID: r.id, Run: r.number})
	}
	for _, c := range w.unacknowledged {
		t.Completed = append(t.Completed, c.RunningTask)
	}
	return t
}

// endDeferredClaims answers claims of runs whose completions this executor can't list any more.
func (e *Executor) endDeferredClaims(w *worker, o task.Outcome, reason string) {
	for _, c := range w.deferredClaims {
		e.emitReport(c.owner, task.Report{ID: c.task.ID, Run: c.task.Run, Outcome: o, Worker: w.info.ID, Reason: reason})
	}
	w.deferredClaims = nil
}

// finishClaims opens a worker once all its runs are claimed or stopped.
func (e *Executor) finishClaims(now time.Duration, w *worker) {
	if w.phase != claiming || w.awaitedClaims == nil || len(w.awaitedClaims) > 0 && now < w.claimDeadline {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.task == nil && r.state != stopping {
			e.discard(now, w, r, "unclaimed")
		}
	}
	if !w.hasUnclaimedRuns() {
		w.phase = held
	}
}
