package executor

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// probePause is the time after which a slow worker gets a task to see whether it still is
	// slow; it doubles with each up to maxProbePause, as each may make a job late.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 4 * time.Second
	// minProbe is the least time after which a probe's progress is read.
	minProbe = 40 * time.Millisecond
	// restartMargin is the time for a stopped run's proof to be read and for its task to be
	// offered and started anew, beside the time that the worker may take to stop it.
	restartMargin = 25 * time.Millisecond
)

// probeFor returns a slow worker for which it is time to be tried, if the task can be on time
// elsewhere when the try shows that the worker still is slow.
func (e *Executor) probeFor(now time.Duration, t *task.Task) *worker {
	listAfter := max(time.Duration(windowShare*float64(t.ExpectedRunTime)), minProbe)
	if t.Durable || len(t.Avoid) > 0 || !e.restartable(now+listAfter+listSlack, t, t.Due) {
		return nil
	}
	for _, w := range e.order {
		if w.idle() && now >= w.probeAt && e.slownessIfLate(now, w, t) > 0 && e.eligible(now, w, t) {
			return w
		}
	}
	return nil
}

// lookSlack is how late a look at a probe's progress may come.
const listSlack = 30 * time.Millisecond

// restartable reports whether a task that is stopped at a time can end elsewhere by another.
func (e *Executor) restartable(at time.Duration, t *task.Task, by time.Duration) bool {
	expected := time.Duration(math.Exp(e.usualFor(t.Service)) * float64(t.ExpectedRunTime))
	return at+e.config.StopTimeout+restartMargin+expected <= by
}

// noteStart notes a start on a slow worker.
func (e *Executor) noteSlowStart(now time.Duration, w *worker, r *run) {
	if r.task.Durable || e.slownessIfLate(now, w, r.task) == 0 {
		return
	}
	if r.probe = e.restartable(now, r.task, r.task.Due); r.probe {
		w.probeInterval = min(max(2*w.probeInterval, minProbeInterval), maxProbeInterval)
		w.probeAt = now + w.probeInterval
		e.emitEvent(EventWorkerProbed, w, r, fmt.Sprintf("slowness=%.2f next=%s", e.slowness(w), w.probeInterval))
	}
}

// restartLate stops runs of a slow worker that will end late, and whose tasks can be on time on
// another one that has room, or that would outlast their callers and need not elsewhere: once a
// task, so that none goes round, and never of kept jobs, whose work is stored. Only the proof that
// the run is over lets the task start again.
func (e *Executor) stopLateRuns(now time.Duration, w *worker) {
	if e.slowness(w) <= 1 {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.state != running || r.task == nil || r.deadline == 0 || r.discarded || r.task.Durable || len(r.task.Avoid) > 0 || !r.measured {
			continue
		}
		end, deadline := r.predictedEnd(now, w.slowdown.mean), callerDeadline(r.task)
		onTimeElsewhere := end > r.task.Due && e.restartable(now, r.task, r.task.Due) && e.hasCapacityElsewhere(now, w, r.task)
		outlastsCaller := end > deadline && e.restartable(now, r.task, deadline)
		if !onTimeElsewhere && !outlastsCaller {
			continue
		}
		e.emitEvent(EventSlowRunStopped, w, r, fmt.Sprintf("percent=%d late_ms=%d", r.percent, (end-r.task.Due).Milliseconds()))
		e.stopForRestart(now, w, r)
	}
}

// foreseenEnd is when the run ends at its worker's pace.
func (r *run) predictedEnd(now time.Duration, mean float64) time.Duration {
	left := float64(100-min(r.percent, 100)) / 100 * math.Exp(mean)
	return now + time.Duration(left*float64(r.task.ExpectedRunTime))
}

// roomBeside reports whether another worker has room on which the task would not be late.
func (e *Executor) hasCapacityElsewhere(now time.Duration, w *worker, t *task.Task) bool {
	return slices.ContainsFunc(e.order, func(o *worker) bool {
		return o != w && e.eligible(now, o, t) && e.slownessIfLate(now, o, t) == 0
	})
}
