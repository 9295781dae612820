package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/slot"
)

var (
	sameDomainPeer  = sched.Peer{Address: "10.0.1.2:7403", Incarnation: 2, Domain: "a"}
	otherDomainPeer = sched.Peer{Address: "10.0.1.3:7403", Incarnation: 3, Domain: "b"}
)

// newShortEntry returns an entry of domain a with one slot in use, three waiting tasks and
// two peers.
func newShortEntry(t *testing.T) *scenario {
	c := sched.DefaultConfig()
	c.Domain = "a"
	s := newScenario(t, c)
	s.SetWorkers(0, []sched.Worker{
		{Address: address(0), Domain: "a", Slots: 1},
		{Address: address(1), Domain: "b"},
	})
	s.SetPeers(0, []sched.Peer{otherDomainPeer, sameDomainPeer})
	s.submit(0, sched.Job{Key: 1, Tasks: 4})
	s.takeStarts()
	assert.Equal(t, len(s.Borrows), 0, "asked a peer that had reported no lendable slots")
	return s
}

func loanReply(id slot.LoanID, worker string, n, free int) *sched.LendReply {
	return &sched.LendReply{Loan: slot.Loan{ID: id, Slots: []slot.WorkerSlots{{Worker: worker, Slots: n}}}, Free: free}
}

// Guards against borrowing from another failure domain before the own one, and against
// more than one message per peer. The entry lacks three slots.
func TestBorrowsFromOwnDomainFirst(t *testing.T) {
	s := newLender(t, 1)
	s.SetPeers(0, []sched.Peer{otherDomainPeer, sameDomainPeer})
	s.SetPeerFree(0, sameDomainPeer, 2, 0)
	s.SetPeerFree(0, otherDomainPeer, 9, 0)
	s.submit(1*ms, sched.Job{Key: 1, Tasks: 4})
	s.takeStarts()
	assert.Equal(t, len(s.Borrows), 2)
	assert.Equal(t, s.Borrows[0].Peer, sameDomainPeer)
	assert.Equal(t, s.Borrows[0].Slots, 2)
	assert.Equal(t, s.Borrows[1].Peer, otherDomainPeer)
	assert.Equal(t, s.Borrows[1].Slots, 1)
	s.Tick(10 * ms)
	s.takeStarts()
	assert.Equal(t, len(s.Borrows), 0, "asked again for slots that were already requested")
}

// newLender returns an entry of domain a with one worker.
func newLender(t *testing.T, slots int) *scenario {
	c := sched.DefaultConfig()
	c.Domain = "a"
	s := newScenario(t, c)
	s.workers(0, 1, slots)
	return s
}

// Guards against asking a peer again that did not answer.
func TestPeerThatDidNotAnswerIsNotAskedAgain(t *testing.T) {
	s := newShortEntry(t)
	s.SetPeerFree(1*ms, sameDomainPeer, 9, 0)
	s.takeStarts()
	s.HandleLendReply(500*ms, s.Borrows[0], nil)
	s.Tick(510 * ms)
	s.takeStarts()
	assert.Equal(t, len(s.Borrows), 0)
}

// Guards against asking a peer again that had no slots, before it reports some.
func TestPeerWithoutSlotsIsNotAskedAgain(t *testing.T) {
	s := newShortEntry(t)
	s.SetPeerFree(1*ms, sameDomainPeer, 3, 0)
	s.takeStarts()
	s.HandleLendReply(3*ms, s.Borrows[0], &sched.LendReply{})
	for now := 10 * ms; now < time.Second; now += 10 * ms {
		s.Tick(now)
		s.takeStarts()
		assert.Equal(t, len(s.Borrows), 0)
	}
	s.SetPeerFree(time.Second, sameDomainPeer, 1, 0)
	s.takeStarts()
	assert.Equal(t, len(s.Borrows), 1)
}

// Guards against starting a task on a loan that ends before the task does, because the
// lender may use the slot again. The term of 2 s counts from the decision to ask: an
// answer after 1.95 s leaves too little for a task of 100 ms.
func TestLateLoanIsNotUsed(t *testing.T) {
	s := newShortEntry(t)
	s.SetPeerFree(0, sameDomainPeer, 3, 0)
	s.takeStarts()
	b := s.Borrows[0]
	assert.Equal(t, b.Term, 2*time.Second)
	s.HandleLendReply(1950*ms, b, loanReply(1, address(0), 3, 0))
	assert.Equal(t, len(s.takeStarts()), 0)

	s = newShortEntry(t)
	s.SetPeerFree(0, sameDomainPeer, 3, 0)
	s.takeStarts()
	s.HandleLendReply(1850*ms, s.Borrows[0], loanReply(1, address(0), 3, 0))
	assert.Equal(t, len(s.takeStarts()), 3)
}

