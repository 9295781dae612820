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
func (s *Scheduler) Lend(now time.Duration, r LendRequest) Loan {
	s.fire(now)
	s.expireLent(now)
	var answer Loan
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
		return answer
	}
	if slots := s.collect(now, min(r.Slots, s.lendable()), r.Needs); len(slots) > 0 {
		answer.Slots = slots
		answer.ID = s.lent.Lend(now, r.Borrower, slots, term)
	}
	answer.Free = s.lendable()
	return answer
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
	if s.config.Policy != Shares || s.starved() {
		return 0
	}
	reserve := int(math.Ceil(s.config.LendReserve * float64(s.capacities.own)))
	return max(s.index[ownClass].free-reserve, 0)
}

// TakeBack takes back slots that a borrower returned before the end of the term; the
// parts say what it keeps.
func (s *Scheduler) TakeBack(now time.Duration, b slot.Borrower, parts []slot.Loan) {
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
