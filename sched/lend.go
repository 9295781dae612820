package sched

// This file implements the lender's side of slot loans: which slots the entry lends to
// peers, and when it takes them back.

import (
	"math"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/slot"
)

// LendRequest is a peer's request for slots and for the extension of loans.
type LendRequest struct {
	Borrower slot.Borrower
	Slots    int
	Term     time.Duration
	Needs    Resources
	Extend   []slot.LoanID
}

// Lend answers a peer's request that the entry received at now. An entry with waiting tasks of
// its own lends nothing and recalls the loans that the peer asks to extend. It still
// extends them: the borrower's tasks occupy those slots whatever the ledger says, and the
// workers would refuse the lender's own tasks there.
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

// recordUnmetRequest records whether a peer got fewer slots than it requested.
func (s *Scheduler) recordUnmetRequest(r LendRequest, lent int) {
	for _, p := range s.peers {
		if p.Address == r.Borrower.Address && p.Incarnation == r.Borrower.Incarnation {
			p.needsSlots = lent < r.Slots
		}
	}
}

// sendHints notifies peers that lack slots that some are free, at most as many peers as
// there are free slots. Without a hint a peer learns of them only from the next
// heartbeat, which is about the run time of a task later.
func (s *Scheduler) sendHints() {
	free := 0
	for i := range s.peers {
		// The starting position rotates, so that the entry does not always notify the same peer first.
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

// missingSlots returns how many slots the waiting tasks lack.
func (s *Scheduler) missingSlots() int {
	n := 0
	for _, k := range s.kindList {
		n += max(k.startable()-k.requested, 0)
	}
	return n
}

// starved reports whether tasks wait for slots in this entry's failure domain.
func (s *Scheduler) starved() bool {
	if s.waiting == 0 {
		return false
	}
	return slices.ContainsFunc(s.kindList, func(k *kind) bool {
		return k.startable() > 0 && allows(k.domains, s.config.Domain)
	})
}

// takeFreeSlots takes up to n free slots out of the entry's shares for a loan. It takes
// from the workers with the most free slots first.
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

// HandleReturn takes back slots that a borrower returned before the end of the term. The
// parts say how many slots the borrower keeps.
func (s *Scheduler) HandleReturn(now time.Duration, b slot.Borrower, parts []slot.Loan) {
	for _, part := range parts {
		s.syncLent(s.ledger.Return(b, part))
	}
	s.schedule(now)
}

// expireLent takes back the slots of loans whose term is over.
func (s *Scheduler) expireLent(now time.Duration) { s.syncLent(s.ledger.Expire(now)) }

// syncLent copies the lent slots of the given workers from the ledger to their grants.
func (s *Scheduler) syncLent(workers []string) {
	for _, a := range workers {
		if w := s.workers[a]; w != nil {
			w.own.lent = s.ledger.Lent(a)
			s.reindex(w)
		}
	}
}
