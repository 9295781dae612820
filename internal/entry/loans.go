// Slot loans: the messages by which entries lend slots to each other, between the scheduler and the peers.

package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/slot"
)

// loanTimeout bounds the wait for a peer's reply about slots. A slower reply is useless for sub-second
// tasks.
const loanTimeout = 500 * time.Millisecond

// loans passes messages about slots between the scheduler and the peers. No message is repeated. If one is
// lost, a slot stays idle until the end of its loan.
type loans struct {
	self       member.Process
	client     *peer.Client
	members    *membership
	dispatcher *dispatcher
	metrics    *Metrics
}

// updatePeers passes the live peers to the scheduler. A peer that is stopping is left out: its share goes
// to the other entries, so nothing can be borrowed from it any more.
func (l *loans) updatePeers() {
	var list []sched.Peer
	l.members.withView(func(v *member.View) {
		for _, p := range v.Live("") {
			if !p.Stopping {
				list = append(list, schedPeer(p.Address, p.Incarnation, p.Domain))
			}
		}
	})
	l.dispatcher.step(func(now time.Duration) { l.dispatcher.sched.SetPeers(now, list) })
}

func schedPeer(a netip.AddrPort, incarnation uint64, domain string) sched.Peer {
	return sched.Peer{Address: a.String(), Incarnation: incarnation, Domain: domain}
}

// handleHeartbeat tells the scheduler how many slots a peer can lend and how many it wants.
func (l *loans) handleHeartbeat(h *schema.Heartbeat) {
	p := sched.Peer{Address: h.GetAddress(), Incarnation: h.GetIncarnation(), Domain: h.GetDomain()}
	l.setPeerFree(p, h.GetFreeSlots(), h.GetWantedSlots())
}

func (l *loans) setPeerFree(p sched.Peer, free, wanted uint32) {
	l.dispatcher.step(func(now time.Duration) { l.dispatcher.sched.SetPeerFree(now, p, int(free), int(wanted)) })
}

// sendHint tells a peer that lacks slots about free ones, with a heartbeat before the next one is due.
func (l *loans) sendHint(h sched.FreeSlotsHint) {
	to, err := netip.ParseAddrPort(h.Peer.Address)
	if err != nil {
		return
	}
	l.metrics.countMessage("hint")
	l.members.exchangeHeartbeat(context.Background(), to, l.members.heartbeat())
}

// borrow requests slots from a peer and passes the reply to the scheduler.
func (l *loans) borrow(b sched.Borrow) {
	l.metrics.countMessage("borrow")
	reply := l.callPeer(b.Peer, &schema.Request{Body: &schema.Request_Borrow{Borrow: &schema.Borrow{
		Borrower:    l.self.Address.String(),
		Incarnation: l.self.Incarnation,
		Slots:       uint32(b.Slots),
		TermMs:      uint32(b.Term.Milliseconds()),
		Needs:       &schema.Resources{Cpus: b.Needs.CPUs, MemoryMb: b.Needs.MemoryMB, Accelerators: b.Needs.Accelerators},
		Extend:      loanIDsToProto(b.Extend),
	}}})
	answer := lendReplyFromProto(reply)
	l.metrics.count("borrows", "result", borrowResult(answer))
	l.dispatcher.step(func(now time.Duration) { l.dispatcher.sched.HandleLendReply(now, b, answer) })
}

// returnSlots returns idle slots to a peer. The reply contains the peer's number of free slots.
func (l *loans) returnSlots(g sched.ReturnSlots) {
	l.metrics.countMessage("give_back")
	msg := &schema.GiveBack{Borrower: l.self.Address.String(), Incarnation: l.self.Incarnation}
	for _, part := range g.Loans {
		msg.Loans = append(msg.Loans, &schema.Loan{Loan: uint64(part.ID), Slots: workerSlotsToProto(part.Slots)})
	}
	reply := l.callPeer(g.Peer, &schema.Request{Body: &schema.Request_GiveBack{GiveBack: msg}})
	if reply != nil {
		l.setPeerFree(g.Peer, reply.GetFreeSlots(), 0)
	}
}

