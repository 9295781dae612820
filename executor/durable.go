package executor

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// OrphanTimeout is how long a durable job's run goes on without its coordinator. Within this
	// time a successor takes the job over and claims the run. Otherwise the executor stops the run,
	// so that its task is safe to start again.
	OrphanTimeout = 1200 * time.Millisecond
	// unacknowledgedPollDelay is the delay between polls of a worker that lists completions which
	// must not be acknowledged yet. Such a worker answers polls at once and does not hold them
	// until a run ends.
	unacknowledgedPollDelay = 25 * time.Millisecond
	// lostOwnerTimeout is how long after the loss of its coordinator a completion may still be
	// confirmed as stored. Within this time a successor takes the job over and reconciles it, and no
	// coordinator starts the task again: a coordinator waits 3.2 s for that, from when this executor
	// became unreachable for it, which may be a second earlier.
	lostOwnerTimeout = 1900 * time.Millisecond
	// confirmTimeout is how long a completion may wait for the confirmation that it is stored. After
	// that the executor asks whether its job has ended meanwhile.
	confirmTimeout = 2 * time.Second
)

// unacknowledgedCompletion is a completion that its coordinator, or a successor, has to store before
// the worker may forget it. Otherwise a task that is done would start again after a power loss.
type unacknowledgedCompletion struct {
	task.RunningTask
	// lookUpAt is when the executor asks whether the job has ended.
	lookUpAt time.Duration
	// late: the completion may be acknowledged only after the worker's lease has expired, when it
	// counts for nothing. Its coordinator has not confirmed it in time, or has started the task
	// again. Another coordinator may have started the task again by then. If the completion were
	// acknowledged now, that run would be a second run of a task that was done.
	late bool
	// lookedUp: a look-up found that its job had not ended.
	lookedUp bool
	// releasable: it may be acknowledged.
	releasable bool
	// ownedSince is when its coordinator came to own the job, as in the task; 0: not known.
	ownedSince int64
	// foundAtTakeover: it was listed at a takeover, and it is not known whether its job is durable.
	foundAtTakeover bool
	// owner is its coordinator, ownerLostAt when that became unreachable; 0: it is reachable.
	owner       member.Process
	ownerLostAt time.Duration
}

// EventCompletionReleased tells that a completion may be acknowledged, and why.
const EventCompletionReleased = "end_settled"

// knownTo reports whether the completion was reported to the coordinator and it has been reachable
// since. Otherwise it may have started the task again after the completion.
func (c unacknowledgedCompletion) knownTo(owner member.Process) bool {
	return c.owner == owner && c.ownerLostAt == 0 && !c.late
}

// JobState is the stored state of a job that has an unacknowledged completion.
type JobState uint8

// States of jobs.
const (
	// JobNotDurable: the store has no such job.
	JobNotDurable JobState = iota
	// JobOpen: the job has not ended.
	JobOpen
	// JobEnded: the job has ended.
	JobEnded
)

// holdCompletion keeps the completion of a durable job's run from being acknowledged.
func (e *Executor) holdCompletion(now time.Duration, w *worker, r *run, c Completion) {
	switch {
	case r.task == nil:
		e.holdFoundCompletion(now, w, c)
	case r.task.Durable && !r.discarded && (c.Done || c.Failed):
		w.unacknowledged[c.Number] = unacknowledgedCompletion{RunningTask: c.RunningTask, lookUpAt: now + confirmTimeout, owner: r.owner, ownerLostAt: r.orphanedAt, ownedSince: r.task.OwnedSince}
	}
}

// holdFoundCompletion keeps a completion that was listed at a takeover from being acknowledged. This
// executor does not know whether the job is durable, so it asks for the job's state at once.
func (e *Executor) holdFoundCompletion(now time.Duration, w *worker, c Completion) {
	if c.Done || c.Failed {
		w.unacknowledged[c.Number] = unacknowledgedCompletion{RunningTask: c.RunningTask, lookUpAt: now, foundAtTakeover: true}
	}
}

// outcomeOfUnlisted is how a run ended that the worker no longer lists as running. It is Terminated
// unless an unacknowledged completion shows otherwise.
func (w *worker) outcomeOfUnlisted(t *task.Task) task.Outcome {
	for _, c := range w.unacknowledged {
		if c.ID == t.ID && c.Run == t.Run {
			return outcomeOf(Completion{RunningTask: c.RunningTask})
		}
	}
	return task.Terminated
}

