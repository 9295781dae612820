package ledger

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
)

const (
	// MaxRows is how many rows the store takes in one change.
	MaxRows = 32
	// progressDelay is how long progress waits for more of the same job: its tasks end
	// within moments of each other, and each write is paid for. Until it is stored, the
	// workers' ends are not acknowledged, which costs nothing but a longer list.
	progressDelay = 250 * time.Millisecond
)

// triesToDoubt is how many writes of a new job without an answer make it doubtful: one is
// lost now and then, and the next one tells what became of it.
const triesToDoubt = 2

// Config holds what a Ledger is told.
type Config struct {
	// Owner is this process's incarnation; Title is the name of its title. Required.
	Owner uint64
	Title string
	// Retention is how long the state of an ended job stays.
	Retention time.Duration
	// Now is the time of day, by which states of daemons that are gone are removed.
	// Default time.Now.
	Now func() time.Time
}

// NewsKind is what became of a job in the store.
type NewsKind uint8

// Kinds of news.
const (
	// Stored: the job is accepted.
	Stored NewsKind = iota + 1
	// Duplicate: the job was accepted before, here or elsewhere.
	Duplicate
	// Rejected: the job is not stored and never will be.
	Rejected
	// Doubtful: the job may be stored; the ledger tries on until it knows.
	Doubtful
	// Adopted: the job is this daemon's from now on.
	Adopted
	// Persisted: progress up to Version is stored.
	Persisted
	// Ended: the final state is stored.
	Ended
	// Lost: the job is another daemon's, or was canceled by one.
	Lost
)

