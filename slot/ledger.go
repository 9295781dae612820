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
	lastID LoanID
	loans  map[LoanID]*loanRecord
	// slots counts the lent slots of each worker.
	lentByWorker map[string]int
	total        int
	// earliest is not after the end of any loan.
	earliestEnd time.Duration
}

// lent is one loan as the lender sees it.
type loanRecord struct {
	borrower Borrower
	until    time.Duration
	slots    []WorkerSlots
}

// NewLedger returns an empty book.
func NewLedger() *Ledger {
	return &Ledger{loans: make(map[LoanID]*loanRecord), lentByWorker: make(map[string]int)}
}

// Lent returns how many slots of a worker are lent.
func (l *Ledger) Lent(worker string) int { return l.lentByWorker[worker] }

// Total returns how many slots are lent.
func (l *Ledger) Total() int { return l.total }

// Lend records a loan received at now.
func (l *Ledger) Lend(now time.Duration, b Borrower, slots []WorkerSlots, term time.Duration) LoanID {
	l.lastID++
	until := now + term
	if len(l.loans) == 0 || until < l.earliestEnd {
		l.earliestEnd = until
	}
	l.loans[l.lastID] = &loanRecord{borrower: b, until: until, slots: slices.Clone(slots)}
	for _, s := range slots {
		l.adjust(s.Worker, s.Slots)
	}
	return l.lastID
}

func (l *Ledger) adjust(worker string, n int) {
	l.total += n
	l.lentByWorker[worker] += n
	if l.lentByWorker[worker] == 0 {
		delete(l.lentByWorker, worker)
	}
}

// Extend makes a loan last for another term from now; false when it has ended or is
// another's. A late copy of the message leaves a slot idle at worst.
func (l *Ledger) Extend(now time.Duration, b Borrower, id LoanID, term time.Duration) bool {
	record := l.loans[id]
	if record == nil || record.borrower != b || record.until <= now {
		return false
	}
	record.until = max(record.until, now+term)
	return true
}

// Return takes back slots before the end of the term and returns their workers. The
// part says how many slots of each worker the borrower keeps, not how many it returns:
// so a doubled, late or overtaken message returns nothing that is still in use.
func (l *Ledger) Return(b Borrower, part Loan) []string {
	record := l.loans[part.ID]
	if record == nil || record.borrower != b {
		return nil
	}
	var changed []string
	for _, s := range part.Slots {
		if l.reduce(record, s) {
			changed = append(changed, s.Worker)
		}
	}
	if len(record.slots) == 0 {
		delete(l.loans, part.ID)
	}
	return changed
}

// keep lets a loan keep at most some slots of one worker.
func (l *Ledger) reduce(record *loanRecord, kept WorkerSlots) bool {
	i := slices.IndexFunc(record.slots, func(h WorkerSlots) bool { return h.Worker == kept.Worker })
	if i < 0 || kept.Slots < 0 || kept.Slots >= record.slots[i].Slots {
		return false
	}
	count := record.slots[i].Slots - kept.Slots
	record.slots[i].Slots = kept.Slots
	if record.slots[i].Slots == 0 {
		record.slots = slices.Delete(record.slots, i, i+1)
	}
	l.adjust(kept.Worker, -count)
	return true
}

// Expire ends the loans whose term is over and returns their workers.
func (l *Ledger) Expire(now time.Duration) []string {
	if len(l.loans) == 0 || now < l.earliestEnd {
		return nil
	}
	var changed []string
	first := true
	for id, record := range l.loans {
		if record.until <= now {
			for _, s := range record.slots {
				l.adjust(s.Worker, -s.Slots)
				changed = append(changed, s.Worker)
			}
			delete(l.loans, id)
			continue
		}
		if first || record.until < l.earliestEnd {
			l.earliestEnd = record.until
			first = false
		}
	}
	return changed
}
