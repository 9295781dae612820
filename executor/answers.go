package executor

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// HandleAnswer takes a worker's answer to a call.
func (e *Executor) HandleAnswer(now time.Duration, c Call, a Answer) {
	w := e.workers[c.Worker]
	if w == nil {
		return
	}
	a = e.attribute(now, w, c, a)
	if a.Verdict == OK {
		w.read(a.Clock, now)
	}
	if c.Kind != CallPoll && a.Verdict != Unknown && a.Verdict != Unsent {
		e.answers.observe(now - c.sent)
	}
	switch c.Kind {
	case CallStart:
		e.startAnswered(now, w, c, a)
	case CallStop:
		e.stopAnswered(now, w, c, a)
	case CallPoll:
		e.pollAnswered(now, w, c, a)
	}
	e.step(now)
}

func (e *Executor) startAnswered(now time.Duration, w *worker, c Call, a Answer) {
	r := w.runs[c.ID]
	if r == nil || r.num != c.Run {
		return
	}
	if a.Verdict != OK {
		e.event("start_answered", w, r, a.Verdict.String())
	}
	if taken := w.phase == yielded || w.phase == released; taken && (a.Verdict == OK || a.Verdict == Unknown) {
		w.remove(r)
		e.leave(now, r)
		e.moved(w, r)
		return
	}
	switch a.Verdict {
	case OK:
		e.confirm(r, w, a.Clock)
	case Unknown:
		if r.state == starting {
			r.state = doubtful
		}
		w.suspect = true
		e.look(now, w)
	case Outdated:
		// Another daemon has run this task here, and that run is over.
		if r.state == starting && r.num < maxRunJump && !w.leaving() {
			r.num++
			e.call(now, w, Call{Kind: CallStart, Task: r.task, ID: r.id, Run: r.num, Deadline: r.deadline})
			return
		}
		e.giveBack(now, w, r, "run_number_taken")
	case Replaced:
		e.workerDied(now, w)
	case Fenced:
		e.requeue(now, w, r)
		e.taken(now, w)
	case Full:
		w.pausedUntil = max(w.pausedUntil, now+roomPause)
		e.requeue(now, w, r)
	case Late:
		// Our idea of the worker's clock is behind: the answer tells the right one.
		w.clock = clock{a.Clock, now}
		e.requeue(now, w, r)
	case Unhealthy, Unsent:
		w.closeFor(now, shedPause)
		e.requeue(now, w, r)
	default:
		e.giveBack(now, w, r, "invalid")
	}
}

// confirm notes that the worker has said that the run is there.
func (e *Executor) confirm(r *run, w *worker, clockMS int64) {
	if r.since == 0 || clockMS < r.since {
		r.since = clockMS
	}
	if r.state == starting || r.state == doubtful {
		r.state = running
		e.report(r.owner, task.Report{ID: r.id, Run: r.num, Outcome: task.Started, Worker: w.info.ID, Token: w.obeyed})
	}
}

// requeue puts a task back whose start was refused: it has not run.
func (e *Executor) requeue(now time.Duration, w *worker, r *run) {
	w.remove(r)
	if r.discard {
		if r.confirm {
			e.report(r.owner, task.Report{ID: r.id, Run: r.num, Outcome: task.NotRun, Reason: ReasonWithdrawn})
		}
		return
	}
	e.enqueue(&queued{task: r.task, owner: r.owner, since: now})
}

// giveBack returns a task that has not run to its coordinator.
func (e *Executor) giveBack(_ time.Duration, w *worker, r *run, reason string) {
	w.remove(r)
	if r.wanted() {
		e.report(r.owner, task.Report{ID: r.id, Run: r.num, Outcome: task.NotRun, Worker: w.info.ID, Reason: reason})
	}
}

func (e *Executor) stopAnswered(now time.Duration, w *worker, c Call, a Answer) {
	r := w.runs[c.ID]
	switch {
	case a.Verdict == Replaced:
		e.workerDied(now, w)
	case a.Verdict == Fenced:
		e.taken(now, w)
	case r == nil || r.num != c.Run:
	case a.Verdict == OK:
		if r.stopped == 0 {
			r.stopped = a.Clock
		}
		if r.since > 0 {
			w.nextLook = max(w.nextLook, now+e.config.StopTimeout)
			return
		}
		w.nextLook = now
		e.look(now, w)
	}
}

// end removes a run that is proved over and reports it.
func (e *Executor) end(now time.Duration, w *worker, r *run, o task.Outcome, reason string) {
	w.remove(r)
	e.out.Events = append(e.out.Events, Event{
		Name: EventEnded, ID: r.id, Run: r.num, Worker: w.info.ID, Detail: o.String() + " " + reason, Age: now - r.began,
	})
	if r.wanted() {
		e.report(r.owner, task.Report{ID: r.id, Run: r.num, Outcome: o, Worker: w.info.ID, Reason: reason})
	}
	if r.discard || r.task == nil {
		return
	}
	e.judge(now, w, r, o)
}