// Guards against keeping idle borrowed slots. The borrower returns all idle slots
// of a peer in one message, which says how many slots it keeps.
func TestIdleBorrowedSlotsAreReturned(t *testing.T) {
	s := newShortEntry(t)
	s.SetPeerFree(0, sameDomainPeer, 3, 0)
	s.takeStarts()
	s.HandleLendReply(2*ms, s.Borrows[0], loanReply(1, address(0), 3, 0))
	running := s.takeStarts()
	assert.Equal(t, len(running), 3)
	s.finish(100*ms, running[:2]...)
	s.Tick(110 * ms)
	s.takeStarts()
	assert.Equal(t, len(s.Returns), 0)
	s.Tick(150 * ms)
	s.takeStarts()
	assert.DeepEqual(t, s.Returns, []sched.ReturnSlots{{Peer: sameDomainPeer, Loans: []slot.Loan{
		{ID: 1, Slots: []slot.WorkerSlots{{Worker: address(0), Slots: 1}}},
	}}})
	s.Tick(200 * ms)
	s.takeStarts()
	assert.Equal(t, len(s.Returns), 0)
}

// Guards against asking a lender again that declined an extension, and against using the
// slots after the term. The borrower asks for an extension before the end
// of a loan in use.
func TestLoanIsExtendedUntilLenderDeclines(t *testing.T) {
	s := newShortEntry(t)
	s.SetPeerFree(0, sameDomainPeer, 3, 0)
	s.takeStarts()
	s.HandleLendReply(2*ms, s.Borrows[0], loanReply(1, address(0), 3, 0))
	s.takeStarts()
	s.Tick(1100 * ms)
	s.takeStarts()
	assert.Equal(t, len(s.Borrows), 1)
	b := s.Borrows[0]
	assert.DeepEqual(t, b.Extend, []slot.LoanID{1})
	assert.Equal(t, b.Slots, 0)
	s.HandleLendReply(1102*ms, b, &sched.LendReply{Extended: []slot.LoanID{1}})
	s.Tick(1900 * ms)
	s.takeStarts()
	assert.Equal(t, len(s.Borrows), 0, "asked for an extension although the loan lasts until 3100 ms")
	s.Tick(2200 * ms)
	s.takeStarts()
	assert.Equal(t, len(s.Borrows), 1)
	s.HandleLendReply(2202*ms, s.Borrows[0], &sched.LendReply{})
	for now := 2210 * ms; now < 4*time.Second; now += 10 * ms {
		s.Tick(now)
		s.takeStarts()
		assert.Equal(t, len(s.Borrows), 0)
	}
	assert.Equal(t, s.Load(4*time.Second).Borrowed, 0)
}

// Guards against starting tasks on slots of a lender that died, because the remaining
// entries divide these slots. Its next incarnation did not lend them either.
func TestLoansEndWhenLenderIsReplaced(t *testing.T) {
	s := newShortEntry(t)
	s.SetPeerFree(0, sameDomainPeer, 3, 0)
	s.takeStarts()
	s.HandleLendReply(2*ms, s.Borrows[0], loanReply(1, address(0), 3, 0))
	running := s.takeStarts()
	s.submit(3*ms, sched.Job{Key: 2, Tasks: 5})
	s.takeStarts()
	restarted := sameDomainPeer
	restarted.Incarnation++
	s.SetPeers(4*ms, []sched.Peer{restarted, otherDomainPeer})
	s.finish(100*ms, running...)
	assert.Equal(t, len(s.takeStarts()), 0)
}

// Guards against lending slots that the entry uses itself or lacks, and against taking
// lent slots back before the term ends, which counts from the receipt of the request.
func TestLendsOnlyUnusedSlots(t *testing.T) {
	c := sched.DefaultConfig()
	c.Domain = "a"
	s := newScenario(t, c)
	s.workers(0, 2, 2)
	s.submit(0, sched.Job{Key: 1})
	running := s.takeStarts()
	r := sched.LendRequest{Borrower: slot.Borrower{Address: sameDomainPeer.Address, Incarnation: sameDomainPeer.Incarnation}, Slots: 8, Term: time.Second}
	loan := s.Lend(10*ms, r)
	total := 0
	for _, w := range loan.Slots {
		total += w.Slots
	}
	assert.Equal(t, total, 3)
	assert.Equal(t, loan.Free, 0)

	s.submit(20*ms, sched.Job{Key: 2, Tasks: 3})
	assert.Equal(t, len(s.takeStarts()), 0)
	s.finish(100*ms, running...)
	assert.Equal(t, len(s.takeStarts()), 1)
	assert.Equal(t, len(s.Lend(200*ms, r).Slots), 0, "lent slots although two own tasks wait")
	s.Tick(1009 * ms)
	assert.Equal(t, len(s.takeStarts()), 0)
	s.Tick(1010 * ms)
	assert.Equal(t, len(s.takeStarts()), 2)
}