// callPeer sends a request to a peer, and returns nil if there is no reply.
func (l *loans) callPeer(to sched.Peer, r *schema.Request) *schema.Loan {
	address, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), loanTimeout)
	defer cancel()
	reply, failure := l.client.Call(ctx, address, r)
	if failure != nil {
		return nil
	}
	return reply.GetLoan()
}

// Values of the label result of the borrows metric.
const (
	borrowGotSlots   = "slots"
	borrowGotNothing = "nothing"
	borrowFailed     = "failed"
)

func borrowResult(answer *sched.LendReply) string {
	switch {
	case answer == nil:
		return borrowFailed
	case len(answer.Slots) == 0 && len(answer.Extended) == 0:
		return borrowGotNothing
	}
	return borrowGotSlots
}

func lendReplyFromProto(m *schema.Loan) *sched.LendReply {
	if m == nil {
		return nil
	}
	return &sched.LendReply{Loan: loanFromProto(m), Extended: loanIDsFromProto(m.GetExtended()), Recalled: loanIDsFromProto(m.GetRecalled()), Free: int(m.GetFreeSlots())}
}

func loanFromProto(m *schema.Loan) slot.Loan {
	l := slot.Loan{ID: slot.LoanID(m.GetLoan())}
	for _, s := range m.GetSlots() {
		l.Slots = append(l.Slots, slot.WorkerSlots{Worker: s.GetWorker(), Slots: int(s.GetSlots())})
	}
	return l
}

func workerSlotsToProto(list []slot.WorkerSlots) []*schema.WorkerSlots {
	var out []*schema.WorkerSlots
	for _, s := range list {
		out = append(out, &schema.WorkerSlots{Worker: s.Worker, Slots: uint32(s.Slots)})
	}
	return out
}

func loanIDsToProto(ids []slot.LoanID) []uint64 {
	var out []uint64
	for _, id := range ids {
		out = append(out, uint64(id))
	}
	return out
}

func loanIDsFromProto(numbers []uint64) []slot.LoanID {
	var out []slot.LoanID
	for _, n := range numbers {
		out = append(out, slot.LoanID(n))
	}
	return out
}

// handleBorrow handles a peer's request for slots.
func (l *loans) handleBorrow(m *schema.Borrow) *schema.Loan {
	r := sched.LendRequest{
		Borrower: slot.Borrower{Address: m.GetBorrower(), Incarnation: m.GetIncarnation()},
		Slots:    int(m.GetSlots()),
		Term:     time.Duration(m.GetTermMs()) * time.Millisecond,
		Needs:    resourcesFromProto(m.GetNeeds()),
		Extend:   loanIDsFromProto(m.GetExtend()),
	}
	var answer sched.LendReply
	l.dispatcher.step(func(now time.Duration) { answer = l.dispatcher.sched.Lend(now, r) })
	return &schema.Loan{
		Loan:      uint64(answer.ID),
		Slots:     workerSlotsToProto(answer.Slots),
		FreeSlots: uint32(answer.Free),
		Extended:  loanIDsToProto(answer.Extended),
		Recalled:  loanIDsToProto(answer.Recalled),
	}
}

// handleReturn takes back the slots that a peer returns.
func (l *loans) handleReturn(m *schema.GiveBack) *schema.Loan {
	borrower := slot.Borrower{Address: m.GetBorrower(), Incarnation: m.GetIncarnation()}
	var parts []slot.Loan
	for _, part := range m.GetLoans() {
		parts = append(parts, loanFromProto(part))
	}
	free := 0
	l.dispatcher.step(func(now time.Duration) {
		l.dispatcher.sched.HandleReturn(now, borrower, parts)
		free = l.dispatcher.sched.Load(now).Lendable
	})
	return &schema.Loan{FreeSlots: uint32(free)}
}
