package executor

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// HandleAnswer handles a worker's answer to a call.
func (e *Executor) HandleAnswer(now time.Duration, c Call, a Answer) {
	w := e.workers[c.Worker]
	if w == nil {
		return
	}
	a = e.attributeAnswer(now, w, c, a)
	if a.Verdict == OK {
		w.readClock(a.Clock, now)
	}
	if c.Kind != CallPoll && a.Verdict != Unknown && a.Verdict != Unsent {
		e.orderLatency.observe(now - c.sentAt)
	}
	switch c.Kind {
	case CallStart:
		e.handleStartAnswer(now, w, c, a)
	case CallStop:
		e.handleStopAnswer(now, w, c, a)
	case CallPoll:
		e.handlePollAnswer(now, w, c, a)
	}
	e.schedule(now)
}

// handleStartAnswer updates a run by the answer to its start, or by the lack of one.
func (e *Executor) handleStartAnswer(now time.Duration, w *worker, c Call, a Answer) {
	r := w.runs[c.ID]
	if r == nil || r.number != c.Run {
		return
	}
	if a.Verdict != OK {
		e.emitEvent("start_answered", w, r, a.Verdict.String())
	}
	if taken := w.phase == yielded || w.phase == released; taken && (a.Verdict == OK || a.Verdict == Unknown) {
		w.removeRun(r)
		e.noteLeftRun(now, r)
		e.reportMoved(w, r)
		return
	}
	switch a.Verdict {
	case OK:
		e.confirmRunning(r, w, a.Clock)
	case Unknown:
		if r.state == starting {
			r.state = unanswered
		}
		w.suspect = true
		e.pollExtra(now, w)
	case Outdated:
		// Another daemon has run this task on the worker, and that run has ended.
		if r.state == starting && r.number < maxRunNumber && !w.excluded() {
			r.number++
			e.emitCall(now, w, Call{Kind: CallStart, Task: r.task, ID: r.id, Run: r.number, Deadline: r.deadline})
			return
		}
		e.returnRun(now, w, r, "run_number_taken")
	case Replaced:
		e.handleWorkerDied(now, w)
	case Fenced:
		e.requeue(now, w, r)
		e.handleTaken(now, w)
	case Full:
		w.pausedUntil = max(w.pausedUntil, now+fullPause)
		e.requeue(now, w, r)
	case Late:
		// The estimate of the worker's clock is behind. The answer states the correct time.
		w.clock = clockReading{a.Clock, now}
		e.requeue(now, w, r)
	case Unhealthy, Unsent:
		w.pauseFor(now, unhealthyPause)
		e.requeue(now, w, r)
	default:
		e.returnRun(now, w, r, "invalid")
	}
}

// confirmRunning notes that the worker has confirmed that the run is there.
func (e *Executor) confirmRunning(r *run, w *worker, clockMS int64) {
	if r.runningClock == 0 || clockMS < r.runningClock {
		r.runningClock = clockMS
	}
	if r.state == starting || r.state == unanswered {
		r.state = running
		e.emitReport(r.owner, task.Report{ID: r.id, Run: r.number, Outcome: task.Started, Worker: w.info.ID, Token: w.epochToken})
	}
}

// requeue queues a task again whose start was refused: it has not run.
func (e *Executor) requeue(now time.Duration, w *worker, r *run) {
	w.removeRun(r)
	if r.discarded {
		if r.confirmEnd {
			e.emitReport(r.owner, task.Report{ID: r.id, Run: r.number, Outcome: task.NotRun, Reason: ReasonWithdrawn})
		}
		return
	}
	e.enqueue(&queuedTask{task: r.task, owner: r.owner, enqueuedAt: now})
}

// returnRun returns a task that has not run to its coordinator.
func (e *Executor) returnRun(_ time.Duration, w *worker, r *run, reason string) {
	w.removeRun(r)
	if r.awaited() {
		e.emitReport(r.owner, task.Report{ID: r.id, Run: r.number, Outcome: task.NotRun, Worker: w.info.ID, Reason: reason})
	}
}

