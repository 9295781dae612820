package executor

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// minProbeInterval is the time after which a slow worker gets a probe: a task that shows
	// whether it is still slow. The interval doubles with each probe up to maxProbeInterval, as
	// each probe may make a job late.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 4 * time.Second
	// minProbe is the least time after which the executor reads a probe's progress.
	minProbe = 40 * time.Millisecond
	// restartMargin is the time to read the proof that a stopped run is over, and to offer and start
	// its task again. The time that the worker may take to stop the run is not part of it.
	restartMargin = 25 * time.Millisecond
)

// probeFor returns a slow worker that is due for a probe, if the task can still be on time elsewhere
// in case the probe shows that the worker is still slow.
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

// listSlack is how late the list that shows a probe's progress may come.
const listSlack = 30 * time.Millisecond

// restartable reports whether a task that is stopped at one time can end elsewhere by another time.
func (e *Executor) restartable(at time.Duration, t *task.Task, by time.Duration) bool {
	expected := time.Duration(math.Exp(e.usualFor(t.Service)) * float64(t.ExpectedRunTime))
	return at+e.config.StopTimeout+restartMargin+expected <= by
}

// noteSlowStart marks a run that starts on a slow worker as a probe if its task can still be on time
// elsewhere, and sets when the next probe is due.
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

// stopLateRuns stops runs of a slow worker that will end late. It stops a run if its task can be on
// time on another worker that has the capacity, or if the run would outlast its caller's deadline and
// need not do so elsewhere. It stops a task's run only once, so that no task is restarted again and
// again, and never runs of durable jobs, whose work is stored. The task starts again only on proof that the run is
// over.
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

// predictedEnd is when the run ends at its worker's present slowdown.
func (r *run) predictedEnd(now time.Duration, mean float64) time.Duration {
	left := float64(100-min(r.percent, 100)) / 100 * math.Exp(mean)
	return now + time.Duration(left*float64(r.task.ExpectedRunTime))
}

// hasCapacityElsewhere reports whether another worker has capacity for the task and would not make
// it late.
func (e *Executor) hasCapacityElsewhere(now time.Duration, w *worker, t *task.Task) bool {
	return slices.ContainsFunc(e.order, func(o *worker) bool {
		return o != w && e.eligible(now, o, t) && e.slownessIfLate(now, o, t) == 0
	})
}
