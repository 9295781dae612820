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
	s.fire(now)
	s.expireLent(now)
	var answer LendReply
	if s.config.Policy != Shares || s.held {
		return answer
	}
	starved := s.starved()
	term := min(r.Term, s.config.MaxLoanTerm)
	for _, id := range r.Extend {
		if s.lent.Extend(now, r.Borrower, id, term) {
			answer.Extended = append(answer.Extended, id)
		}
	}
	if starved {
		answer.Recalled = answer.Extended
		s.remember(r, 0)
		return answer
	}
	if slots := s.collect(now, min(r.Slots, s.lendable()), r.Needs); len(slots) > 0 {
		answer.Slots = slots
		answer.ID = s.lent.Lend(now, r.Borrower, slots, term)
	}
	answer.Free = s.lendable()
	lent := 0
	for _, w := range answer.Slots {
		lent += w.Slots
	}
	s.remember(r, lent)
	return answer
}

// remember notes that a peer got less than it asked for.
func (s *Scheduler) remember(r LendRequest, lent int) {
	for _, p := range s.peers {
		if p.Address == r.Borrower.Address && p.Incarnation == r.Borrower.Incarnation {
			p.wants = lent < r.Slots
		}
	}
}

// hint tells peers that lack slots, no more of them than there are slots, that some
// are free. Without it they would learn it from the next heartbeat, a task's length
// later.
func (s *Scheduler) hint() {
	free := 0
	for i := range s.peers {
		// The turn goes round, so that no peer is always told first.
		p := s.peers[(s.hintTurn+i)%len(s.peers)]
		if !p.wants {
			continue
		}
		if free == 0 {
			if free = s.lendable(); free == 0 {
				return
			}
		}
		p.wants = false
		s.ready.Hints = append(s.ready.Hints, FreeSlotsHint{Peer: p.Peer})
		if free--; free == 0 {
			s.hintTurn += i + 1
			return
		}
	}
}

// wanted returns how many slots the waiting tasks lack.
func (s *Scheduler) wanted() int {
	n := 0
	for _, k := range s.kindList {
		n += max(k.room()-k.asked, 0)
	}
	return n
}

// starved tells whether tasks wait for slots of this entry's failure domain.
func (s *Scheduler) starved() bool {
	if s.waiting == 0 {
		return false
	}
	return slices.ContainsFunc(s.kindList, func(k *kind) bool {
		return k.room() > 0 && allows(k.domains, s.config.Domain)
	})
}

// collect takes free slots out of the shares, where most are free first.
func (s *Scheduler) collect(now time.Duration, n int, needs Resources) []slot.WorkerSlots {
	var slots []slot.WorkerSlots
	at := make(map[*worker]int)
	for range n {
		g := s.index[ownClass].best(now, needs, nil, 0)
		if g == nil {
			break
		}
		g.lent++
		s.placeGrant(g)
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
	if s.config.Policy != Shares || s.held || s.starved() {
		return 0
	}
	reserve := int(math.Ceil(s.config.LendReserve * float64(s.capacities.own)))
	return max(s.index[ownClass].free-reserve, 0)
}

// HandleReturn takes back slots that a borrower returned before the end of the term; the
// parts say what it keeps.
func (s *Scheduler) HandleReturn(now time.Duration, b slot.Borrower, parts []slot.Loan) {
	for _, part := range parts {
		s.unlend(s.lent.Return(b, part))
	}
	s.schedule(now)
}

// expireLent takes back the slots of loans whose term is over.
func (s *Scheduler) expireLent(now time.Duration) { s.unlend(s.lent.Expire(now)) }

func (s *Scheduler) unlend(workers []string) {
	for _, a := range workers {
		if w := s.workers[a]; w != nil {
			w.own.lent = s.lent.Lent(a)
			s.place(w)
		}
	}
}