// handleStopAnswer notes that the worker has taken a stop, and schedules the poll that shows its
// effect.
func (e *Executor) handleStopAnswer(now time.Duration, w *worker, c Call, a Answer) {
	r := w.runs[c.ID]
	switch {
	case a.Verdict == Replaced:
		e.handleWorkerDied(now, w)
	case a.Verdict == Fenced:
		e.handleTaken(now, w)
	case r == nil || r.number != c.Run:
	case a.Verdict == OK:
		if r.stoppedClock == 0 {
			r.stoppedClock = a.Clock
		}
		if r.runningClock > 0 {
			w.nextExtraPollAt = max(w.nextExtraPollAt, now+e.config.StopTimeout)
			return
		}
		w.nextExtraPollAt = now
		e.pollExtra(now, w)
	}
}

// endRun removes a run that is proved to be over, and reports it.
func (e *Executor) endRun(now time.Duration, w *worker, r *run, o task.Outcome, reason string) {
	w.removeRun(r)
	e.output.Events = append(e.output.Events, Event{
		Name: EventEnded, ID: r.id, Run: r.number, Worker: w.info.ID, Detail: o.String() + " " + reason, Age: now - r.startSentAt,
	})
	if r.awaited() {
		e.emitReport(r.owner, task.Report{ID: r.id, Run: r.number, Outcome: o, Worker: w.info.ID, Reason: reason})
	}
	if r.discarded || r.task == nil {
		return
	}
	e.recordOutcome(now, w, r, o)
}

// recordOutcome ejects a worker whose runs fail in a row, and ends its probation after a success.
func (e *Executor) recordOutcome(now time.Duration, w *worker, r *run, o task.Outcome) {
	switch o {
	case task.Done:
		e.observeEndedRun(now, w, r)
		w.consecutiveFailures, w.pause, w.onProbation = 0, 0, false
	case task.Failed:
		if w.consecutiveFailures++; w.consecutiveFailures >= failuresToEject {
			w.onProbation = true
			w.pauseFor(now, unhealthyPause)
			e.emitEvent("worker_ejected", w, nil, fmt.Sprintf("failures=%d pause=%s", w.consecutiveFailures, w.pause))
		}
	}
}

// endAllRuns ends all runs of a worker as terminated.
func (e *Executor) endAllRuns(now time.Duration, w *worker, reason string) {
	for _, r := range w.sortedRuns() {
		e.endRun(now, w, r, task.Terminated, reason)
	}
}

// sortedRuns returns the worker's runs in a repeatable order: by start, then by task.
func (w *worker) sortedRuns() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.startSentAt, b.startSentAt), cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Step, b.id.Step), cmp.Compare(a.id.Index, b.id.Index))
	})
	return list
}

// handleWorkerDied acts on proof that the incarnation is over: none of its runs goes on.
func (e *Executor) handleWorkerDied(now time.Duration, w *worker) {
	e.emitEvent("worker_died", w, nil, fmt.Sprintf("runs=%d", len(w.runs)))
	e.endAllRuns(now, w, ReasonWorkerDied)
	w.phase, w.missedPolls = acquiring, w.missedPolls+1
	w.token, w.polling, w.extraPolling, w.restarted = 0, false, false, false
	w.clock, w.grantedUntil = clockReading{}, 0
	e.endDeferredClaims(w, task.Terminated, ReasonWorkerDied)
	w.forgetCompletions()
	w.nextPollAt = now + acquireRetryDelay
}