// Guards against lending the same slots twice when a request arrives twice. The slots of
// the second loan stay idle until the end of its term.
func TestDuplicateBorrowGetsOtherSlots(t *testing.T) {
	s := newScenario(t, sched.DefaultConfig())
	s.workers(0, 1, 4)
	r := sched.LendRequest{Borrower: slot.Borrower{Address: sameDomainPeer.Address}, Slots: 2, Term: time.Second}
	first, second := s.Lend(0, r), s.Lend(1*ms, r)
	assert.Assert(t, first.ID != second.ID)
	assert.Equal(t, s.Load(1*ms).Lent, 4)
	assert.Equal(t, s.Load(1*ms).Free, 0)
}

// Guards against loans under the baseline policy with static shares.
func TestStaticSharesDontLend(t *testing.T) {
	c := sched.DefaultConfig()
	c.Policy = sched.StaticShares
	s := newScenario(t, c)
	s.workers(0, 1, 1)
	s.SetPeers(0, []sched.Peer{sameDomainPeer})
	s.SetPeerFree(0, sameDomainPeer, 5, 0)
	assert.Equal(t, len(s.Lend(0, sched.LendRequest{Slots: 1, Term: time.Second}).Slots), 0)
	s.submit(0, sched.Job{Key: 1, Tasks: 4})
	s.takeStarts()
	assert.Equal(t, len(s.Borrows), 0)
}

// Guards against a peer that learns of free slots only from the next heartbeat, about a
// task's run time later. An entry that had nothing to lend sends the peer one hint when
// slots become free.
func TestPeerLackingSlotsGetsHint(t *testing.T) {
	s := newScenario(t, sched.DefaultConfig())
	s.workers(0, 1, 1)
	s.SetPeers(0, []sched.Peer{sameDomainPeer, otherDomainPeer})
	s.submit(0, sched.Job{Key: 1})
	running := s.takeStarts()
	s.Lend(10*ms, sched.LendRequest{Borrower: slot.Borrower{Address: sameDomainPeer.Address, Incarnation: sameDomainPeer.Incarnation}, Slots: 2, Term: time.Second})
	s.takeStarts()
	assert.Equal(t, len(s.Hints), 0)
	s.finish(100*ms, running...)
	s.takeStarts()
	assert.DeepEqual(t, s.Hints, []sched.FreeSlotsHint{{Peer: sameDomainPeer}})
	s.Tick(110 * ms)
	s.takeStarts()
	assert.Equal(t, len(s.Hints), 0)
}

// Guards against a borrower that starts tasks on a recalled loan. The lender's own tasks
// wait: it extends the loan, since the slots stay busy until the borrower's tasks end,
// but recalls it, so that the borrower returns each slot at once.
func TestRecalledLoanStartsNoTask(t *testing.T) {
	s := newShortEntry(t)
	s.SetPeerFree(0, sameDomainPeer, 3, 0)
	s.takeStarts()
	s.HandleLendReply(2*ms, s.Borrows[0], loanReply(1, address(0), 3, 0))
	running := s.takeStarts()
	s.submit(3*ms, sched.Job{Key: 2, Tasks: 5})
	s.Tick(1100 * ms)
	s.takeStarts()
	s.HandleLendReply(1102*ms, s.Borrows[0], &sched.LendReply{Extended: []slot.LoanID{1}, Recalled: []slot.LoanID{1}})
	s.finish(1200*ms, running[0])
	assert.Equal(t, len(s.takeStarts()), 0)
	s.Tick(1200 * ms)
	s.takeStarts()
	assert.DeepEqual(t, s.Returns, []sched.ReturnSlots{{Peer: sameDomainPeer, Loans: []slot.Loan{
		{ID: 1, Slots: []slot.WorkerSlots{{Worker: address(0), Slots: 2}}},
	}}})
}
