package executor

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// EventReborn tells that a worker which has crashed is back under its ID, by the source that it
// was learned from.
const EventWorkerRestarted = "worker_life_changed"

// A worker may crash and come back under its ID. The new life runs nothing, has obeyed no
// token, and counts its ends and its clock from the beginning. So a list of the new life, read
// for the old one's, would prove runs over that may still begin: an order to the old life may
// arrive seconds late, and the new one, which has seen no token, obeys it. An acknowledgement of
// the old life's ends would have the new one forget ends that nobody has read. Therefore the
// worker is taken over anew, under a higher token: from its answer on the new life refuses all
// earlier orders, and its list is the truth.

// announced takes the life that an entry names and reports whether the entry is of the life
// that is dealt with, or a later one. The entry of an earlier life may be read after a list of
// the new one; the later birth decides.
func (e *Executor) acceptEntry(now time.Duration, w *worker, i WorkerInfo) bool {
	switch {
	case i.Incarnation == 0 || i.Incarnation == w.incarnation:
	case w.incarnation == 0:
		w.incarnation, w.incarnationSince = i.Incarnation, now
	case i.Incarnation < w.incarnation:
		return false
	default:
		e.handleRestart(now, w, i.Incarnation, "entry")
	}
	return true
}

// attribute finds out which life of the worker has given an answer. One of an earlier life, or
// the first of a new one, says nothing of the call's effect on the life that is dealt with: it
// counts as none.
func (e *Executor) attributeAnswer(now time.Duration, w *worker, c Call, a Answer) Answer {
	none := Answer{Verdict: Unknown}
	switch {
	case a.Incarnation != 0 && w.incarnation == 0 && c.sentAt >= w.incarnationSince:
		w.incarnation, w.incarnationSince = a.Incarnation, now
	case a.Incarnation != 0 && a.Incarnation != w.incarnation:
		if c.sentAt < w.incarnationSince {
			return none
		}
		e.handleRestart(now, w, a.Incarnation, "answer")
		return none
	case c.workerClock > 0 && a.Clock > 0 && a.Clock < c.workerClock && c.sentAt >= w.incarnationSince:
		// A clock never goes back, so another life answers, though it doesn't say which.
		e.handleRestart(now, w, 0, "clock")
		return none
	}
	return a
}

// reborn acts on the news that the worker has crashed and is back under its ID. What the old
// life has confirmed is over. Starts without an answer may still reach the new one; they are
// decided when it has been taken over.
func (e *Executor) handleRestart(now time.Duration, w *worker, incarnation int64, source string) {
	e.emitEvent(EventWorkerRestarted, w, nil, fmt.Sprintf("source=%s incarnation=%d before=%d runs=%d", source, incarnation, w.incarnation, len(w.runs)))
	w.incarnation, w.incarnationSince = incarnation, now
	for _, r := range w.sortedRuns() {
		if r.runningClock > 0 {
			e.endRun(now, w, r, task.Terminated, ReasonWorkerRestarted)
		}
	}
	w.forgetCompletions()
	e.forgetSlowdown(w) // it may be of another kind now
	w.missedPolls, w.suspect, w.onProbation, w.consecutiveFailures = 0, false, false, 0
	w.awaitedClaims = nil
	if w.phase != held && w.phase != claiming && w.phase != acquiring {
		return
	}
	w.unreachable, w.restarted = false, true
	e.acquire(now, w) // at once: until it arrives, the new life obeys what the old one was sent
}

// reading is the latest reading of the clock of the life that is dealt with; 0: there is none.
func (w *worker) latestClock() int64 {
	if w.restarted {
		return 0
	}
	return w.clock.ms
}

// forgetEnds drops what is known of the ends that a life of the worker has listed.
func (w *worker) forgetCompletions() {
	w.cursor, w.acknowledgeAnswered = 0, 0
	clear(w.unacknowledged)
}

// unconfirmed is the number up to which ends are to be acknowledged; 0 where that was answered
// before. Repeated, it could reach a new life of the worker, which would forget as many ends of
// its own.
func (w *worker) nextAcknowledge() uint64 {
	if n := w.acknowledgeable(); n > w.acknowledgeAnswered {
		return n
	}
	return 0
}

// resume decides what this executor had ordered before it took the worker anew: what the new
// list shows goes on or has ended, and the rest never starts, as the worker refuses orders
// under earlier tokens from here on.
func (e *Executor) resolveEarlierRuns(now time.Duration, w *worker, a Answer) {
	if w.restarted {
		// Late orders with deadlines of the old life's clock may have got the longest lease.
		w.clock, w.grantedUntil, w.restarted = clockReading{a.Clock, now}, a.Clock+e.config.MaxLease.Milliseconds(), false
	}
	listed := make(map[task.ID]uint32, len(a.Running))
	for _, l := range a.Running {
		listed[l.ID] = l.Run
	}
	for _, f := range a.Completions {
		if r := w.runs[f.ID]; r != nil && r.number == f.Run && r.task != nil {
			w.cursor = max(w.cursor, f.Number)
			e.holdCompletion(now, w, r, f)
			e.endRun(now, w, r, outcomeOf(f), f.Result)
		}
	}
	for _, r := range w.sortedRuns() {
		if num, ok := listed[r.id]; ok && num == r.number || len(a.Completions) >= completionListLimit {
			e.confirmRunning(r, w, a.Clock) // where the list is incomplete, the next tells
			continue
		}
		e.endRun(now, w, r, task.Terminated, "refused_from_now_on")
	}
}

// lapseReborn gives up starts without an answer at a worker that was reborn and can't be taken
// over: the leases that they were given have passed.
func (e *Executor) expireRestarted(now time.Duration, w *worker) {
	if w.restarted && len(w.runs) > 0 && now >= max(w.leasesExpiredBy(), w.incarnationSince+e.config.MaxLease) {
		e.handleLeaseExpired(now, w)
	}
}
