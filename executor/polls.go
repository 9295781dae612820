package executor

import (
	"fmt"
	"time"
)

// poll sends the standing poll of a worker. After some polls without an answer the lease
// is no longer extended: if the worker runs on unseen, its runs end with the lease, and
// only then are they safe to start elsewhere. Nor is it extended while a run is unclaimed:
// its coordinator may be at the earlier holder's side of a partition, where the run counts
// as over with the leases that the earlier holder granted.
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

// look reads the lists at once, beside the standing poll.
func (e *Executor) pollExtra(now time.Duration, w *worker) {
	if w.extraPolling || w.phase != held && w.phase != claiming {
		return
	}
	w.extraPolling = true
	w.nextExtraPollAt = now + extraPollInterval
	e.emitCall(now, w, Call{Kind: CallPoll, Acknowledge: w.nextAcknowledge(), extra: true})
}

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

// acquire takes a worker by a token above all that this process has used. One that could
// not be reached before is asked first whether it obeys another holder.
func (e *Executor) acquire(now time.Duration, w *worker) {
	w.polling = true
	if w.unreachable {
		e.output.Calls = append(e.output.Calls, Call{Kind: CallPoll, Worker: w.info.ID, Address: w.info.Address, probe: true, sentAt: now})
		return
	}
	w.phase, w.extraPolling = acquiring, false
	w.token, w.acquireSentAt = max(e.config.TokenSource(), w.token+1), now
	e.emitCall(now, w, Call{Kind: CallPoll})
}

// probed takes the answer of a worker that could not be reached before. If it obeys another
// holder, a partition may just have ended: the holder has gone on beside it, and is linked
// again in a moment. Taken at once, the worker would be given back then, and what ran there
// would be stopped, as its coordinators are not linked yet and can't claim it.
func (e *Executor) handleProbeAnswer(now time.Duration, w *worker, a Answer) {
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

// lapsed reports the runs of a worker that is not heard from and whose leases are over.
func (e *Executor) handleLeaseExpired(now time.Duration, w *worker) {
	e.emitEvent("lease_lapsed", w, nil, fmt.Sprintf("runs=%d silent=%s", len(w.runs), now-w.clock.at))
	e.endAllRuns(now, w, "lease_lapsed")
}

// suspectStarts takes starts for doubtful that have been without an answer for so long, and
// reports whether there were any. A worker that leaves an order unanswered may carry it out
// seconds later; a look at its list tells whether it has, and a stop that it never will, so
// that the task can start elsewhere while its caller would still be on time.
func (w *worker) markUnanswered(now, timeout time.Duration) bool {
	found := false
	for _, r := range w.runs {
		if r.state == starting && now-r.startSentAt >= timeout {
			r.state, found = unanswered, true
		}
	}
	return found
}

// insist repeats stops that were not confirmed: an order without an answer may be lost.
func (e *Executor) repeatStops(now time.Duration, w *worker) {
	for _, r := range w.sortedRuns() {
		state := r.state
		if barred := state == stopping || state == unanswered && r.stopSentAt > 0; barred && r.stoppedClock == 0 && now-r.stopSentAt >= extraPollInterval {
			e.sendStop(now, w, r)
			r.state = state
		}
	}
}

// endStandstill stops runs that make no progress: the worker lists them for ever, and
// without this their callers would wait to the deadline.
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

// stopForRestart stops a run whose coordinator waits for the proof that it is over.
func (e *Executor) stopForRestart(now time.Duration, w *worker, r *run) {
	e.sendStop(now, w, r)
	w.nextExtraPollAt = now + e.config.StopTimeout
}

const (
	// standstill is the time without progress after which a run is stopped, beside an
	// eighth of its expected time. Lists come at least every overdueWait by then.
	stallTimeout = 3 * overduePollWait
	// standstillPause closes the worker of such a run.
	stallPause = time.Second
	// overdueWait is the longest wait of a poll while a run makes no progress.
	overduePollWait = 100 * time.Millisecond
)

// overdue reports whether a run has made no progress for overdueWait: lists are then
// asked for more often, so that a standstill is told from a long task soon.
func (w *worker) hasOverdueRun(now time.Duration) bool {
	for _, r := range w.runs {
		if now-r.progressAt >= overduePollWait {
			return true
		}
	}
	return false
}
