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
	c := Call{Kind: CallPoll, Acknowledge: w.unconfirmed(), Wait: idleWait}
	if len(w.runs) > 0 {
		c.Wait = busyWait
		if w.overdue(now) {
			c.Wait = overdueWait
		}
		if at, ok := w.now(now); ok && w.silent < lapsingSilence && !w.unclaimed() {
			c.Deadline = at + e.config.Lease.Milliseconds()
		}
	}
	if w.silent > 0 || len(w.unsettled) > 0 {
		c.Wait = 0
	}
	e.call(now, w, c)
}

// look reads the lists at once, beside the standing poll.
func (e *Executor) look(now time.Duration, w *worker) {
	if w.looking || w.phase != held && w.phase != claiming {
		return
	}
	w.looking = true
	w.nextLook = now + lookEvery
	e.call(now, w, Call{Kind: CallPoll, Acknowledge: w.unconfirmed(), look: true})
}

func (e *Executor) tickWorker(now time.Duration, w *worker) {
	switch w.phase {
	case acquiring, yielded:
		if !w.polling && now >= w.nextPoll {
			e.acquire(now, w)
		}
	case claiming:
		e.settleClaims(now, w)
	}
	e.lapseReborn(now, w)
	if w.phase != held && w.phase != claiming {
		return
	}
	if len(w.runs) > 0 && w.clock.ms > 0 && now >= w.lapsedBy() && w.silent > 0 {
		e.lapsed(now, w)
	}
	if !w.polling && now >= w.nextPoll {
		e.poll(now, w)
	}
	if w.suspectStarts(now, e.answers.suspicion()) || e.unseen(now, w) {
		e.look(now, w)
	}
	if now >= w.nextLook && w.doubts() {
		e.insist(now, w)
		e.look(now, w)
	}
	e.endStandstill(now, w)
	e.endOrphans(now, w)
	e.lapseIdle(now, w)
}

// acquire takes a worker by a token above all that this process has used. One that could
// not be reached before is asked first whether it obeys another holder.
func (e *Executor) acquire(now time.Duration, w *worker) {
	w.polling = true
	if w.unreached {
		e.out.Calls = append(e.out.Calls, Call{Kind: CallPoll, Worker: w.info.ID, Address: w.info.Address, probe: true, sent: now})
		return
	}
	w.phase, w.looking = acquiring, false
	w.token, w.takenAt = max(e.config.TokenSource(), w.token+1), now
	e.call(now, w, Call{Kind: CallPoll})
}

// probed takes the answer of a worker that could not be reached before. If it obeys another
// holder, a partition may just have ended: the holder has gone on beside it, and is linked
// again in a moment. Taken at once, the worker would be given back then, and what ran there
// would be stopped, as its coordinators are not linked yet and can't claim it.
func (e *Executor) probed(now time.Duration, w *worker, a Answer) {
	w.polling = false
	switch a.Verdict {
	case OK:
		w.unreached, w.nextPoll = false, now
	case Fenced:
		w.unreached, w.nextPoll = false, now+reunionWait
	case Replaced:
		w.unreached = false
		e.workerDied(now, w)
	default:
		w.nextPoll = now + retryAcquire
	}
}

// lapsed reports the runs of a worker that is not heard from and whose leases are over.
func (e *Executor) lapsed(now time.Duration, w *worker) {
	e.event("lease_lapsed", w, nil, fmt.Sprintf("runs=%d silent=%s", len(w.runs), now-w.clock.at))
	e.endAll(now, w, "lease_lapsed")
}

// suspectStarts takes starts for doubtful that have been without an answer for so long, and
// reports whether there were any. A worker that leaves an order unanswered may carry it out
// seconds later; a look at its list tells whether it has, and a stop that it never will, so
// that the task can start elsewhere while its caller would still be on time.
func (w *worker) suspectStarts(now, patience time.Duration) bool {
	found := false
	for _, r := range w.runs {
		if r.state == starting && now-r.began >= patience {
			r.state, found = doubtful, true
		}
	}
	return found
}

// insist repeats stops that were not confirmed: an order without an answer may be lost.
func (e *Executor) insist(now time.Duration, w *worker) {
	for _, r := range w.sorted() {
		state := r.state
		if barred := state == stopping || state == doubtful && r.stopSent > 0; barred && r.stopped == 0 && now-r.stopSent >= lookEvery {
			e.stop(now, w, r)
			r.state = state
		}
	}
}

// endStandstill stops runs that make no progress: the worker lists them for ever, and
// without this their callers would wait to the deadline.
func (e *Executor) endStandstill(now time.Duration, w *worker) {
	for _, r := range w.sorted() {
		if r.state != running || r.task == nil || w.silent > 0 {
			continue
		}
		if now-r.changed < standstill+r.task.ExpectedRunTime/8 || now-w.listedAt > standstill/2 {
			continue
		}
		e.event("run_stands_still", w, r, fmt.Sprintf("percent=%d for=%s", r.percent, now-r.changed))
		w.probing = true
		w.closeFor(now, standstillPause)
		r.changed = now
		e.stopForRestart(now, w, r)
	}
}

// stopForRestart stops a run whose coordinator waits for the proof that it is over.
func (e *Executor) stopForRestart(now time.Duration, w *worker, r *run) {
	e.stop(now, w, r)
	w.nextLook = now + e.config.StopTimeout
}

const (
	// standstill is the time without progress after which a run is stopped, beside an
	// eighth of its expected time. Lists come at least every overdueWait by then.
	standstill = 3 * overdueWait
	// standstillPause closes the worker of such a run.
	standstillPause = time.Second
	// overdueWait is the longest wait of a poll while a run makes no progress.
	overdueWait = 100 * time.Millisecond
)

// overdue reports whether a run has made no progress for overdueWait: lists are then
// asked for more often, so that a standstill is told from a long task soon.
func (w *worker) overdue(now time.Duration) bool {
	for _, r := range w.runs {
		if now-r.changed >= overdueWait {
			return true
		}
	}
	return false
}
