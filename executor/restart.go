package executor

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// EventWorkerRestarted tells that a crashed worker has restarted under its ID, and which source
// showed it.
const EventWorkerRestarted = "worker_life_changed"

// A worker may crash and restart under its ID. The new incarnation runs nothing, has obeyed no token,
// and numbers its completions and reads its clock from the start again. Two faults follow if the
// executor takes it for the old incarnation:
//   - A list of the new incarnation seems to prove that runs are over which may still begin. An order
//     to the old incarnation may arrive seconds late, and the new one obeys it, as it has seen no token.
//   - An acknowledgement of the old incarnation's completions makes the new one forget completions that
//     no executor has read.
//
// The executor therefore takes the worker again, by a higher token. From its answer on, the new
// incarnation refuses all earlier orders, and its list is reliable.

// acceptEntry takes the incarnation that a registry entry states. It reports whether the entry is
// of the current incarnation or a later one. An entry of an earlier incarnation may be read after a
// list of the new one; the incarnation with the later start time is the newer one.
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

// attributeAnswer finds out which incarnation of the worker has answered. An answer by an earlier
// incarnation, or the first one by a new incarnation, shows nothing of the call's effect on the
// current one. It counts as no answer.
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
		// A clock never goes back, so another incarnation answers, though it does not state which.
		e.handleRestart(now, w, 0, "clock")
		return none
	}
	return a
}

// handleRestart handles a crash of the worker and its restart under its ID. Runs that the old
// incarnation has confirmed are over. Starts without an answer may still reach the new incarnation;
// the executor decides them once it has taken the worker.
func (e *Executor) handleRestart(now time.Duration, w *worker, incarnation int64, source string) {
	e.emitEvent(EventWorkerRestarted, w, nil, fmt.Sprintf("source=%s incarnation=%d before=%d runs=%d", source, incarnation, w.incarnation, len(w.runs)))
	w.incarnation, w.incarnationSince = incarnation, now
	for _, r := range w.sortedRuns() {
		if r.runningClock > 0 {
			e.endRun(now, w, r, task.Terminated, ReasonWorkerRestarted)
		}
	}
	e.endDeferredClaims(w, task.Terminated, ReasonWorkerRestarted)
	w.forgetCompletions()
	e.forgetSlowdown(w) // the new incarnation may have another speed
	w.missedPolls, w.suspect, w.onProbation, w.consecutiveFailures = 0, false, false, 0
	w.awaitedClaims = nil
	if w.phase != held && w.phase != claiming && w.phase != acquiring {
		return
	}
	w.unreachable, w.restarted = false, true
	e.acquire(now, w) // at once: until this order arrives, the new incarnation obeys orders to the old one
}

// latestClock is the latest reading of the clock of the current incarnation; 0: none.
func (w *worker) latestClock() int64 {
	if w.restarted {
		return 0
	}
	return w.clock.ms
}

// forgetCompletions drops what is known of the completions of an earlier incarnation.
func (w *worker) forgetCompletions() {
	w.cursor, w.acknowledgeAnswered, w.listIncomplete = 0, 0, false
	clear(w.unacknowledged)
}

// nextAcknowledge is the number up to which to acknowledge completions; 0 if the worker has
// answered that acknowledgement before. Sent again, it could reach a new incarnation of the worker,
// which would forget as many completions of its own.
func (w *worker) nextAcknowledge() uint64 {
	if n := w.acknowledgeable(); n > w.acknowledgeAnswered {
		return n
	}
	return 0
}

// resolveEarlierRuns decides the runs that this executor had ordered before it took the worker
// again. Those that the new list shows go on or have ended. All others never start, as the worker
// now refuses orders with earlier tokens. It returns the numbers of the completions of these runs.
func (e *Executor) resolveEarlierRuns(now time.Duration, w *worker, a Answer) (own map[uint64]bool) {
	if w.restarted {
		// A late order, with a deadline by the old incarnation's clock, may have got the longest
		// lease.
		w.clock, w.grantedUntil, w.restarted = clockReading{a.Clock, now}, a.Clock+e.config.MaxLease.Milliseconds(), false
	}
	listed := make(map[task.ID]uint32, len(a.Running))
	for _, l := range a.Running {
		listed[l.ID] = l.Run
	}
	own = make(map[uint64]bool)
	for _, c := range a.Completions {
		if r := w.runs[c.ID]; r != nil && r.number == c.Run && r.task != nil {
			own[c.Number] = true
			e.holdCompletion(now, w, r, c)
			e.endRun(now, w, r, outcomeOf(c), c.Result)
		}
	}
	for _, r := range w.sortedRuns() {
		if num, ok := listed[r.id]; ok && num == r.number || len(a.Completions) >= completionListLimit {
			e.confirmRunning(r, w, a.Clock) // if the list is incomplete, the next one decides
			continue
		}
		e.endRun(now, w, r, task.Terminated, "refused_from_now_on")
	}
	return own
}

// expireRestarted gives up starts without an answer at a restarted worker that cannot be taken,
// once the leases that they may have got have expired.
func (e *Executor) expireRestarted(now time.Duration, w *worker) {
	if w.restarted && len(w.runs) > 0 && now >= max(w.leasesExpiredBy(), w.incarnationSince+e.config.MaxLease) {
		e.handleLeaseExpired(now, w)
	}
}
