// The ledger and its write queue: which jobs are written next, and in which changes.

package ledger

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
)

const (
	// MaxRows is the maximum number of rows that the store accepts in one change.
	MaxRows = 32
	// progressDelay is how long the ledger delays a write of a job's progress to combine it with later
	// progress. The tasks of a job end within moments of each other, and each write has a cost. Until the
	// progress is stored, the completions are not acknowledged to the workers, which only makes the
	// workers' lists longer.
	progressDelay = 250 * time.Millisecond
	// noticeRemovalDelay is how long the ledger delays the removal of a handled notice to combine it with
	// others.
	noticeRemovalDelay = 3 * time.Second
)

// attemptsUntilUncertain is the number of unanswered writes of a new job after which the ledger reports
// the job as Uncertain. A single answer is lost now and then, and the answer to the next write tells
// whether the job is stored.
const attemptsUntilUncertain = 2

// Config configures a Ledger.
type Config struct {
	// Owner is the incarnation of this process, and OwnershipID the ID of its ownership record. Both are
	// required.
	Owner       uint64
	OwnershipID string
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// Now returns the wall clock time, which is stored with final states. Daemons remove expired states
	// of removed daemons by it. Default: time.Now.
	Now func() time.Time
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// Stored: the job is stored, and therefore accepted.
	Stored EventKind = iota + 1
	// Duplicate: the same job was accepted before, by this daemon or another.
	Duplicate
	// Rejected: the job is not stored and never will be.
	Rejected
	// Uncertain: the job may be stored. The ledger retries until it knows.
	Uncertain
	// TakenOver: this daemon has become the owner of the job.
	TakenOver
	// ProgressStored: the job's progress up to Version is stored.
	ProgressStored
	// Ended: the final state is stored.
	Ended
	// OwnershipLost: another daemon owns the job, or has canceled it.
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

// Event reports a change of a job in the store.
type Event struct {
	Kind   EventKind
	Record Record
	// Version is the version of the stored progress.
	Version uint64
	// Revision is the store's revision at which a stored job, or one that was taken over, came to be owned
	// by this daemon.
	Revision int64
	// State is the final state of an ended job, or of a job that ended before it was stored. In a
	// Duplicate it is the stored state of the job.
	State State
}

// phase is the position of a job in its life cycle in the store.
type phase uint8

const (
	// adding: a new job is not stored yet.
	adding phase = iota
	// takingOver: the record still names the previous owner.
	takingOver
	// accepted: the job is stored and this daemon owns it.
	accepted
	// ending: the final state is to be stored, and the record to be removed.
	ending
)

// trackedJob is a job of this daemon with its writes.
type trackedJob struct {
	record Record
	// revision is the revision of the stored record.
	revision int64
	// stateRevision is the revision of the stored state; 0: not known.
	stateRevision int64
	phase         phase
	// finalState is the final state to be written; 0 if there is none.
	finalState State
	// progressVersion is the version of the progress in record.
	progressVersion uint64
	// nextWriteAt is the earliest time of the next write; it is set while queued is.
	nextWriteAt time.Duration
	// queued: the job is in the write queue.
	queued bool
	// inFlight: a batch with the job has been returned and its result is not known yet.
	inFlight bool
	// unanswered: a write since the last successful one got no answer, and may have been applied.
	// unansweredWrites counts all unanswered writes of the job.
	unanswered       bool
	unansweredWrites int
}

// Ledger tracks the durable jobs that one daemon owns. It is not safe for concurrent use.
type Ledger struct {
	config Config
	// ownershipRevision is the revision of this daemon's ownership record; 0 if it has none.
	ownershipRevision int64
	jobs              map[string]*trackedJob
	// writeQueue lists the IDs of the jobs that have something to write.
	writeQueue []string
	// expiries lists the states of ended jobs to be removed, and handledNotices the notices, the earliest
	// expiry first.
	expiries, handledNotices []expiry
}

// expiry is the time at which an entry is to be removed.
type expiry struct {
	key Key
	at  time.Duration
}

// New returns an empty ledger.
func New(c Config) *Ledger {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Ledger{config: c, jobs: make(map[string]*trackedJob)}
}

// OwnershipKey returns the key of this daemon's ownership record.
func (l *Ledger) OwnershipKey() Key { return Key{OwnershipEntry, l.config.OwnershipID} }

// SetOwnershipRevision records the revision at which the ownership record was written. Before it is set,
// the ledger writes nothing.
func (l *Ledger) SetOwnershipRevision(revision int64) { l.ownershipRevision = revision }

// OwnershipRevision returns the revision of the ownership record, or 0 if there is none.
func (l *Ledger) OwnershipRevision() int64 { return l.ownershipRevision }

// Len returns the number of jobs that have not ended.
func (l *Ledger) Len() int { return len(l.jobs) }

// Has reports whether the ledger has the job and the job has not ended.
func (l *Ledger) Has(id string) bool { return l.jobs[id] != nil }

// Route returns the queue of a job that has not ended, or "" for an unknown job.
func (l *Ledger) Route(id string) string {
	if j := l.jobs[id]; j != nil {
		return j.record.Route
	}
	return ""
}

// Accepted reports whether the job is stored and no final state has been set for it.
func (l *Ledger) Accepted(id string) bool {
	j := l.jobs[id]
	return j != nil && j.phase == accepted
}

// Started reports whether a task of a job that has not ended is known to have started: its progress is
// stored, or is about to be.
func (l *Ledger) Started(id string) bool {
	j := l.jobs[id]
	return j != nil && len(j.record.Progress) > 0
}

// Owned returns the IDs of the jobs that this daemon owns and that have not ended, in order.
func (l *Ledger) Owned() (ids []string) {
	for id, j := range l.jobs {
		if j.phase == accepted {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Waiting counts the accepted jobs that have not started, by queue. A job that this daemon is taking over
// counts, too.
func (l *Ledger) Waiting() map[string]uint32 {
	return l.countWaiting(func(p phase) bool { return p != adding })
}

// WaitingOwned is the same without the jobs that this daemon is taking over: it does not own them yet.
func (l *Ledger) WaitingOwned() map[string]uint32 {
	return l.countWaiting(func(p phase) bool { return p != adding && p != takingOver })
}

func (l *Ledger) countWaiting(counts func(phase) bool) map[string]uint32 {
	waiting := make(map[string]uint32)
	for _, j := range l.jobs {
		if counts(j.phase) && j.finalState == 0 && len(j.record.Progress) == 0 {
			waiting[j.record.Route]++
		}
	}
	return waiting
}

// Add adds a new job and schedules the write that stores it.
func (l *Ledger) Add(now time.Duration, r Record) {
	r.Owner = l.config.Owner
	l.jobs[r.Job.ID] = &trackedJob{record: r, phase: adding}
	l.scheduleWrite(r.Job.ID, now)
}

// TakeOver takes over a job of another owner. The job's record is at the given revision.
func (l *Ledger) TakeOver(now time.Duration, r Record, revision int64) {
	if l.Has(r.Job.ID) {
		return
	}
	r.Owner = l.config.Owner
	l.jobs[r.Job.ID] = &trackedJob{record: r, phase: takingOver, revision: revision}
	l.scheduleWrite(r.Job.ID, now)
}

// UpdateProgress records the progress of a job's tasks. The version increases with each change.
func (l *Ledger) UpdateProgress(now time.Duration, id string, version uint64, progress []coordinator.Progress) {
	j := l.jobs[id]
	if j == nil || j.finalState != 0 {
		return
	}
	j.record.Progress, j.progressVersion = progress, version
	l.scheduleWrite(id, now+progressDelay)
}

// SetFinalState records the final state of a job. Later calls for the job have no effect.
func (l *Ledger) SetFinalState(now time.Duration, id string, s State) {
	j := l.jobs[id]
	if j == nil || j.finalState != 0 {
		return
	}
	j.finalState = s
	if j.phase == accepted {
		j.phase = ending
	}
	l.scheduleWrite(id, now)
}

// Flush makes all writes due that wait to be combined with others.
func (l *Ledger) Flush(now time.Duration) {
	for _, id := range l.writeQueue {
		if j := l.jobs[id]; j != nil {
			j.nextWriteAt = min(j.nextWriteAt, now)
		}
	}
}

// Flushed reports whether no write of a job waits or is in flight.
func (l *Ledger) Flushed() bool {
	for _, j := range l.jobs {
		if j.queued || j.inFlight {
			return false
		}
	}
	return true
}

// scheduleWrite queues a write of the job, or moves a queued write to an earlier time.
func (l *Ledger) scheduleWrite(id string, at time.Duration) {
	j := l.jobs[id]
	if !j.queued {
		j.queued, j.nextWriteAt = true, at
		l.writeQueue = append(l.writeQueue, id)
	}
	j.nextWriteAt = min(j.nextWriteAt, at)
}

// jobWrite is the write of one job in a batch.
type jobWrite struct {
	id              string
	phase           phase
	progressVersion uint64
}

// Batch is a change to write, with the jobs that it concerns.
type Batch struct {
	Change Change
	writes []jobWrite
	// expired lists the expired entries that the batch removes.
	expired []expiry
}

// OwnershipRevision is the revision of the ownership record that the batch requires.
func (b Batch) OwnershipRevision() int64 { return b.Change.Require[0].Revision }

// NextBatch returns the next batch to write, or false if there is nothing to write now.
func (l *Ledger) NextBatch(now time.Duration) (Batch, bool) {
	var b Batch
	if l.ownershipRevision == 0 {
		return b, false
	}
	b.Change.Require = []Entry{{Key: l.OwnershipKey(), Revision: l.ownershipRevision}}
	remaining := l.writeQueue[:0]
	for _, id := range l.writeQueue {
		j := l.jobs[id]
		if j == nil {
			continue
		}
		if j.inFlight || now < j.nextWriteAt || !l.addWrite(&b, id, j) {
			remaining = append(remaining, id)
		}
	}
	clear(l.writeQueue[len(remaining):])
	l.writeQueue = remaining
	l.addExpired(now, &b)
	return b, len(b.writes)+len(b.expired) > 0
}

// addWrite adds a job's write to a batch. It returns false if the batch has no space for it.
func (l *Ledger) addWrite(b *Batch, id string, j *trackedJob) bool {
	record, state := Key{RecordEntry, id}, Key{StateEntry, id}
	var c Change
	switch j.phase {
	case adding:
		c.Require = []Entry{{Key: state}}
		c.Set = []Entry{{Key: record, Value: j.record.Encode()}, {Key: state, Value: EncodeState(Queued, l.config.Owner, time.Time{})}}
	case ending:
		c.Require = []Entry{{Key: record, Revision: j.revision}}
		if j.unanswered { // if the record is gone, the state shows which write removed it
			c.Require = append(c.Require, Entry{Key: state, Revision: j.stateRevision})
		}
		c.Remove = []Key{record}
		c.Set = []Entry{{Key: state, Value: EncodeState(j.finalState, l.config.Owner, l.config.Now())}}
	default:
		c.Require = []Entry{{Key: record, Revision: j.revision}}
		c.Set = []Entry{{Key: record, Value: j.record.Encode()}}
	}
	if b.Change.Size()+c.Size() > MaxRows {
		return false
	}
	b.Change.Require = append(b.Change.Require, c.Require...)
	b.Change.Set = append(b.Change.Set, c.Set...)
	b.Change.Remove = append(b.Change.Remove, c.Remove...)
	b.writes = append(b.writes, jobWrite{id, j.phase, j.progressVersion})
	j.inFlight, j.queued = true, false
	return true
}

// addExpired adds removals of expired entries to a batch that contains no writes of jobs. The embedder
// writes several batches concurrently, so a removal belongs to this batch alone until the batch fails.
func (l *Ledger) addExpired(now time.Duration, b *Batch) {
	if len(b.writes) > 0 {
		return
	}
	l.handledNotices = b.addRemovals(now, l.handledNotices)
	l.expiries = b.addRemovals(now, l.expiries)
}

// addRemovals adds the removals that are due, as far as there is space, and returns the others.
func (b *Batch) addRemovals(now time.Duration, list []expiry) (rest []expiry) {
	for len(list) > 0 && list[0].at <= now && b.Change.Size() < MaxRows {
		b.Change.Remove = append(b.Change.Remove, list[0].key)
		b.expired = append(b.expired, list[0])
		list = list[1:]
	}
	return list
}

// remove removes a job from the ledger, but not from the store.
func (l *Ledger) remove(id string) {
	delete(l.jobs, id)
	l.writeQueue = slices.DeleteFunc(l.writeQueue, func(q string) bool { return q == id })
}
