package ledger

import (
	"slices"
	"time"
)

// takeBack keeps the states of a failed batch for a later one.
func (l *Ledger) takeBack(b Batch) { l.ended = append(slices.Clone(b.expired), l.ended...) }

// HandleResult takes the store's answer to a batch. fenced tells that the title is gone: the
// jobs are others' from now on, and the ledger is empty.
func (l *Ledger) HandleResult(now time.Duration, b Batch, r Result) (news []Event, fenced bool) {
	if r.Revision == 0 {
		return l.refused(now, b, r.Current)
	}
	for _, p := range b.parts {
		if e := l.jobs[p.id]; e != nil && e.inFlight {
			news = append(news, l.written(now, p, e, r.Revision)...)
		}
	}
	return news, false
}

func (l *Ledger) written(now time.Duration, p part, e *entry, revision int64) []Event {
	e.inFlight, e.tried, e.revision = false, false, revision
	n := Event{Record: e.record, Version: p.version}
	switch p.phase {
	case adding, adopting:
		n.Kind = Stored
		if p.phase == adopting {
			n.Kind = TakenOver
		}
		e.phase = kept
		if e.end != 0 { // canceled before it was stored
			e.phase, n.State = ending, e.end
			l.enqueue(p.id, now)
		}
	case ending:
		n.Kind, n.State = Ended, e.end
		l.drop(p.id)
		l.ended = append(l.ended, expiry{p.id, now + l.config.Retention})
	default:
		n.Kind = ProgressStored
		if e.end != 0 {
			e.phase = ending
		}
	}
	return []Event{n}
}

// HandleNoAnswer takes back a batch that got no answer: it is written again, until the store
// has said what is so.
func (l *Ledger) HandleNoAnswer(now time.Duration, b Batch) (news []Event) {
	l.takeBack(b)
	for _, p := range b.parts {
		e := l.jobs[p.id]
		if e == nil {
			continue
		}
		e.tried = true
		e.tries++
		l.again(now, p.id, e)
		if p.phase == adding && e.tries >= triesToDoubt {
			news = append(news, Event{Kind: Uncertain, Record: e.record})
		}
	}
	return news
}

// HandleNotWritten takes back a batch that the store refused to look at. New jobs that were
// never on their way are rejected.
func (l *Ledger) HandleNotWritten(now time.Duration, b Batch) (news []Event) {
	l.takeBack(b)
	for _, p := range b.parts {
		e := l.jobs[p.id]
		switch {
		case e == nil:
		case p.phase == adding && !e.tried:
			l.drop(p.id)
			news = append(news, Event{Kind: Rejected, Record: e.record})
		default:
			l.again(now, p.id, e)
		}
	}
	return news
}

func (l *Ledger) again(now time.Duration, id string, e *entry) {
	e.inFlight = false
	if e.end != 0 && e.phase == kept {
		e.phase = ending
	}
	l.enqueue(id, now)
}

// refused finds out which condition did not hold.
func (l *Ledger) refused(now time.Duration, b Batch, current []Entry) (news []Event, fenced bool) {
	l.takeBack(b)
	at := make(map[Key]Entry, len(current))
	for _, c := range current {
		at[c.Key] = c
	}
	if at[l.OwnershipKey()].Revision != l.title {
		return l.HandleFenced(), true
	}
	for _, p := range b.parts {
		e := l.jobs[p.id]
		if e == nil || !e.inFlight {
			continue
		}
		l.again(now, p.id, e)
		if p.phase == adding {
			news = append(news, l.addRefused(now, p, e, at[Key{StateEntry, p.id}])...)
			continue
		}
		news = append(news, l.changeRefused(now, p, e, at[Key{RecordEntry, p.id}])...)
	}
	return news, false
}

// addRefused: someone has stored the job; perhaps it was this daemon, by a write that got
// no answer.
func (l *Ledger) addRefused(now time.Duration, p part, e *entry, state Entry) []Event {
	if state.Revision == 0 {
		return nil
	}
	s, owner, err := DecodeState(state.Value)
	if err == nil && owner == l.config.Owner && !s.Final() && e.tried {
		e.dirty = false
		l.queue = slices.DeleteFunc(l.queue, func(q string) bool { return q == p.id })
		return l.written(now, p, e, state.Revision)
	}
	l.drop(p.id)
	return []Event{{Kind: Duplicate, Record: e.record, State: s}}
}

// changeRefused: the record is not as this daemon left it. After a write without an
// answer it may be that one; otherwise the job is somebody else's.
func (l *Ledger) changeRefused(now time.Duration, p part, e *entry, record Entry) []Event {
	if record.Revision == e.revision {
		return nil
	}
	if record.Revision > 0 && e.tried {
		if r, err := DecodeRecord(record.Value); err == nil && r.Owner == l.config.Owner {
			e.revision = record.Revision // and write again
			return nil
		}
	}
	if record.Revision == 0 && e.tried && p.phase == ending {
		return l.written(now, p, e, e.revision)
	}
	l.drop(p.id)
	return []Event{{Kind: OwnershipLost, Record: e.record}}
}

// HandleFenced empties the ledger: its jobs are others' now. New ones may still have been stored.
func (l *Ledger) HandleFenced() []Event {
	news := make([]Event, 0, len(l.jobs))
	for _, e := range l.jobs {
		kind := OwnershipLost
		if e.phase == adding {
			kind = Uncertain
		}
		news = append(news, Event{Kind: kind, Record: e.record})
	}
	l.title, l.queue = 0, nil
	clear(l.jobs)
	return news
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