// judge closes a worker whose runs fail in a row.
func (e *Executor) judge(now time.Duration, w *worker, r *run, o task.Outcome) {
	switch o {
	case task.Done:
		e.ran(now, w, r)
		w.failures, w.pause, w.probing = 0, 0, false
	case task.Failed:
		if w.failures++; w.failures >= failuresToEject {
			w.probing = true
			w.closeFor(now, shedPause)
			e.event("worker_ejected", w, nil, fmt.Sprintf("failures=%d pause=%s", w.failures, w.pause))
		}
	}
}

// endAll reports all runs of a worker that is gone.
func (e *Executor) endAll(now time.Duration, w *worker, reason string) {
	for _, r := range w.sorted() {
		e.end(now, w, r, task.Terminated, reason)
	}
}

func (w *worker) sorted() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.began, b.began), cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Step, b.id.Step), cmp.Compare(a.id.Index, b.id.Index))
	})
	return list
}

// workerDied acts on the proof that the incarnation is over: nothing of it runs.
func (e *Executor) workerDied(now time.Duration, w *worker) {
	e.event("worker_died", w, nil, fmt.Sprintf("runs=%d", len(w.runs)))
	e.endAll(now, w, ReasonWorkerDied)
	w.phase, w.silent = acquiring, w.silent+1
	w.token, w.polling, w.looking, w.reborn = 0, false, false, false
	w.clock, w.granted = clock{}, 0
	w.forgetEnds()
	w.nextPoll = now + retryAcquire
}

func (e *Executor) pollAnswered(now time.Duration, w *worker, c Call, a Answer) {
	if c.probe {
		e.probed(now, w, a)
		return
	}
	if c.Token != w.token {
		return // the worker has been taken anew, or is about to be
	}
	if c.look {
		w.looking = false
	} else {
		w.polling = false
	}
	switch a.Verdict {
	case OK:
		w.silent, w.suspect = 0, false
		w.confirmed = max(w.confirmed, c.Acknowledge)
		e.listed(now, w, a)
	case Replaced:
		e.workerDied(now, w)
		return
	case Fenced:
		if w.phase == acquiring {
			// Someone holds it with a higher token than ours, perhaps by a faster clock.
			w.nextPoll = now + yieldTime
			w.phase = yielded
			return
		}
		e.taken(now, w)
		return
	default:
		w.silent++
		w.missedAt = now
		if w.silent == 1 {
			e.event("worker_silent", w, nil, a.Verdict.String())
		}
		switch {
		case w.phase == acquiring:
			w.nextPoll, w.unreached = now+retryAcquire, true
		case w.silent > 1:
			w.nextPoll = now + lookEvery
		}
		// The next tick that is due polls again: a worker that refuses connections answers
		// at once, and polling it without a pause would take all of the processor.
		return
	}
	if c.look || w.polling || w.phase != held && w.phase != claiming {
		return
	}
	if len(w.unsettled) > 0 {
		w.nextPoll = now + unsettledPace
		return
	}
	e.poll(now, w)
}

// listed takes in a worker's lists.
func (e *Executor) listed(now time.Duration, w *worker, a Answer) {
	if w.phase == acquiring {
		e.acquired(now, w, a)
		return
	}
	for _, f := range a.Completions {
		if f.Number <= w.cursor {
			continue
		}
		w.cursor = f.Number
		if r := w.runs[f.ID]; r != nil && r.num == f.Run {
			e.holdEnd(now, w, r, f)
			e.end(now, w, r, outcomeOf(f), f.Result)
		}
	}
	w.listedAt = now
	shown := make(map[task.ID]ListedRun, len(a.Running))
	for _, l := range a.Running {
		shown[l.ID] = l
	}
	for _, r := range w.sorted() {
		if l, ok := shown[r.id]; ok && l.Run == r.num {
			e.confirm(r, w, a.Clock)
			if l.Percent != r.percent {
				r.percent, r.changed = l.Percent, now
			}
			continue
		}
		if len(a.Completions) < listLimit {
			e.absent(now, w, r, a.Clock)
		}
	}
	e.watch(now, w, a.Clock)
}

func outcomeOf(f Completion) task.Outcome {
	switch {
	case f.Done:
		return task.Done
	case f.Failed:
		return task.Failed
	default:
		return task.Terminated
	}
}

// absent judges a run that a complete list made at the given clock does not show.
func (e *Executor) absent(now time.Duration, w *worker, r *run, clockMS int64) {
	switch {
	case r.since > 0 && clockMS > r.since:
		e.end(now, w, r, task.Terminated, "vanished")
	case r.stopped > 0 && clockMS > r.stopped:
		// A run that was there when the stop came is listed until its end is.
		e.end(now, w, r, task.Terminated, "stopped_before_start")
	case r.deadline > 0 && clockMS > r.deadline:
		// The start can't be carried out any more, and it has left no trace.
		e.end(now, w, r, task.Terminated, "never_started")
	case r.state == doubtful && r.stopSent == 0:
		// It may still be on its way; a stop seals that it never starts.
		state := r.state
		e.stop(now, w, r)
		r.state = state
	}
}
