package slot_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/slot"
)

const (
	worker = "10.0.0.1:80"
	other  = "10.0.0.2:80"
)

var borrower = slot.Borrower{Address: "10.0.1.1:7403", Incarnation: 7}

func lend(l *slot.Ledger, now time.Duration) slot.LoanID {
	return l.Lend(now, borrower, []slot.WorkerSlots{{Worker: worker, Slots: 3}, {Worker: other, Slots: 1}}, time.Second)
}

// Guards against taking slots back before or after the end of the term, which counts from
// the receipt of the request.
func TestLoanEndsAfterTerm(t *testing.T) {
	l := slot.NewLedger()
	lend(l, 5*time.Second)
	assert.Equal(t, l.Lent(worker), 3)
	assert.Equal(t, len(l.Expire(6*time.Second-1)), 0)
	assert.Equal(t, l.Total(), 4)
	assert.Equal(t, len(l.Expire(6*time.Second)), 2)
	assert.Equal(t, l.Total(), 0)
	assert.Equal(t, l.Lent(worker), 0)
}

// Guards against taking back a slot that is still in use when return messages arrive twice
// or out of order. The borrower first keeps two slots of three, then one.
func TestDuplicateAndLateReturnsKeepUsedSlots(t *testing.T) {
	l := slot.NewLedger()
	id := lend(l, 0)
	keep := func(n int) slot.Loan { return slot.Loan{ID: id, Slots: []slot.WorkerSlots{{Worker: worker, Slots: n}}} }
	l.Return(borrower, keep(1))
	l.Return(borrower, keep(2))
	l.Return(borrower, keep(1))
	assert.Equal(t, l.Lent(worker), 1)
	assert.Equal(t, l.Lent(other), 1)

	l.Return(slot.Borrower{Address: borrower.Address, Incarnation: 8}, keep(0))
	assert.Equal(t, l.Lent(worker), 1, "another incarnation returned this borrower's slots")
}

// Guards against extending a loan that has ended. An extension counts from its receipt.
func TestExpiredLoanIsNotExtended(t *testing.T) {
	l := slot.NewLedger()
	id := lend(l, 0)
	assert.Assert(t, l.Extend(800*time.Millisecond, borrower, id, time.Second))
	assert.Equal(t, len(l.Expire(1500*time.Millisecond)), 0)
	assert.Assert(t, !l.Extend(1800*time.Millisecond, borrower, id, time.Second))
	assert.Equal(t, len(l.Expire(1800*time.Millisecond)), 2)
}

// Guards against slots of a worker that no member or several members get, while all
// members have the same list.
func TestShareAddsUp(t *testing.T) {
	var members []netip.AddrPort
	for i := range 6 {
		members = append(members, netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:7403", i+1)))
	}
	for slots := range 20 {
		sum := 0
		for _, m := range members {
			sum += slot.Share(worker, slots, members, m)
		}
		assert.Equal(t, sum, slots)
	}
}
