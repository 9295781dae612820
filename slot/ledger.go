package slot

import (
	"slices"
	"time"
)

// LoanID names a loan at its lender.
type LoanID uint64

// WorkerSlots is a number of slots on one worker.
type WorkerSlots struct {
	Worker string
	Slots  int
}

// Loan is a loan's slots, or the part of them that is meant.
type Loan struct {
	ID    LoanID
	Slots []WorkerSlots
}

// Borrower names the process that borrowed.
type Borrower struct {
	Address     string
	Incarnation uint64
}

// Ledger is a lender's book of the slots that it lent. It is not safe for concurrent
// use.
//
// A term counts from when the lender received the request; the borrower counts the
// same term from when it sent it, so the borrower stops first whatever the delay.
type Ledger struct {
	next  LoanID
	loans map[LoanID]*lent
	// slots counts the lent slots of each worker.
	slots map[string]int
	total int
	// earliest is not after the end of any loan.
	earliest time.Duration
}

// lent is one loan as the lender sees it.
type lent struct {
	borrower Borrower
	until    time.Duration
	slots    []WorkerSlots
}

// NewLedger returns an empty book.
func NewLedger() *Ledger {
	return &Ledger{loans: make(map[LoanID]*lent), slots: make(map[string]int)}
}

// Lent returns how many slots of a worker are lent.
func (l *Ledger) Lent(worker string) int { return l.slots[worker] }

// Total returns how many slots are lent.
func (l *Ledger) Total() int { return l.total }

// Lend records a loan received at now.
func (l *Ledger) Lend(now time.Duration, b Borrower, slots []WorkerSlots, term time.Duration) LoanID {
	l.next++
	until := now + term
	if len(l.loans) == 0 || until < l.earliest {
		l.earliest = until
	}
	l.loans[l.next] = &lent{borrower: b, until: until, slots: slices.Clone(slots)}
	for _, s := range slots {
		l.add(s.Worker, s.Slots)
	}
	return l.next
}

func (l *Ledger) add(worker string, n int) {
	l.total += n
	l.slots[worker] += n
	if l.slots[worker] == 0 {
		delete(l.slots, worker)
	}
}

// Extend makes a loan last for another term from now; false when it has ended or is
// another's. A late copy of the message leaves a slot idle at worst.
func (l *Ledger) Extend(now time.Duration, b Borrower, id LoanID, term time.Duration) bool {
	n := l.loans[id]
	if n == nil || n.borrower != b || n.until <= now {
		return false
	}
	n.until = max(n.until, now+term)
	return true
}

// Return takes back slots before the end of the term and returns their workers. The
// part says how many slots of each worker the borrower keeps, not how many it returns:
// so a doubled, late or overtaken message returns nothing that is still in use.
func (l *Ledger) Return(b Borrower, part Loan) []string {
	n := l.loans[part.ID]
	if n == nil || n.borrower != b {
		return nil
	}
	var changed []string
	for _, s := range part.Slots {
		if l.keep(n, s) {
			changed = append(changed, s.Worker)
		}
	}
	if len(n.slots) == 0 {
		delete(l.loans, part.ID)
	}
	return changed
}

// keep lets a loan keep at most some slots of one worker.
func (l *Ledger) keep(n *lent, s WorkerSlots) bool {
	i := slices.IndexFunc(n.slots, func(h WorkerSlots) bool { return h.Worker == s.Worker })
	if i < 0 || s.Slots < 0 || s.Slots >= n.slots[i].Slots {
		return false
	}
	count := n.slots[i].Slots - s.Slots
	n.slots[i].Slots = s.Slots
	if n.slots[i].Slots == 0 {
		n.slots = slices.Delete(n.slots, i, i+1)
	}
	l.add(s.Worker, -count)
	return true
}

// Expire ends the loans whose term is over and returns their workers.
func (l *Ledger) Expire(now time.Duration) []string {
	if len(l.loans) == 0 || now < l.earliest {
		return nil
	}
	var changed []string
	first := true
	for id, n := range l.loans {
		if n.until <= now {
			for _, s := range n.slots {
				l.add(s.Worker, -s.Slots)
				changed = append(changed, s.Worker)
			}
			delete(l.loans, id)
			continue
		}
		if first || n.until < l.earliest {
			l.earliest = n.until
			first = false
		}
	}
	return changed
}
