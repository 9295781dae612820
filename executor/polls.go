package executor

import (
	"fmt"
	"time"
)

// poll sends the standing poll of a worker. It does not extend the lease after several polls without
// an answer: if the worker runs on unobserved, its runs end with the lease, and only then are their
// tasks safe to start elsewhere. It does not extend the lease while a run is unclaimed either. That
// run's coordinator may be on the earlier holder's side of a partition, where the run counts as over
// once the leases that the earlier holder granted have expired.
func (e *Executor) poll(now time.Duration, w *worker) {
	w.polling = true
	c := Call{Kind: CallPoll, Acknowledge: w.nextAcknowledge(), Wait: idlePollWait}
	if len(w.runs) > 0 {
		c.Wait = busyPollWait
		if w.hasOverdueRun(now) {
			c.Wait = overduePollWait
		}
		if at, ok := w.clockAt(now); ok && w.missedPolls < stopExtendingAfterMissed && !w.hasUnclaimedRuns() {
			c.Deadline = at + e.config.Lease.Milliseconds()
		}
	}
	if w.missedPolls > 0 || len(w.unacknowledged) > 0 {
		c.Wait = 0
	}
	e.emitCall(now, w, c)
}

// pollExtra polls the worker's lists at once, beside the standing poll.
func (e *Executor) pollExtra(now time.Duration, w *worker) {
	if w.extraPolling || w.phase != held && w.phase != claiming {
		return
	}
	w.extraPolling = true
	w.nextExtraPollAt = now + extraPollInterval
	e.emitCall(now, w, Call{Kind: CallPoll, Acknowledge: w.nextAcknowledge(), extra: true})
}

// tickWorker does what is due for a worker: taking it, polls, time-outs and stops.
func (e *Executor) tickWorker(now time.Duration, w *worker) {
	switch w.phase {
	case acquiring, yielded:
		if !w.polling && now >= w.nextPollAt {
			e.acquire(now, w)
		}
	case claiming:
		e.finishClaims(now, w)
	}
	e.expireRestarted(now, w)
	if w.phase != held && w.phase != claiming {
		return
	}
	if len(w.runs) > 0 && w.clock.ms > 0 && now >= w.leasesExpiredBy() && w.missedPolls > 0 {
		e.handleLeaseExpired(now, w)
	}
	if !w.polling && now >= w.nextPollAt {
		e.poll(now, w)
	}
	if w.markUnanswered(now, e.orderLatency.suspicionDelay()) || e.hasUnmeasuredOverdueRun(now, w) {
		e.pollExtra(now, w)
	}
	if now >= w.nextExtraPollAt && w.hasUnresolvedOrders() {
		e.repeatStops(now, w)
		e.pollExtra(now, w)
	}
	e.stopStalledRuns(now, w)
	e.stopOrphans(now, w)
	e.expireIdleLease(now, w)
}

// acquire takes a worker by a token above all tokens that this process has used. If the worker could
// not be reached before, acquire first asks it whether it obeys another holder.
func (e *Executor) acquire(now time.Duration, w *worker) {
	w.polling = true
	if w.unreachable {
		e.output.Calls = append(e.output.Calls, Call{Kind: CallPoll, Worker: w.info.ID, Address: w.info.Address, withoutToken: true, sentAt: now})
		return
	}
	w.phase, w.extraPolling = acquiring, false
	w.token, w.acquireSentAt = max(e.config.TokenSource(), w.token+1), now
	e.emitCall(now, w, Call{Kind: CallPoll})
}

// handleTokenlessAnswer handles the answer of a worker that could not be reached before. If the
// worker obeys another holder, a partition may just have ended: that holder kept the worker and
// will have reconnected in a moment. Were this executor to take the worker at once, it would have
// to hand it back then, and it would stop the worker's runs, as their coordinators are not
// connected yet and cannot claim them.
func (e *Executor) handleTokenlessAnswer(now time.Duration, w *worker, a Answer) {
	w.polling = false
	switch a.Verdict {
	case OK:
		w.unreachable, w.nextPollAt = false, now
	case Fenced:
		w.unreachable, w.nextPollAt = false, now+reconnectWait
	case Replaced:
		w.unreachable = false
		e.handleWorkerDied(now, w)
	default:
		w.nextPollAt = now + acquireRetryDelay
	}
}

// handleLeaseExpired ends the runs of an unreachable worker whose leases have expired.
func (e *Executor) handleLeaseExpired(now time.Duration, w *worker) {
	e.emitEvent("lease_lapsed", w, nil, fmt.Sprintf("runs=%d silent=%s", len(w.runs), now-w.clock.at))
	e.endAllRuns(now, w, "lease_lapsed")
}

// markUnanswered marks starts that have had no answer for that long as unanswered, and reports
// whether there were any. A worker that does not answer an order may carry it out seconds later. The
// worker's list shows whether it has, and a stop makes sure that it never will, so that the task can
// start elsewhere while its caller would still be on time.
func (w *worker) markUnanswered(now, timeout time.Duration) bool {
	found := false
	for _, r := range w.runs {
		if r.state == starting && now-r.startSentAt >= timeout {
			r.state, found = unanswered, true
		}
	}
	return found
}

// repeatStops sends unconfirmed stops again, as an order without an answer may be lost.
func (e *Executor) repeatStops(now time.Duration, w *worker) {
	for _, r := range w.sortedRuns() {
		state := r.state
		if barred := state == stopping || state == unanswered && r.stopSentAt > 0; barred && r.stoppedClock == 0 && now-r.stopSentAt >= extraPollInterval {
			e.sendStop(now, w, r)
			r.state = state
		}
	}
}

// stopStalledRuns stops runs that make no progress. The worker lists such a run forever, and its
// caller would otherwise wait until its deadline.
func (e *Executor) stopStalledRuns(now time.Duration, w *worker) {
	for _, r := range w.sortedRuns() {
		if r.state != running || r.task == nil || w.missedPolls > 0 {
			continue
		}
		if now-r.progressAt < stallTimeout+r.task.ExpectedRunTime/8 || now-w.listedAt > stallTimeout/2 {
			continue
		}
		e.emitEvent("run_stands_still", w, r, fmt.Sprintf("percent=%d for=%s", r.percent, now-r.progressAt))
		w.onProbation = true
		w.pauseFor(now, stallPause)
		r.progressAt = now
		e.stopForRestart(now, w, r)
	}
}

// stopForRestart stops a run whose coordinator waits for proof that it is over.
func (e *Executor) stopForRestart(now time.Duration, w *worker, r *run) {
	e.sendStop(now, w, r)
	w.nextExtraPollAt = now + e.config.StopTimeout
}

const (
	// stallTimeout is the time without progress after which a run is stopped. An eighth of its
	// expected time is added. By then lists arrive at least every overduePollWait.
	stallTimeout = 3 * overduePollWait
	// stallPause is how long the worker of a stalled run gets no new runs.
	stallPause = time.Second
	// overduePollWait is the longest wait of a poll while a run makes no progress.
	overduePollWait = 100 * time.Millisecond
)

// hasOverdueRun reports whether a run has made no progress for overduePollWait. The executor then
// asks for lists more often, to tell a stalled run from a long task soon.
func (w *worker) hasOverdueRun(now time.Duration) bool {
	for _, r := range w.runs {
		if now-r.progressAt >= overduePollWait {
			return true
		}
	}
	return false
}
