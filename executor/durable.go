package executor

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// OrphanTimeout is how long a kept run goes on without its coordinator: within this time
	// another one has adopted the job and claims the run, or it is stopped, so that the
	// task is safe to start again.
	OrphanTimeout = 1200 * time.Millisecond
	// unsettledPace is the time between polls of a worker that lists ends which may not be
	// acknowledged yet: it doesn't hold such a poll back until something ends.
	unacknowledgedPollDelay = 25 * time.Millisecond
	// endWait is how long an end is held as usual after its coordinator is lost: within
	// this time an heir has adopted the job and recalled it, and no coordinator starts the
	// task again; that one waits for 3.2 s from when it lost sight of this executor, which
	// may be a second earlier.
	lostOwnerTimeout = 1900 * time.Millisecond
	// settleWait is how long an end may wait to be settled before it is looked up whether
	// its job has ended meanwhile.
	confirmTimeout = 2 * time.Second
)

// heldEnd is an end that its coordinator, or the next one, has to store before the worker
// may forget it: otherwise a task that is done would be started again after a power loss.
type unacknowledgedCompletion struct {
	task.RunningTask
	// lookUpAt is when it is looked up whether the job has ended.
	lookUpAt time.Duration
	// late: its coordinator has not settled it in time. Another may have started the task
	// again by then, and acknowledging the end now would make that a second run of a task
	// that was done; after a lapse of the worker's lease the end counts for nothing.
	late bool
	// lookedUp: its job was found not to have ended.
	lookedUp bool
	// settled: it may be acknowledged.
	releasable bool
	// found: it was listed at a takeover, and its job is not known to be kept.
	foundAtTakeover bool
	// owner is its coordinator, lostAt when that was lost; 0: it is there.
	owner       member.Process
	ownerLostAt time.Duration
}

// EventSettled tells that an end may be acknowledged, and why.
const EventCompletionReleased = "end_settled"

// knownTo reports whether a coordinator was told of the end and has been there since: one that
// was not may have started the task again after it.
func (h unacknowledgedCompletion) knownTo(owner member.Process) bool {
	return h.owner == owner && h.ownerLostAt == 0 && !h.late
}

// JobState is what the store shows of a job whose end is held.
type JobState uint8

// States of jobs whose ends are held.
const (
	// JobNotDurable: the store knows of no such job.
	JobNotDurable JobState = iota
	// JobOpen: it has not ended.
	JobOpen
	// JobEnded: it has.
	JobEnded
)

// holdEnd holds the end of a kept run back.
func (e *Executor) holdCompletion(now time.Duration, w *worker, r *run, f Completion) {
	switch {
	case r.task == nil:
		e.holdFoundCompletion(now, w, f)
	case r.task.Durable && !r.discarded && (f.Done || f.Failed):
		w.unacknowledged[f.Number] = unacknowledgedCompletion{RunningTask: f.RunningTask, lookUpAt: now + confirmTimeout, owner: r.owner, ownerLostAt: r.orphanedAt}
	}
}

// holdFound holds back an end that was listed at a takeover: nobody here knows yet whether
// its job is kept, so that is looked up at once.
func (e *Executor) holdFoundCompletion(now time.Duration, w *worker, f Completion) {
	if f.Done || f.Failed {
		w.unacknowledged[f.Number] = unacknowledgedCompletion{RunningTask: f.RunningTask, lookUpAt: now, foundAtTakeover: true}
	}
}

// heldOutcome is how a run ended that is not listed any more: Terminated unless its end is held.
func (w *worker) outcomeOfUnlisted(t *task.Task) task.Outcome {
	for _, h := range w.unacknowledged {
		if h.ID == t.ID && h.Run == t.Run {
			return outcomeOf(Completion{RunningTask: h.RunningTask})
		}
	}
	return task.Terminated
}

// acknowledged is the number up to which ends may be forgotten.
func (w *worker) acknowledgeable() uint64 {
	n := w.cursor
	for number := range w.unacknowledged {
		n = min(n, number-1)
	}
	return n
}

// settle lets ends be acknowledged; the next poll does.
func (e *Executor) releaseCompletions(now time.Duration, w *worker, why string, match func(unacknowledgedCompletion) bool) {
	before := len(w.unacknowledged)
	for n, h := range w.unacknowledged {
		if match(h) {
			delete(w.unacknowledged, n)
			e.output.Events = append(e.output.Events, Event{
				Name: EventCompletionReleased, ID: h.ID, Run: h.Run, Worker: w.info.ID, Detail: fmt.Sprintf("why=%s late=%t found=%t number=%d", why, h.late, h.foundAtTakeover, n),
			})
		}
	}
	if before > 0 && len(w.unacknowledged) == 0 && !w.polling && (w.phase == held || w.phase == claiming) && w.missedPolls == 0 {
		e.poll(now, w)
	}
}

// ConfirmStored tells that ends are stored. A late one waits for the lapse all the same: whoever stored
// it need not know of all coordinators that may have started the task again.
func (e *Executor) ConfirmStored(now time.Duration, runs []task.RunRef) {
	for _, w := range e.order {
		if len(w.unacknowledged) == 0 {
			continue
		}
		e.releaseCompletions(now, w, "stored", func(h unacknowledgedCompletion) bool {
			return !h.late && slices.Contains(runs, task.RunRef{ID: h.ID, Run: h.Run})
		})
	}
}

// MarkSuperseded tells of ends whose tasks were started again before the ends were known.
func (e *Executor) MarkSuperseded(runs []task.RunRef) {
	for _, w := range e.order {
		for n, h := range w.unacknowledged {
			if slices.Contains(runs, task.RunRef{ID: h.ID, Run: h.Run}) {
				h.late = true
				w.unacknowledged[n] = h
			}
		}
	}
}

