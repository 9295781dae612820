package sched

import (
	"math"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/slot"
)

// LendRequest is a peer's wish for slots and for longer terms.
type LendRequest struct {
	Borrower slot.Borrower
	Slots    int
	Term     time.Duration
	Needs    Resources
	Extend   []slot.LoanID
}

// Lend answers a peer's request received at now. An entry with waiting tasks of its
// own lends nothing and recalls the loans that are to be extended: the slots on which
// the borrower's tasks still run are busy whatever the ledger says, and would refuse
// the lender's own.
func (s *Scheduler) Lend(now time.Duration, r LendRequest) LendReply {
	s.fireTimers(now)
	s.expireLent(now)
	var reply LendReply
	if s.config.Policy != Shares || s.startsPaused {
		return reply
	}
	starved := s.starved()
	term := min(r.Term, s.config.MaxLoanTerm)
	for _, id := range r.Extend {
		if s.ledger.Extend(now, r.Borrower, id, term) {
			reply.Extended = append(reply.Extended, id)
		}
	}
	if starved {
		reply.Recalled = reply.Extended
		s.recordUnmetRequest(r, 0)
		return reply
	}
	if slots := s.takeFreeSlots(now, min(r.Slots, s.lendable()), r.Needs); len(slots) > 0 {
		reply.Slots = slots
		reply.ID = s.ledger.Lend(now, r.Borrower, slots, term)
	}
	reply.Free = s.lendable()
	lent := 0
	for _, w := range reply.Slots {
		lent += w.Slots
	}
	s.recordUnmetRequest(r, lent)
	return reply
}

// remember notes that a peer got less than it asked for.
func (s *Scheduler) recordUnmetRequest(r LendRequest, lent int) {
	for _, p := range s.peers {
		if p.Address == r.Borrower.Address && p.Incarnation == r.Borrower.Incarnation {
			p.needsSlots = lent < r.Slots
		}
	}
}

// hint tells peers that lack slots, no more of them than there are slots, that some
// are free. Without it they would learn it from the next heartbeat, a task's length
// later.
func (s *Scheduler) sendHints() {
	free := 0
	for i := range s.peers {
		// The turn goes round, so that no peer is always told first.
		p := s.peers[(s.hintTurn+i)%len(s.peers)]
		if !p.needsSlots {
			continue
		}
		if free == 0 {
			if free = s.lendable(); free == 0 {
				return
			}
		}
		p.needsSlots = false
		s.ready.Hints = append(s.ready.Hints, FreeSlotsHint{Peer: p.Peer})
		if free--; free == 0 {
			s.hintTurn += i + 1
			return
		}
	}
}

// wanted returns how many slots the waiting tasks lack.
func (s *Scheduler) missingSlots() int {
	n := 0
	for _, k := range s.kindList {
		n += max(k.startable()-k.requested, 0)
	}
	return n
}

// starved tells whether tasks wait for slots of this entry's failure domain.
func (s *Scheduler) starved() bool {
	if s.waiting == 0 {
		return false
	}
	return slices.ContainsFunc(s.kindList, func(k *kind) bool {
		return k.startable() > 0 && allows(k.domains, s.config.Domain)
	})
}

// collect takes free slots out of the shares, where most are free first.
func (s *Scheduler) takeFreeSlots(now time.Duration, n int, needs Resources) []slot.WorkerSlots {
	var slots []slot.WorkerSlots
	at := make(map[*worker]int)
	for range n {
		g := s.index[ownClass].best(now, needs, nil, 0)
		if g == nil {
			break
		}
		g.lent++
		s.reindexGrant(g)
		i, ok := at[g.worker]
		if !ok {
			i = len(slots)
			at[g.worker] = i
			slots = append(slots, slot.WorkerSlots{Worker: g.worker.Address})
		}
		slots[i].Slots++
	}
	return slots
}

// lendable returns how many slots this entry could lend now.
func (s *Scheduler) lendable() int {
	if s.config.Policy != Shares || s.startsPaused || s.starved() {
		return 0
	}
	reserve := int(math.Ceil(s.config.LendReserveFraction * float64(s.capacities.total)))
	return max(s.index[ownClass].free-reserve, 0)
}

// HandleReturn takes back slots that a borrower returned before the end of the term; the
// parts say what it keeps.
func (s *Scheduler) HandleReturn(now time.Duration, b slot.Borrower, parts []slot.Loan) {
	for _, part := range parts {
		s.syncLent(s.ledger.Return(b, part))
	}
	s.schedule(now)
}

// expireLent takes back the slots of loans whose term is over.
func (s *Scheduler) expireLent(now time.Duration) { s.syncLent(s.ledger.Expire(now)) }

func (s *Scheduler) syncLent(workers []string) {
	for _, a := range workers {
		if w := s.workers[a]; w != nil {
			w.own.lent = s.ledger.Lent(a)
			s.reindex(w)
		}
	}
}