// handlePollAnswer handles the answer to a poll, and sends the next standing poll.
func (e *Executor) handlePollAnswer(now time.Duration, w *worker, c Call, a Answer) {
	if c.withoutToken {
		e.handleTokenlessAnswer(now, w, a)
		return
	}
	if c.Token != w.token {
		return // the worker has been taken again, or is about to be
	}
	if c.extra {
		w.extraPolling = false
	} else {
		w.polling = false
	}
	switch a.Verdict {
	case OK:
		w.missedPolls, w.suspect = 0, false
		w.acknowledgeAnswered = max(w.acknowledgeAnswered, c.Acknowledge)
		e.handleLists(now, w, a)
	case Replaced:
		e.handleWorkerDied(now, w)
		return
	case Fenced:
		if w.phase == acquiring {
			// Another holder has a higher token, perhaps because its clock is ahead.
			w.nextPollAt = now + yieldDelay
			w.phase = yielded
			return
		}
		e.handleTaken(now, w)
		return
	default:
		w.missedPolls++
		w.lastMissedAt = now
		if w.missedPolls == 1 {
			e.emitEvent("worker_silent", w, nil, a.Verdict.String())
		}
		switch {
		case w.phase == acquiring:
			w.nextPollAt, w.unreachable = now+acquireRetryDelay, true
		case w.missedPolls > 1:
			w.nextPollAt = now + extraPollInterval
		}
		// The next due tick polls again. A worker that refuses connections answers at once, and
		// polls without a pause would take all of the processor.
		return
	}
	if c.extra || w.polling || w.phase != held && w.phase != claiming {
		return
	}
	if len(w.unacknowledged) > 0 {
		w.nextPollAt = now + unacknowledgedPollDelay
		return
	}
	e.poll(now, w)
}

// handleLists reads the lists in a worker's answer.
func (e *Executor) handleLists(now time.Duration, w *worker, a Answer) {
	if w.phase == acquiring {
		e.handleAcquired(now, w, a)
		return
	}
	var found []task.RunningTask
	for _, c := range a.Completions {
		if c.Number <= w.cursor {
			continue
		}
		w.cursor = c.Number
		if r := w.runs[c.ID]; r != nil && r.number == c.Run {
			e.holdCompletion(now, w, r, c)
			e.endRun(now, w, r, outcomeOf(c), c.Result)
			continue
		}
		if w.listIncomplete {
			e.holdFoundCompletion(now, w, c)
			found = append(found, c.RunningTask)
		}
	}
	w.listedAt = now
	listed := make(map[task.ID]ListedRun, len(a.Running))
	for _, l := range a.Running {
		listed[l.ID] = l
	}
	for _, r := range w.sortedRuns() {
		if l, ok := listed[r.id]; ok && l.Run == r.number {
			e.confirmRunning(r, w, a.Clock)
			if l.Percent != r.percent {
				r.percent, r.progressAt = l.Percent, now
			}
			continue
		}
		if len(a.Completions) < completionListLimit {
			e.handleAbsentRun(now, w, r, a.Clock)
		}
	}
	e.evaluateProgress(now, w, a.Clock)
	if w.listIncomplete {
		e.reportFound(now, w, found, len(a.Completions) < completionListLimit)
	}
}

func outcomeOf(c Completion) task.Outcome {
	switch {
	case c.Done:
		return task.Done
	case c.Failed:
		return task.Failed
	default:
		return task.Terminated
	}
}

// handleAbsentRun handles a run that is missing from a complete list. clockMS is the worker's clock
// when it made the list.
func (e *Executor) handleAbsentRun(now time.Duration, w *worker, r *run, clockMS int64) {
	switch {
	case r.runningClock > 0 && clockMS > r.runningClock:
		e.endRun(now, w, r, task.Terminated, "vanished")
	case r.stoppedClock > 0 && clockMS > r.stoppedClock:
		// If the run had been there when the stop arrived, the list would show it, as running or as ended.
		e.endRun(now, w, r, task.Terminated, "stopped_before_start")
	case r.deadline > 0 && clockMS > r.deadline:
		// The start cannot be carried out any more, and it has left no trace.
		e.endRun(now, w, r, task.Terminated, "never_started")
	case r.state == unanswered && r.stopSentAt == 0:
		// The start may still be on its way. A stop makes sure that it never takes effect.
		state := r.state
		e.sendStop(now, w, r)
		r.state = state
	}
}
