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
const attemptsUntilUncertain = 2

// Config holds what a Ledger is told.
type Config struct {
	// Owner is this process's incarnation; OwnershipID is the name of its title. Required.
	Owner       uint64
	OwnershipID string
	// Retention is how long the state of an ended job stays.
	Retention time.Duration
	// Now is the time of day, by which states of daemons that are gone are removed.
	// Default time.Now.
	Now func() time.Time
}

// EventKind is what became of a job in the store.
type EventKind uint8

// Kinds of news.
const (
	// Stored: the job is accepted.
	Stored EventKind = iota + 1
	// Duplicate: the job was accepted before, here or elsewhere.
	Duplicate
	// Rejected: the job is not stored and never will be.
	Rejected
	// Uncertain: the job may be stored; the ledger tries on until it knows.
	Uncertain
	// TakenOver: the job is this daemon's from now on.
	TakenOver
	// ProgressStored: progress up to Version is stored.
	ProgressStored
	// Ended: the final state is stored.
	Ended
	// OwnershipLost: the job is another daemon's, or was canceled by one.
	OwnershipLost
)

// String returns the kind's name in logs and counters.
func (k EventKind) String() string {
	names := [...]string{"none", "stored", "duplicate", "rejected", "doubtful", "adopted", "persisted", "ended", "lost"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// Event tells what became of a job.
type Event struct {
	Kind   EventKind
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
	takingOver
	accepted
	ending
)

type trackedJob struct {
	record   Record
	revision int64
	phase    phase
	// end is the final state to be written; 0 while there is none.
	finalState     State
	version uint64
	// dueAt is when the write may go; 0: nothing to write.
	dueAt    time.Duration
	dirty    bool
	inFlight bool
	// tried: a write of the present phase got no answer; tries counts them.
	unanswered bool
	unansweredWrites int
}

// Ledger is one daemon's part of the store. It is not safe for concurrent use.
type Ledger struct {
	config Config
	ownershipRevision  int64
	jobs   map[string]*trackedJob
	writeQueue  []string
	expiries  []expiry
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
	return &Ledger{config: c, jobs: make(map[string]*trackedJob)}
}

// OwnershipKey returns the key of this process's title.
func (l *Ledger) OwnershipKey() Key { return Key{OwnershipEntry, l.config.OwnershipID} }

// SetOwnershipRevision tells that the title was written. Before that nothing is.
func (l *Ledger) SetOwnershipRevision(revision int64) { l.ownershipRevision = revision }

// OwnershipRevision returns the revision of the title; 0: there is none.
func (l *Ledger) OwnershipRevision() int64 { return l.ownershipRevision }

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
	return e != nil && e.phase == accepted
}

// Add takes a new job.
func (l *Ledger) Add(now time.Duration, r Record) {
	r.Owner = l.config.Owner
	l.jobs[r.Job.ID] = &trackedJob{record: r, phase: adding}
	l.scheduleWrite(r.Job.ID, now)
}

// TakeOver takes over a job of another owner, whose record is at the given revision.
func (l *Ledger) TakeOver(now time.Duration, r Record, revision int64) {
	if l.Has(r.Job.ID) {
		return
	}
	r.Owner = l.config.Owner
	l.jobs[r.Job.ID] = &trackedJob{record: r, phase: takingOver, revision: revision}
	l.scheduleWrite(r.Job.ID, now)
}

// UpdateProgress notes the progress of a job. Version grows with each change.
func (l *Ledger) UpdateProgress(now time.Duration, id string, version uint64, tasks []coordinator.Progress) {
	e := l.jobs[id]
	if e == nil || e.finalState != 0 {
		return
	}
	e.record.Progress, e.version = tasks, version
	l.scheduleWrite(id, now+progressDelay)
}

// SetFinalState notes the end of a job.
func (l *Ledger) SetFinalState(now time.Duration, id string, s State) {
	e := l.jobs[id]
	if e == nil || e.finalState != 0 {
		return
	}
	e.finalState = s
	if e.phase == accepted {
		e.phase = ending
	}
	l.scheduleWrite(id, now)
}

func (l *Ledger) scheduleWrite(id string, at time.Duration) {
	e := l.jobs[id]
	if !e.dirty {
		e.dirty, e.dueAt = true, at
		l.writeQueue = append(l.writeQueue, id)
	}
	e.dueAt = min(e.dueAt, at)
}

// partKind is what a batch does for one job.
type jobWrite struct {
	id      string
	phase   phase
	version uint64
}

// Batch is a change with what it stands for.
type Batch struct {
	Change Change
	writes  []jobWrite
	// expired lists the states that the batch removes.
	expired []expiry
}

// NextBatch returns the next batch to write; false when there is none now.
func (l *Ledger) NextBatch(now time.Duration) (Batch, bool) {
	var b Batch
	if l.ownershipRevision == 0 {
		return b, false
	}
	b.Change.Require = []Entry{{Key: l.OwnershipKey(), Revision: l.ownershipRevision}}
	remaining := l.writeQueue[:0]
	for _, id := range l.writeQueue {
		e := l.jobs[id]
		if e == nil {
			continue
		}
		if e.inFlight || now < e.dueAt || !l.addWrite(&b, id, e) {
			remaining = append(remaining, id)
		}
	}
	clear(l.writeQueue[len(remaining):])
	l.writeQueue = remaining
	l.addExpired(now, &b)
	return b, len(b.writes)+len(b.expired) > 0
}

// put adds a job's write to a batch, if it fits.
func (l *Ledger) addWrite(b *Batch, id string, e *trackedJob) bool {
	record, state := Key{RecordEntry, id}, Key{StateEntry, id}
	var c Change
	switch e.phase {
	case adding:
		c.Require = []Entry{{Key: state}}
		c.Set = []Entry{{Key: record, Value: e.record.Encode()}, {Key: state, Value: EncodeState(Queued, l.config.Owner, time.Time{})}}
	case ending:
		c.Require = []Entry{{Key: record, Revision: e.revision}}
		c.Remove = []Key{record}
		c.Set = []Entry{{Key: state, Value: EncodeState(e.finalState, l.config.Owner, l.config.Now())}}
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
	b.writes = append(b.writes, jobWrite{id, e.phase, e.version})
	e.inFlight, e.dirty = true, false
	return true
}

// expire adds the removal of old states where nothing else is to be written with them. They
// are the batch's until it fails: batches are written side by side.
func (l *Ledger) addExpired(now time.Duration, b *Batch) {
	for len(l.expiries) > 0 {
		x := l.expiries[0]
		if len(b.writes) > 0 || x.at > now || b.Change.Size() >= MaxRows {
			return
		}
		b.Change.Remove = append(b.Change.Remove, Key{StateEntry, x.id})
		b.expired = append(b.expired, x)
		l.expiries = l.expiries[1:]
	}
}

func (l *Ledger) remove(id string) {
	delete(l.jobs, id)
	l.writeQueue = slices.DeleteFunc(l.writeQueue, func(q string) bool { return q == id })
}
