// Results of the ledger's writes: what the store's answers mean for the jobs of a batch.

package ledger

import (
	"slices"
	"time"
)

// requeueExpired schedules the removals of a failed batch again.
func (l *Ledger) requeueExpired(b Batch) { l.expiries = append(slices.Clone(b.expired), l.expiries...) }

// HandleResult handles the store's answer to a batch. The result fenced reports that the ownership record
// is gone: other daemons may own the jobs, and the ledger is empty.
func (l *Ledger) HandleResult(now time.Duration, b Batch, r Result) (events []Event, fenced bool) {
	if r.Revision == 0 {
		return l.handleRefused(now, b, r.Current)
	}
	for _, w := range b.writes {
		if j := l.jobs[w.id]; j != nil && j.inFlight {
			events = append(events, l.handleWritten(now, w, j, r.Revision)...)
		}
	}
	return events, false
}

// handleWritten updates a job whose write was applied.
func (l *Ledger) handleWritten(now time.Duration, w jobWrite, j *trackedJob, revision int64) []Event {
	j.inFlight, j.unanswered, j.revision = false, false, revision
	event := Event{Record: j.record, Version: w.progressVersion}
	switch w.phase {
	case adding, takingOver:
		event.Kind, event.Revision = Stored, revision
		if w.phase == takingOver {
			event.Kind = TakenOver
		} else {
			j.stateRevision = revision
		}
		j.phase = accepted
		if j.finalState != 0 { // canceled before it was stored
			j.phase, event.State = ending, j.finalState
			l.scheduleWrite(w.id, now)
		}
	case ending:
		event.Kind, event.State = Ended, j.finalState
		l.remove(w.id)
		l.expiries = append(l.expiries, expiry{Key{StateEntry, w.id}, now + l.config.Retention})
	default:
		event.Kind = ProgressStored
		if j.finalState != 0 {
			j.phase = ending
		}
	}
	return []Event{event}
}

// HandleNoAnswer handles a batch whose write got no answer. The ledger writes the jobs again until an
// answer of the store shows their state.
func (l *Ledger) HandleNoAnswer(now time.Duration, b Batch) (events []Event) {
	l.requeueExpired(b)
	for _, w := range b.writes {
		j := l.jobs[w.id]
		if j == nil {
			continue
		}
		j.unanswered = true
		j.unansweredWrites++
		l.retry(now, w.id, j)
		if w.phase == adding && j.unansweredWrites >= attemptsUntilUncertain {
			events = append(events, Event{Kind: Uncertain, Record: j.record})
		}
	}
	return events
}

// HandleNotWritten handles a batch that the store did not apply and never will. New jobs are rejected,
// unless an earlier unanswered write may have stored them.
func (l *Ledger) HandleNotWritten(now time.Duration, b Batch) (events []Event) {
	l.requeueExpired(b)
	for _, w := range b.writes {
		j := l.jobs[w.id]
		switch {
		case j == nil:
		case w.phase == adding && !j.unanswered:
			l.remove(w.id)
			events = append(events, Event{Kind: Rejected, Record: j.record})
		default:
			l.retry(now, w.id, j)
		}
	}
	return events
}

// retry schedules the next write of a job whose write failed.
func (l *Ledger) retry(now time.Duration, id string, j *trackedJob) {
	j.inFlight = false
	if j.finalState != 0 && j.phase == accepted {
		j.phase = ending
	}
	l.scheduleWrite(id, now)
}

// handleRefused finds the condition that did not hold in a refused batch.
func (l *Ledger) handleRefused(now time.Duration, b Batch, current []Entry) (events []Event, fenced bool) {
	l.requeueExpired(b)
	currentByKey := make(map[Key]Entry, len(current))
	for _, c := range current {
		currentByKey[c.Key] = c
	}
	if currentByKey[l.OwnershipKey()].Revision != l.ownershipRevision {
		return l.HandleFenced(), true
	}
	for _, w := range b.writes {
		j := l.jobs[w.id]
		if j == nil || !j.inFlight {
			continue
		}
		l.retry(now, w.id, j)
		if w.phase == adding {
			events = append(events, l.handleAddRefused(now, w, j, currentByKey[Key{StateEntry, w.id}])...)
			continue
		}
		events = append(events, l.handleUpdateRefused(now, w, j, currentByKey[Key{RecordEntry, w.id}], currentByKey[Key{StateEntry, w.id}])...)
	}
	return events, false
}

// handleAddRefused handles a new job that is in the store already. If an earlier write got no answer,
// that write may have stored the job; otherwise the job is a duplicate. A state from before the current
// ownership record is that of an earlier acceptance, and a successor may own the job since.
func (l *Ledger) handleAddRefused(now time.Duration, w jobWrite, j *trackedJob, state Entry) []Event {
	if state.Revision == 0 {
		return nil
	}
	s, owner, err := DecodeState(state.Value)
	stored := owner == l.config.Owner && state.Revision > l.ownershipRevision
	if err == nil && stored && !s.Final() && j.unanswered {
		j.queued = false
		l.writeQueue = slices.DeleteFunc(l.writeQueue, func(q string) bool { return q == w.id })
		return l.handleWritten(now, w, j, state.Revision)
	}
	l.remove(w.id)
	return []Event{{Kind: Duplicate, Record: j.record, State: s}}
}

// handleUpdateRefused handles a record that has changed since this daemon's last known write. If an
// earlier write got no answer, that write may be the cause; otherwise another daemon owns the job or has
// canceled it. The state is empty unless the write required it.
func (l *Ledger) handleUpdateRefused(now time.Duration, w jobWrite, j *trackedJob, record, state Entry) []Event {
	if state.Revision > 0 {
		j.stateRevision = state.Revision
	}
	if record.Revision == j.revision {
		return nil
	}
	if record.Revision > 0 && j.unanswered {
		if r, err := DecodeRecord(record.Value); err == nil && r.Owner == l.config.Owner {
			j.revision = record.Revision // retry with this revision
			return nil
		}
	}
	if record.Revision == 0 && j.unanswered && w.phase == ending {
		if stored, _, err := DecodeState(state.Value); err == nil && stored.Final() {
			j.finalState = stored
		}
		return l.handleWritten(now, w, j, j.revision)
	}
	l.remove(w.id)
	return []Event{{Kind: OwnershipLost, Record: j.record}}
}

// HandleFenced empties the ledger after this daemon has lost its ownership record: other daemons may own
// the jobs. New jobs may have been stored before that, so they are reported as Uncertain.
func (l *Ledger) HandleFenced() []Event {
	events := make([]Event, 0, len(l.jobs))
	for _, j := range l.jobs {
		kind := OwnershipLost
		if j.phase == adding {
			kind = Uncertain
		}
		events = append(events, Event{Kind: kind, Record: j.record})
	}
	l.ownershipRevision, l.writeQueue = 0, nil
	clear(l.jobs)
	return events
}