// acknowledgeable is the number up to which the worker may forget completions.
func (w *worker) acknowledgeable() uint64 {
	n := w.cursor
	for number := range w.unacknowledged {
		n = min(n, number-1)
	}
	return n
}

// releaseCompletions lets completions be acknowledged; the next poll acknowledges them.
func (e *Executor) releaseCompletions(now time.Duration, w *worker, why string, match func(unacknowledgedCompletion) bool) {
	before := len(w.unacknowledged)
	for n, c := range w.unacknowledged {
		if match(c) {
			delete(w.unacknowledged, n)
			e.output.Events = append(e.output.Events, Event{
				Name: EventCompletionReleased, ID: c.ID, Run: c.Run, Worker: w.info.ID, Detail: fmt.Sprintf("why=%s late=%t found=%t number=%d", why, c.late, c.foundAtTakeover, n),
			})
		}
	}
	if before > 0 && len(w.unacknowledged) == 0 && !w.polling && (w.phase == held || w.phase == claiming) && w.missedPolls == 0 {
		e.poll(now, w)
	}
}

// ConfirmStored tells that completions are stored. A late completion waits for the lease to expire
// all the same: the coordinator that stored it may not know of all coordinators that may have
// started the task again.
func (e *Executor) ConfirmStored(now time.Duration, runs []task.RunRef) {
	for _, w := range e.order {
		if len(w.unacknowledged) == 0 {
			continue
		}
		e.releaseCompletions(now, w, "stored", func(c unacknowledgedCompletion) bool {
			return !c.late && slices.Contains(runs, task.RunRef{ID: c.ID, Run: c.Run})
		})
	}
}

// MarkSuperseded marks completions as late whose tasks were started again before the completions were
// known.
func (e *Executor) MarkSuperseded(runs []task.RunRef) {
	for _, w := range e.order {
		for n, c := range w.unacknowledged {
			if slices.Contains(runs, task.RunRef{ID: c.ID, Run: c.Run}) {
				c.late = true
				w.unacknowledged[n] = c
			}
		}
	}
}

// ApplyJobStates releases completions of jobs that were never durable. Only a durable job's
// coordinator can release its completions, as it knows whether the task was started again after the
// completion. That the job has ended meanwhile shows neither that this completion was known nor to
// whom. A completion of any other job becomes late when its job is no longer open, or is still open
// at the second look-up. The state function returns what the store showed of a job at some time
// after asked.
func (e *Executor) ApplyJobStates(now, asked time.Duration, state func(job string) JobState) {
	for _, w := range e.order {
		for n, c := range w.unacknowledged {
			if c.lookUpAt > asked || c.late {
				continue
			}
			s := state(c.ID.Job)
			c.releasable = s == JobNotDurable && c.foundAtTakeover
			c.late = !c.releasable && (s != JobOpen || c.lookedUp)
			c.lookUpAt, c.lookedUp = now+confirmTimeout, true
			w.unacknowledged[n] = c
		}
		e.releaseCompletions(now, w, "not_kept", func(c unacknowledgedCompletion) bool { return c.releasable })
	}
}

// markOwnerLost notes that the coordinator of unacknowledged completions is unreachable. If that
// lasts, another coordinator may take the job over and start its tasks again; the completions are
// late then.
func (e *Executor) markOwnerLost(now time.Duration, w *worker, owner member.Process) {
	for n, c := range w.unacknowledged {
		if c.owner == owner && c.ownerLostAt == 0 {
			c.ownerLostAt = now
			w.unacknowledged[n] = c
		}
	}
}

// markLateCompletions marks completions as late whose coordinator has been unreachable for
// lostOwnerTimeout.
func (w *worker) markLateCompletions(now time.Duration) {
	for n, c := range w.unacknowledged {
		if c.ownerLostAt > 0 && now-c.ownerLostAt >= lostOwnerTimeout && !c.late {
			c.late = true
			w.unacknowledged[n] = c
		}
	}
}

// expireIdleLease lets the lease of a worker with late completions expire. The worker gets no new
// runs. Once nothing runs there any more and the last lease has expired, the completions are
// acknowledged.
func (e *Executor) expireIdleLease(now time.Duration, w *worker) {
	w.markLateCompletions(now)
	if w.awaitsLeaseExpiry() && len(w.runs) == 0 && (w.clock.ms > w.grantedUntil || now >= w.leasesExpiredBy()) {
		e.emitEvent("lease_let_lapse", w, nil, fmt.Sprintf("ends=%d", len(w.unacknowledged)))
		e.releaseCompletions(now, w, "lapsed", func(c unacknowledgedCompletion) bool { return c.late })
	}
}