// ApplyJobStates settles ends of jobs that were never kept. Those of kept jobs are settled by their
// coordinators alone, who know whether the task was started again after the end: a job that has
// ended meanwhile shows neither that this end was known nor by whom. State tells what the store
// showed of a job at some time after asked.
func (e *Executor) ApplyJobStates(now, asked time.Duration, state func(job string) JobState) {
	for _, w := range e.order {
		for n, h := range w.unacknowledged {
			if h.lookUpAt > asked || h.late {
				continue
			}
			s := state(h.ID.Job)
			h.releasable = s == JobNotDurable && h.foundAtTakeover
			h.late = !h.releasable && (s != JobOpen || h.lookedUp)
			h.lookUpAt, h.lookedUp = now+confirmTimeout, true
			w.unacknowledged[n] = h
		}
		e.releaseCompletions(now, w, "not_kept", func(h unacknowledgedCompletion) bool { return h.releasable })
	}
}

// ownerOfEndsLost notes that the coordinator of held ends is out of sight. When that lasts,
// another may look after the job and start the tasks again: the ends are late then.
func (e *Executor) markOwnerLost(now time.Duration, w *worker, owner member.Process) {
	for n, h := range w.unacknowledged {
		if h.owner == owner && h.ownerLostAt == 0 {
			h.ownerLostAt = now
			w.unacknowledged[n] = h
		}
	}
}

// ageEnds marks ends as late whose coordinator is out of sight for endWait.
func (w *worker) markLateCompletions(now time.Duration) {
	for n, h := range w.unacknowledged {
		if h.ownerLostAt > 0 && now-h.ownerLostAt >= lostOwnerTimeout && !h.late {
			h.late = true
			w.unacknowledged[n] = h
		}
	}
}

// lapseIdle lets the lease of a worker with late ends lapse: it gets no new runs, and when
// nothing runs there any more and the last lease is over, the ends are acknowledged.
func (e *Executor) expireIdleLease(now time.Duration, w *worker) {
	w.markLateCompletions(now)
	if w.awaitsLeaseExpiry() && len(w.runs) == 0 && (w.clock.ms > w.grantedUntil || now >= w.leasesExpiredBy()) {
		e.emitEvent("lease_let_lapse", w, nil, fmt.Sprintf("ends=%d", len(w.unacknowledged)))
		e.releaseCompletions(now, w, "lapsed", func(h unacknowledgedCompletion) bool { return h.late })
	}
}

// lapsing reports whether the worker's lease is to lapse.
func (w *worker) awaitsLeaseExpiry() bool {
	for _, h := range w.unacknowledged {
		if h.late {
			return true
		}
	}
	return false
}

// askUnsettled asks for ApplyJobStates when it is time to look ends up.
func (e *Executor) requestJobStates(now time.Duration) {
	for _, w := range e.order {
		for _, h := range w.unacknowledged {
			if now >= h.lookUpAt && !h.late {
				e.output.JobsToLookUp = append(e.output.JobsToLookUp, h.ID.Job)
			}
		}
	}
}

// WithdrawDurable takes tasks of kept jobs back from a coordinator that may not order them any
// more: what waits is dropped and what runs is stopped, and its end is kept for the next.
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

// Reconcile tells a coordinator what is known here of kept jobs that it looks after. Of each
// worker concerned all is told, runs and ends that are not settled: what is not in such a
// list is over. What waits is given back, as it has not run.
func (e *Executor) Reconcile(now time.Duration, by member.Process, jobs []string) {
	affected := func(id task.ID) bool { return slices.Contains(jobs, id.Job) }
	e.queue = slices.DeleteFunc(e.queue, func(q *queuedTask) bool {
		if !affected(q.task.ID) {
			return false
		}
		e.emitReport(q.owner, task.Report{ID: q.task.ID, Run: q.task.Run, Outcome: task.NotRun, Reason: ReasonReconciled})
		return true
	})
	for _, w := range e.order {
		if w.phase != held && w.phase != claiming {
			continue
		}
		t := Takeover{To: by, Worker: w.info.ID, Epoch: w.epoch, Token: w.epochToken, Reconciliation: true}
		concerned := false
		for _, r := range w.sortedRuns() {
			t.Running = append(t.Running, task.RunningTask{ID: r.id, Run: r.number})
			concerned = concerned || affected(r.id)
		}
		for n, h := range w.unacknowledged {
			t.Completed = append(t.Completed, h.RunningTask)
			if affected(h.ID) {
				concerned = true
				h.owner, h.ownerLostAt, h.foundAtTakeover = by, 0, false
				w.unacknowledged[n] = h
			}
		}
		if concerned {
			e.emitEvent("runs_recalled", w, nil, fmt.Sprintf("by=%s running=%d ended=%d", by.Address, len(t.Running), len(t.Completed)))
			e.output.Takeovers = append(e.output.Takeovers, t)
		}
	}
	e.schedule(now)
}

// endOrphans stops kept runs that no coordinator has claimed in time.
func (e *Executor) stopOrphans(now time.Duration, w *worker) {
	for _, r := range w.sortedRuns() {
		if r.orphanedAt > 0 && now-r.orphanedAt >= OrphanTimeout && r.state != stopping {
			e.emitEvent("run_orphaned", w, r, "stopped")
			e.sendStop(now, w, r)
		}
	}
}

// crowded reports whether as many tasks of the step run on the worker as may.
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
