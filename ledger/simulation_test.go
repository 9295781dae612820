// A simulation of several daemons and a faulty store with random actions.

package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/coordinator"
)

// The store loses answers, applies writes late and refuses some, and the ownership records of daemons
// that still write are removed. Each job reported as accepted must have either a record or a final
// state, and a final state must not change. An owner that has read its notices has no canceled job.
func TestSimulatedFaults(t *testing.T) {
	seeds := []uint64{2209} // a resent job was taken for an unanswered one of before the ownership record
	for seed := range uint64(200) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		r := rand.New(rand.NewPCG(seed, 1))
		s := &simulation{t: t, seed: seed, rand: r, store: newMemoryStore(), accepted: make(map[string]bool), ended: make(map[string]State)}
		for owner := range uint64(3) {
			s.ledgers = append(s.ledgers, newTestLedger(s.store, owner+1))
		}
		for range 400 {
			s.now += 20 * time.Millisecond
			s.step()
			s.checkInvariants()
		}
	}
}

// simulation runs three daemons against one store with random faults.
type simulation struct {
	t       *testing.T
	seed    uint64
	rand    *rand.Rand
	store   *memoryStore
	now     time.Duration
	ledgers []*Ledger
	// delayed holds unanswered changes that the store may apply later.
	delayed []Change
	// jobs is the number of jobs added. Their IDs are the numbers up to it.
	jobs     int
	accepted map[string]bool
	ended    map[string]State
}

// step does one random action at a random daemon.
func (s *simulation) step() {
	l := s.ledgers[s.rand.IntN(len(s.ledgers))]
	switch s.rand.IntN(10) {
	case 0:
		s.jobs++
		l.Add(s.now, record(fmt.Sprint(s.jobs)))
	case 1: // another daemon receives the same job
		if id := fmt.Sprint(s.jobs); !l.Has(id) && s.jobs > 0 {
			l.Add(s.now, record(id))
		}
	case 2:
		if id := s.randomJob(l); id != "" {
			l.UpdateProgress(s.now, id, uint64(s.now), make([]coordinator.Progress, 3))
		}
	case 3:
		if id := s.randomJob(l); id != "" {
			l.SetFinalState(s.now, id, Completed)
		}
	case 4:
		s.takeOver()
	case 5:
		if n := len(s.delayed); n > 0 {
			s.store.write(s.delayed[s.rand.IntN(n)])
		}
	case 6:
		s.cancel()
	case 7:
		s.readNotices(l)
	default:
		s.write(l)
	}
}

// cancel cancels a random job at a daemon that does not own it; the store's answer may be lost or the
// change be applied later.
func (s *simulation) cancel() {
	if s.jobs == 0 {
		return
	}
	record, ok := s.store.entries[Key{RecordEntry, fmt.Sprint(1 + s.rand.IntN(s.jobs))}]
	if !ok {
		return
	}
	c := Cancellation(record, time.Unix(5, 0))
	if s.rand.IntN(3) == 0 {
		s.delayed = append(s.delayed, c)
		return
	}
	s.store.write(c)
}

// readNotices passes the notices in the store to their owner.
func (s *simulation) readNotices(l *Ledger) {
	for _, job := range s.store.notices(l.config.Owner) {
		event := l.HandleCancellation(job)
		s.ended[job] = event.State
		l.RemoveNotice(s.now, job)
	}
}

// randomJob returns an accepted job of the ledger, or "" if it selects none.
func (s *simulation) randomJob(l *Ledger) string {
	for id := range s.jobs {
		if l.Accepted(fmt.Sprint(id)) && s.rand.IntN(3) == 0 {
			return fmt.Sprint(id)
		}
	}
	return ""
}

// takeOver removes the ownership record of a daemon, and another daemon takes over its jobs.
func (s *simulation) takeOver() {
	if s.rand.IntN(4) > 0 {
		return
	}
	fenced, successor := s.ledgers[0], s.ledgers[1]
	s.store.write(OwnershipRemoval(s.store.entries[fenced.OwnershipKey()]))
	for k, e := range s.store.entries {
		if r, err := DecodeRecord(e.Value); k.Kind == RecordEntry && err == nil && r.Owner == fenced.config.Owner {
			successor.TakeOver(s.now, r, e.Revision)
		}
	}
	s.ledgers[0], s.ledgers[1], s.ledgers[2] = successor, s.ledgers[2], fenced
}

// write writes the daemon's next batch with a random fault.
func (s *simulation) write(l *Ledger) {
	if l.OwnershipRevision() == 0 { // a daemon that has lost its ownership record writes a new one
		r := s.store.write(Change{Require: []Entry{{Key: l.OwnershipKey()}}, Set: []Entry{{Key: l.OwnershipKey(), Value: EncodeOwnership(process(1), "d")}}})
		l.SetOwnershipRevision(r.Revision)
		return
	}
	b, ok := l.NextBatch(s.now)
	if !ok {
		return
	}
	switch s.rand.IntN(6) {
	case 0: // the store applies the change, but its answer is lost
		s.store.write(b.Change)
		l.HandleNoAnswer(s.now, b)
	case 1: // the store applies the change later, or never
		s.delayed = append(s.delayed, b.Change)
		l.HandleNoAnswer(s.now, b)
	case 2:
		l.HandleNotWritten(s.now, b)
	default:
		events, _ := l.HandleResult(s.now, b, s.store.write(b.Change))
		for _, event := range events {
			id := event.Record.Job.ID
			switch event.Kind {
			case Stored, Duplicate:
				s.accepted[id] = true
			case Ended:
				s.ended[id] = event.State
			}
		}
	}
}

// checkInvariants checks the store against the events reported so far.
func (s *simulation) checkInvariants() {
	for id := range s.accepted {
		_, open := s.store.entries[Key{RecordEntry, id}]
		state := s.store.state(id)
		if state == 0 || open == state.Final() {
			s.t.Fatalf("seed %d: accepted job %s: record %t, state %s", s.seed, id, open, state)
		}
	}
	for _, l := range s.ledgers {
		s.checkCanceled(l)
	}
	for id, end := range s.ended {
		assert.Equal(s.t, s.store.state(id), end, "seed %d: job %s", s.seed, id)
	}
}

// checkCanceled checks that each canceled job that a daemon still holds as accepted has a notice to it. A
// daemon that has lost its ownership record learns of that first.
func (s *simulation) checkCanceled(l *Ledger) {
	if r := l.OwnershipRevision(); r == 0 || s.store.entries[l.OwnershipKey()].Revision != r {
		return
	}
	for id := range l.jobs {
		if l.Accepted(id) && s.store.state(id) == Canceled {
			assert.Assert(s.t, slices.Contains(s.store.notices(l.config.Owner), id), "seed %d: the owner of the canceled job %s has no notice", s.seed, id)
		}
	}
}