// awaitsLeaseExpiry reports whether the worker's lease has to expire, as it has late completions.
func (w *worker) awaitsLeaseExpiry() bool {
	for _, c := range w.unacknowledged {
		if c.late {
			return true
		}
	}
	return false
}

// requestJobStates requests the states of jobs whose completions are due for a look-up.
func (e *Executor) requestJobStates(now time.Duration) {
	for _, w := range e.order {
		for _, c := range w.unacknowledged {
			if now >= c.lookUpAt && !c.late {
				e.output.JobsToLookUp = append(e.output.JobsToLookUp, c.ID.Job)
			}
		}
	}
}

// WithdrawDurable takes tasks of durable jobs back from a coordinator that may not order them any
// more. It drops tasks that wait and stops those that run, and keeps their completions for the
// successor.
func (e *Executor) WithdrawDurable(now time.Duration, owner member.Process, ids []task.ID) {
	for _, id := range ids {
		e.queue = slices.DeleteFunc(e.queue, func(q *queuedTask) bool { return q.owner == owner && q.task.ID == id })
		for _, w := range e.order {
			if r := w.runs[id]; r != nil && r.owner == owner && r.state != stopping {
				e.sendStop(now, w, r)
			}
		}
	}
	e.schedule(now)
}

// Reconcile reports to a coordinator what this executor knows of the durable jobs that the coordinator
// owns. For each worker concerned it lists all runs and all unacknowledged completions. If a list does
// not show a run, the coordinator takes that run as over. Tasks that wait are returned, as they have not
// run. What a later owner has here stays with that owner.
func (e *Executor) Reconcile(now time.Duration, by member.Process, jobs []task.OwnedJob) {
	ownedSince := make(map[string]int64, len(jobs))
	for _, j := range jobs {
		ownedSince[j.ID] = j.OwnedSince
	}
	affected := func(id task.ID) bool {
		_, ok := ownedSince[id.Job]
		return ok
	}
	outranked := func(id task.ID, other int64) bool {
		asked := task.Task{OwnedSince: ownedSince[id.Job]}
		return asked.OutrankedBy(other)
	}
	e.queue = slices.DeleteFunc(e.queue, func(q *queuedTask) bool {
		if !affected(q.task.ID) || outranked(q.task.ID, q.task.OwnedSince) {
			return false
		}
		e.emitReport(q.owner, task.Report{ID: q.task.ID, Run: q.task.Run, Outcome: task.NotRun, Reason: ReasonReconciled})
		return true
	})
	for _, w := range e.order {
		if w.phase != held && w.phase != claiming {
			continue
		}
		t := w.presentLists()
		t.To = by
		concerned := w.listIncomplete || slices.ContainsFunc(t.Running, func(r task.RunningTask) bool { return affected(r.ID) })
		for n, c := range w.unacknowledged {
			if affected(c.ID) {
				concerned = true
				if !outranked(c.ID, c.ownedSince) {
					c.owner, c.ownerLostAt, c.foundAtTakeover, c.ownedSince = by, 0, false, ownedSince[c.ID.Job]
					w.unacknowledged[n] = c
				}
			}
		}
		if concerned {
			e.emitEvent("runs_recalled", w, nil, fmt.Sprintf("by=%s running=%d ended=%d incomplete=%t", by.Address, len(t.Running), len(t.Completed), t.Incomplete))
			e.output.Takeovers = append(e.output.Takeovers, t)
		}
	}
	e.schedule(now)
}

// stopOrphans stops runs of durable jobs that no coordinator has claimed in time.
func (e *Executor) stopOrphans(now time.Duration, w *worker) {
	for _, r := range w.sortedRuns() {
		if r.orphanedAt > 0 && now-r.orphanedAt >= OrphanTimeout && r.state != stopping {
			e.emitEvent("run_orphaned", w, r, "stopped")
			e.sendStop(now, w, r)
		}
	}
}

// atStepLimit reports whether the worker runs as many tasks of the step as it may.
func (w *worker) atStepLimit(t *task.Task) bool {
	if t.PerWorker <= 0 {
		return false
	}
	n := 0
	for id := range w.runs {
		if id.Job == t.ID.Job && id.Occurrence == t.ID.Occurrence && id.Step == t.ID.Step {
			n++
		}
	}
	return n >= t.PerWorker
}