// String returns the kind's name in logs and counters.
func (k NewsKind) String() string {
	names := [...]string{"none", "stored", "duplicate", "rejected", "doubtful", "adopted", "persisted", "ended", "lost"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// News tells what became of a job.
type News struct {
	Kind   NewsKind
	Record Record
	// Version is that of the stored progress.
	Version uint64
	// State is the final state of an ended job, also of one that ended on its way here.
	State State
}

// phase is where a job is on its way into and out of the store.
type phase uint8

const (
	adding phase = iota
	adopting
	kept
	ending
)

type entry struct {
	record   Record
	revision int64
	phase    phase
	// end is the final state to be written; 0 while there is none.
	end     State
	version uint64
	// dueAt is when the write may go; 0: nothing to write.
	dueAt    time.Duration
	dirty    bool
	inFlight bool
	// tried: a write of the present phase got no answer; tries counts them.
	tried bool
	tries int
}

// Ledger is one daemon's part of the store. It is not safe for concurrent use.
type Ledger struct {
	config Config
	title  int64
	jobs   map[string]*entry
	queue  []string
	ended  []expiry
}

// expiry is a state to be removed.
type expiry struct {
	id string
	at time.Duration
}

// New returns an empty ledger.
func New(c Config) *Ledger {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Ledger{config: c, jobs: make(map[string]*entry)}
}

// Title returns the key of this process's title.
func (l *Ledger) Title() Key { return Key{TitleEntry, l.config.Title} }

// Titled tells that the title was written. Before that nothing is.
func (l *Ledger) Titled(revision int64) { l.title = revision }

// TitleRevision returns the revision of the title; 0: there is none.
func (l *Ledger) TitleRevision() int64 { return l.title }

// Len returns the number of jobs that have not ended.
func (l *Ledger) Len() int { return len(l.jobs) }

// Has reports whether the job is here and has not ended.
func (l *Ledger) Has(id string) bool { return l.jobs[id] != nil }

// Route returns the queue of a job that has not ended.
func (l *Ledger) Route(id string) string {
	if e := l.jobs[id]; e != nil {
		return e.record.Route
	}
	return ""
}

// Accepted reports whether the job is stored and has no end yet.
func (l *Ledger) Accepted(id string) bool {
	e := l.jobs[id]
	return e != nil && e.phase == kept
}

// Add takes a new job.
func (l *Ledger) Add(now time.Duration, r Record) {
	r.Owner = l.config.Owner
	l.jobs[r.Job.ID] = &entry{record: r, phase: adding}
	l.enqueue(r.Job.ID, now)
}

// Adopt takes over a job of another owner, whose record is at the given revision.
func (l *Ledger) Adopt(now time.Duration, r Record, revision int64) {
	if l.Has(r.Job.ID) {
		return
	}
	r.Owner = l.config.Owner
	l.jobs[r.Job.ID] = &entry{record: r, phase: adopting, revision: revision}
	l.enqueue(r.Job.ID, now)
}

// Progress notes the progress of a job. Version grows with each change.
func (l *Ledger) Progress(now time.Duration, id string, version uint64, tasks []coordinator.Progress) {
	e := l.jobs[id]
	if e == nil || e.end != 0 {
		return
	}
	e.record.Tasks, e.version = tasks, version
	l.enqueue(id, now+progressDelay)
}

// End notes the end of a job.
func (l *Ledger) End(now time.Duration, id string, s State) {
	e := l.jobs[id]
	if e == nil || e.end != 0 {
		return
	}
	e.end = s
	if e.phase == kept {
		e.phase = ending
	}
	l.enqueue(id, now)
}

func (l *Ledger) enqueue(id string, at time.Duration) {
	e := l.jobs[id]
	if !e.dirty {
		e.dirty, e.dueAt = true, at
		l.queue = append(l.queue, id)
	}
	e.dueAt = min(e.dueAt, at)
}

// partKind is what a batch does for one job.
type part struct {
	id      string
	phase   phase
	version uint64
}

// Batch is a change with what it stands for.
type Batch struct {
	Change Change
	parts  []part
	// expired lists the states that the batch removes.
	expired []expiry
}

// Next returns the next batch to write; false when there is none now.
func (l *Ledger) Next(now time.Duration) (Batch, bool) {
	var b Batch
	if l.title == 0 {
		return b, false
	}
	b.Change.Require = []Entry{{Key: l.Title(), Revision: l.title}}
	rest := l.queue[:0]
	for _, id := range l.queue {
		e := l.jobs[id]
		if e == nil {
			continue
		}
		if e.inFlight || now < e.dueAt || !l.put(&b, id, e) {
			rest = append(rest, id)
		}
	}
	clear(l.queue[len(rest):])
	l.queue = rest
	l.expire(now, &b)
	return b, len(b.parts)+len(b.expired) > 0
}

// put adds a job's write to a batch, if it fits.
func (l *Ledger) put(b *Batch, id string, e *entry) bool {
	record, state := Key{RecordEntry, id}, Key{StateEntry, id}
	var c Change
	switch e.phase {
	case adding:
		c.Require = []Entry{{Key: state}}
		c.Set = []Entry{{Key: record, Value: e.record.Encode()}, {Key: state, Value: EncodeState(Queued, l.config.Owner, time.Time{})}}
	case ending:
		c.Require = []Entry{{Key: record, Revision: e.revision}}
		c.Remove = []Key{record}
		c.Set = []Entry{{Key: state, Value: EncodeState(e.end, l.config.Owner, l.config.Now())}}
	default:
		c.Require = []Entry{{Key: record, Revision: e.revision}}
		c.Set = []Entry{{Key: record, Value: e.record.Encode()}}
	}
	if b.Change.Size()+c.Size() > MaxRows {
		return false
	}
	b.Change.Require = append(b.Change.Require, c.Require...)
	b.Change.Set = append(b.Change.Set, c.Set...)
	b.Change.Remove = append(b.Change.Remove, c.Remove...)
	b.parts = append(b.parts, part{id, e.phase, e.version})
	e.inFlight, e.dirty = true, false
	return true
}

// expire adds the removal of old states where nothing else is to be written with them. They
// are the batch's until it fails: batches are written side by side.
func (l *Ledger) expire(now time.Duration, b *Batch) {
	for len(l.ended) > 0 {
		x := l.ended[0]
		if len(b.parts) > 0 || x.at > now || b.Change.Size() >= MaxRows {
			return
		}
		b.Change.Remove = append(b.Change.Remove, Key{StateEntry, x.id})
		b.expired = append(b.expired, x)
		l.ended = l.ended[1:]
	}
}

// takeBack keeps the states of a failed batch for a later one.
func (l *Ledger) takeBack(b Batch) { l.ended = append(slices.Clone(b.expired), l.ended...) }

// Written takes the store's answer to a batch. fenced tells that the title is gone: the
// jobs are others' from now on, and the ledger is empty.
func (l *Ledger) Written(now time.Duration, b Batch, r Result) (news []News, fenced bool) {
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

func (l *Ledger) written(now time.Duration, p part, e *entry, revision int64) []News {
	e.inFlight, e.tried, e.revision = false, false, revision
	n := News{Record: e.record, Version: p.version}
	switch p.phase {
	case adding, adopting:
		n.Kind = Stored
		if p.phase == adopting {
			n.Kind = Adopted
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
		n.Kind = Persisted
		if e.end != 0 {
			e.phase = ending
		}
	}
	return []News{n}
}

func (l *Ledger) drop(id string) {
	delete(l.jobs, id)
	l.queue = slices.DeleteFunc(l.queue, func(q string) bool { return q == id })
}

// Unanswered takes back a batch that got no answer: it is written again, until the store
// has said what is so.
func (l *Ledger) Unanswered(now time.Duration, b Batch) (news []News) {
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
			news = append(news, News{Kind: Doubtful, Record: e.record})
		}
	}
	return news
}

// NotDone takes back a batch that the store refused to look at. New jobs that were
// never on their way are rejected.
func (l *Ledger) NotDone(now time.Duration, b Batch) (news []News) {
	l.takeBack(b)
	for _, p := range b.parts {
		e := l.jobs[p.id]
		switch {
		case e == nil:
		case p.phase == adding && !e.tried:
			l.drop(p.id)
			news = append(news, News{Kind: Rejected, Record: e.record})
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
func (l *Ledger) refused(now time.Duration, b Batch, current []Entry) (news []News, fenced bool) {
	l.takeBack(b)
	at := make(map[Key]Entry, len(current))
	for _, c := range current {
		at[c.Key] = c
	}
	if at[l.Title()].Revision != l.title {
		return l.Fenced(), true
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
func (l *Ledger) addRefused(now time.Duration, p part, e *entry, state Entry) []News {
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
	return []News{{Kind: Duplicate, Record: e.record, State: s}}
}

// changeRefused: the record is not as this daemon left it. After a write without an
// answer it may be that one; otherwise the job is somebody else's.
func (l *Ledger) changeRefused(now time.Duration, p part, e *entry, record Entry) []News {
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
	return []News{{Kind: Lost, Record: e.record}}
}

// Fenced empties the ledger: its jobs are others' now. New ones may still have been stored.
func (l *Ledger) Fenced() []News {
	news := make([]News, 0, len(l.jobs))
	for _, e := range l.jobs {
		kind := Lost
		if e.phase == adding {
			kind = Doubtful
		}
		news = append(news, News{Kind: kind, Record: e.record})
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
