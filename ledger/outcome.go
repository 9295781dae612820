package ledger

import (
	"slices"
	"time"
)

// takeBack keeps the states of a failed batch for a later one.
func (l *Ledger) requeueExpired(b Batch) { l.expiries = append(slices.Clone(b.expired), l.expiries...) }

// HandleResult takes the store's answer to a batch. fenced tells that the title is gone: the
// jobs are others' from now on, and the ledger is empty.
func (l *Ledger) HandleResult(now time.Duration, b Batch, r Result) (events []Event, fenced bool) {
	if r.Revision == 0 {
		return l.handleRefused(now, b, r.Current)
	}
	for _, p := range b.writes {
		if e := l.jobs[p.id]; e != nil && e.inFlight {
			events = append(events, l.handleWritten(now, p, e, r.Revision)...)
		}
	}
	return events, false
}

func (l *Ledger) handleWritten(now time.Duration, p jobWrite, e *trackedJob, revision int64) []Event {
	e.inFlight, e.unanswered, e.revision = false, false, revision
	event := Event{Record: e.record, Version: p.version}
	switch p.phase {
	case adding, takingOver:
		event.Kind = Stored
		if p.phase == takingOver {
			event.Kind = TakenOver
		}
		e.phase = accepted
		if e.finalState != 0 { // canceled before it was stored
			e.phase, event.State = ending, e.finalState
			l.scheduleWrite(p.id, now)
		}
	case ending:
		event.Kind, event.State = Ended, e.finalState
		l.remove(p.id)
		l.expiries = append(l.expiries, expiry{p.id, now + l.config.Retention})
	default:
		event.Kind = ProgressStored
		if e.finalState != 0 {
			e.phase = ending
		}
	}
	return []Event{event}
}

// HandleNoAnswer takes back a batch that got no answer: it is written again, until the store
// has said what is so.
func (l *Ledger) HandleNoAnswer(now time.Duration, b Batch) (events []Event) {
	l.requeueExpired(b)
	for _, p := range b.writes {
		e := l.jobs[p.id]
		if e == nil {
			continue
		}
		e.unanswered = true
		e.unansweredWrites++
		l.retry(now, p.id, e)
		if p.phase == adding && e.unansweredWrites >= attemptsUntilUncertain {
			events = append(events, Event{Kind: Uncertain, Record: e.record})
		}
	}
	return events
}

// HandleNotWritten takes back a batch that the store refused to look at. New jobs that were
// never on their way are rejected.
func (l *Ledger) HandleNotWritten(now time.Duration, b Batch) (events []Event) {
	l.requeueExpired(b)
	for _, p := range b.writes {
		e := l.jobs[p.id]
		switch {
		case e == nil:
		case p.phase == adding && !e.unanswered:
			l.remove(p.id)
			events = append(events, Event{Kind: Rejected, Record: e.record})
		default:
			l.retry(now, p.id, e)
		}
	}
	return events
}

func (l *Ledger) retry(now time.Duration, id string, e *trackedJob) {
	e.inFlight = false
	if e.finalState != 0 && e.phase == accepted {
		e.phase = ending
	}
	l.scheduleWrite(id, now)
}

// refused finds out which condition did not hold.
func (l *Ledger) handleRefused(now time.Duration, b Batch, current []Entry) (events []Event, fenced bool) {
	l.requeueExpired(b)
	currentByKey := make(map[Key]Entry, len(current))
	for _, c := range current {
		currentByKey[c.Key] = c
	}
	if currentByKey[l.OwnershipKey()].Revision != l.ownershipRevision {
		return l.HandleFenced(), true
	}
	for _, p := range b.writes {
		e := l.jobs[p.id]
		if e == nil || !e.inFlight {
			continue
		}
		l.retry(now, p.id, e)
		if p.phase == adding {
			events = append(events, l.handleAddRefused(now, p, e, currentByKey[Key{StateEntry, p.id}])...)
			continue
		}
		events = append(events, l.handleUpdateRefused(now, p, e, currentByKey[Key{RecordEntry, p.id}])...)
	}
	return events, false
}

// addRefused: someone has stored the job; perhaps it was this daemon, by a write that got
// no answer.
func (l *Ledger) handleAddRefused(now time.Duration, p jobWrite, e *trackedJob, state Entry) []Event {
	if state.Revision == 0 {
		return nil
	}
	s, owner, err := DecodeState(state.Value)
	if err == nil && owner == l.config.Owner && !s.Final() && e.unanswered {
		e.dirty = false
		l.writeQueue = slices.DeleteFunc(l.writeQueue, func(q string) bool { return q == p.id })
		return l.handleWritten(now, p, e, state.Revision)
	}
	l.remove(p.id)
	return []Event{{Kind: Duplicate, Record: e.record, State: s}}
}

// changeRefused: the record is not as this daemon left it. After a write without an
// answer it may be that one; otherwise the job is somebody else's.
func (l *Ledger) handleUpdateRefused(now time.Duration, p jobWrite, e *trackedJob, record Entry) []Event {
	if record.Revision == e.revision {
		return nil
	}
	if record.Revision > 0 && e.unanswered {
		if r, err := DecodeRecord(record.Value); err == nil && r.Owner == l.config.Owner {
			e.revision = record.Revision // and write again
			return nil
		}
	}
	if record.Revision == 0 && e.unanswered && p.phase == ending {
		return l.handleWritten(now, p, e, e.revision)
	}
	l.remove(p.id)
	return []Event{{Kind: OwnershipLost, Record: e.record}}
}

// HandleFenced empties the ledger: its jobs are others' now. New ones may still have been stored.
func (l *Ledger) HandleFenced() []Event {
	events := make([]Event, 0, len(l.jobs))
	for _, e := range l.jobs {
		kind := OwnershipLost
		if e.phase == adding {
			kind = Uncertain
		}
		events = append(events, Event{Kind: kind, Record: e.record})
	}
	l.ownershipRevision, l.writeQueue = 0, nil
	clear(l.jobs)
	return events
}

// Cancellation returns the change that cancels a job of whichever owner, whose record is
// at the given revision.
func Cancellation(id string, revision int64, at time.Time) Change {
	return Change{
		Require: []Entry{{Key: Key{RecordEntry, id}, Revision: revision}},
		Remove:  []Key{{RecordEntry, id}},
		Set:     []Entry{{Key: Key{StateEntry, id}, Value: EncodeState(Canceled, 0, at)}},
	}
}
