package slot

import (
	"slices"
	"time"
)

// LoanID identifies a loan at its lender.
type LoanID uint64

// WorkerSlots is a number of slots on one worker.
type WorkerSlots struct {
	Worker string
	Slots  int
}

// Loan is a loan with all or some of its slots.
type Loan struct {
	ID    LoanID
	Slots []WorkerSlots
}

// Borrower identifies the process that borrowed slots.
type Borrower struct {
	Address     string
	Incarnation uint64
}

// Ledger records the slots that a lender has lent. It is not safe for concurrent use.
//
// The lender counts the term from the receipt of the request, and the borrower counts the
// same term from the sending. So the borrower stops using the slots before the lender
// takes them back, whatever the message delay.
type Ledger struct {
	lastID LoanID
	loans  map[LoanID]*loanRecord
	// lentByWorker is the number of lent slots of each worker.
	lentByWorker map[string]int
	total        int
	// earliestEnd is a lower bound of the ends of all loans.
	earliestEnd time.Duration
}

// loanRecord is the lender's record of one loan.
type loanRecord struct {
	borrower Borrower
	until    time.Duration
	slots    []WorkerSlots
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{loans: make(map[LoanID]*loanRecord), lentByWorker: make(map[string]int)}
}

// Lent returns how many slots of a worker are lent.
func (l *Ledger) Lent(worker string) int { return l.lentByWorker[worker] }

// Total returns how many slots are lent.
func (l *Ledger) Total() int { return l.total }

// Lend records a loan whose request the lender received at now, and returns its ID.
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

// adjust adds n to the number of lent slots of a worker.
func (l *Ledger) adjust(worker string, n int) {
	l.total += n
	l.lentByWorker[worker] += n
	if l.lentByWorker[worker] == 0 {
		delete(l.lentByWorker, worker)
	}
}

// Extend prolongs a loan to at least one term from now. It returns false if the loan has
// ended or belongs to another borrower. A late copy of the request can at worst leave a
// slot idle.
func (l *Ledger) Extend(now time.Duration, b Borrower, id LoanID, term time.Duration) bool {
	record := l.loans[id]
	if record == nil || record.borrower != b || record.until <= now {
		return false
	}
	record.until = max(record.until, now+term)
	return true
}

// Return takes back slots before the end of the term and returns the workers whose lent
// slots changed. The part says how many slots of each worker the borrower keeps, not how
// many it returns. So a duplicate, late or reordered message takes back no slot that is
// still in use.
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

// reduce lowers a loan's slots on one worker to those kept. It returns false if the loan
// has no more slots there than that.
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
