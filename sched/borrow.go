package sched

// This file implements the borrower's side of slot loans: which slots the entry requests
// from which peer, and when it extends, uses and returns them.

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/slot"
)

// Peer identifies one process of another entry.
type Peer struct {
	// Address is the IP:port of its peer interface.
	Address     string
	Incarnation uint64
	Domain      string
}

// peer is a peer with the slots that it can lend and the loans taken from it.
type peer struct {
	Peer
	// lendable is the number of slots that the peer last reported as lendable, minus
	// those that this entry has requested since. The entry does not ask a peer without
	// lendable slots.
	lendable int
	// needsSlots is set while the peer lacks slots that this entry could not lend.
	needsSlots bool
	// requestPending is set while a request to the peer is in flight. At most one
	// request per peer is in flight.
	requestPending bool
	// loans are the loans taken from the peer.
	loans []*loan
}

// loan is one loan from the borrower's point of view.
type loan struct {
	id    slot.LoanID
	until time.Duration
	ended bool
	// recalled is set once the lender has asked for the slots back.
	recalled bool
	// term is the term of the first request.
	term time.Duration
	// extensionRequested is set while an extension request is in flight. It stays set if
	// the lender declines, so that the entry does not ask again.
	extensionRequested bool
	grants             []*grant
}

const (
	// tailsPerTerm is the number of tail run times of a kind that fit into a loan term.
	tailsPerTerm = 4
	// extendBelow is the fraction of its term below which a loan in use is due for
	// extension. A request to the same peer also extends the loans in use that are
	// below extendAlsoBelow.
	extendBelow     = 0.5
	extendAlsoBelow = 0.75
)

// SetPeers replaces the list of live peers. The scheduler starts no more tasks on slots
// borrowed from a peer that is no longer in the list, or is there with a new incarnation,
// because the remaining entries divide that peer's slots among themselves.
func (s *Scheduler) SetPeers(now time.Duration, list []Peer) {
	old := s.peers
	s.peers = nil
	for _, p := range list {
		i := slices.IndexFunc(old, func(o *peer) bool { return o.Peer == p })
		if i < 0 {
			s.peers = append(s.peers, &peer{Peer: p})
			continue
		}
		s.peers = append(s.peers, old[i])
	}
	for _, p := range old {
		if slices.Contains(s.peers, p) {
			continue
		}
		for _, l := range p.loans {
			s.endLoan(l)
		}
	}
	s.schedule(now)
}

// SetPeerFree stores how many slots a peer reports that it could lend, and how many it
// lacks.
func (s *Scheduler) SetPeerFree(now time.Duration, p Peer, lendable, missing int) {
	o := s.peer(p)
	if o == nil {
		return
	}
	o.needsSlots = missing > 0
	if o.requestPending {
		return // the pending answer will be newer than this report
	}
	o.lendable = lendable
	if lendable > 0 && s.waiting > 0 {
		s.schedule(now)
	}
}

// peer returns the state of a live peer, or nil for an unknown one.
func (s *Scheduler) peer(p Peer) *peer {
	i := slices.IndexFunc(s.peers, func(o *peer) bool { return o.Peer == p })
	if i < 0 {
		return nil
	}
	return s.peers[i]
}

func (s *Scheduler) hasPeer(domain string) bool {
	return slices.ContainsFunc(s.peers, func(p *peer) bool { return p.Domain == domain })
}

// borrow requests the slots that waiting tasks lack. It asks peers of this entry's
// failure domain first, then the peers with the most lendable slots. It asks only peers
// that reported lendable slots.
func (s *Scheduler) borrow(now time.Duration) {
	if s.config.Policy != Shares || !s.anyPeerLendable() {
		return
	}
	for _, k := range s.kindList {
		missing := k.startable() - k.requested
		for missing > 0 {
			p := s.bestLender(k)
			if p == nil {
				break
			}
			n := min(missing, p.lendable)
			s.requestSlots(now, p, k, n)
			missing -= n
		}
	}
}

func (s *Scheduler) anyPeerLendable() bool {
	return slices.ContainsFunc(s.peers, func(p *peer) bool { return p.lendable > 0 && !p.requestPending })
}

// bestLender returns the peer to ask first for slots for a kind, or nil when no peer has
// any.
func (s *Scheduler) bestLender(k *kind) *peer {
	var best *peer
	for _, p := range s.peers {
		if p.lendable <= 0 || p.requestPending || !allows(k.domains, p.Domain) {
			continue
		}
		if best == nil || s.preferred(p, best) {
			best = p
		}
	}
	return best
}

// preferred reports whether the entry asks peer a before peer b.
func (s *Scheduler) preferred(a, b *peer) bool {
	if near := a.Domain == s.config.Domain; near != (b.Domain == s.config.Domain) {
		return near
	}
	return a.lendable > b.lendable
}

// loanTerm returns the term to request for a loan that serves a kind.
func (s *Scheduler) loanTerm(k *kind) time.Duration {
	return min(max(s.config.LoanTerm, tailsPerTerm*k.times.tail), s.config.MaxLoanTerm)
}

// requestSlots asks a peer for n slots. The same message asks for the extension of
// that peer's loans that need it.
func (s *Scheduler) requestSlots(now time.Duration, p *peer, k *kind, n int) {
	b := Borrow{Peer: p.Peer, Slots: n, Term: s.loanTerm(k), Sent: now, Needs: k.needs, kind: k}
	b.Extend = p.extensions(now)
	p.lendable -= n
	p.requestPending = true
	k.requested += n
	s.ready.Borrows = append(s.ready.Borrows, b)
}

// extensions returns the peer's loans that are in use and due for extension, and marks
// them as requested.
func (p *peer) extensions(now time.Duration) []slot.LoanID {
	var ids []slot.LoanID
	for _, l := range p.loans {
		if !l.extensionRequested && l.running() > 0 && l.remaining(now) < fraction(l.term, extendAlsoBelow) {
			l.extensionRequested = true
			ids = append(ids, l.id)
		}
	}
	return ids
}

func fraction(term time.Duration, of float64) time.Duration {
	return time.Duration(of * float64(term))
}

func (l *loan) remaining(now time.Duration) time.Duration { return l.until - now }

func (l *loan) running() int {
	n := 0
	for _, g := range l.grants {
		n += g.running
	}
	return n
}

// LendReply is a lender's answer to a Borrow.
type LendReply struct {
	slot.Loan
	// Extended are the loans that the lender extended by the requested term. Recalled
	// are those of them on which the borrower must start no further task.
	Extended []slot.LoanID
	Recalled []slot.LoanID
	// Free is the number of slots that the lender could still lend.
	Free int
}

// HandleLendReply processes a peer's answer to a Borrow; reply is nil when the peer did
// not answer. The loan term counts from the time of the decision to ask, so a late
// answer leaves less of the term.
func (s *Scheduler) HandleLendReply(now time.Duration, b Borrow, reply *LendReply) {
	if b.kind != nil {
		b.kind.requested -= b.Slots
	}
	p := s.peer(b.Peer)
	if p == nil {
		return // SetPeers removed the peer; the remaining entries divide the slots that it lent
	}
	p.requestPending = false
	s.applyExtensions(p, b, reply)
	if reply == nil {
		p.lendable = 0
		return
	}
	p.lendable = reply.Free
	if len(reply.Slots) > 0 && now < b.Sent+b.Term {
		s.addLoan(now, p, reply.Loan, b)
	}
	s.schedule(now)
}

// applyExtensions prolongs the loans that the lender extended.
func (s *Scheduler) applyExtensions(p *peer, b Borrow, reply *LendReply) {
	for _, l := range p.loans {
		if !slices.Contains(b.Extend, l.id) {
			continue
		}
		if reply != nil && slices.Contains(reply.Extended, l.id) {
			l.extensionRequested = false
			l.until = max(l.until, b.Sent+b.Term)
			if slices.Contains(reply.Recalled, l.id) {
				s.recallLoan(l)
			}
		}
	}
}

// recallLoan stops starting tasks on a loan's slots. The entry returns each slot
// once its task has ended.
func (s *Scheduler) recallLoan(l *loan) {
	l.recalled = true
	for _, g := range l.grants {
		s.reindexGrant(g)
	}
}

// addLoan makes the slots of a new loan usable.
func (s *Scheduler) addLoan(now time.Duration, p *peer, from slot.Loan, b Borrow) {
	l := &loan{id: from.ID, until: b.Sent + b.Term, term: b.Term}
	for _, ws := range from.Slots {
		w := s.workers[ws.Worker]
		if w == nil || ws.Slots <= 0 {
			continue // unknown worker: the slot stays idle until the loan's term ends
		}
		g := &grant{worker: w, slots: ws.Slots, loan: l, idleSince: now}
		l.grants = append(l.grants, g)
		w.borrowed = append(w.borrowed, g)
		s.reindexGrant(g)
	}
	p.loans = append(p.loans, l)
}

// endLoan stops starting tasks on a loan's slots.
func (s *Scheduler) endLoan(l *loan) {
	l.ended = true
	for _, g := range l.grants {
		s.reindexGrant(g)
		g.worker.borrowed = slices.DeleteFunc(g.worker.borrowed, func(o *grant) bool { return o == g })
	}
}

// maintainLoans ends loans whose term is over, returns slots that stayed idle and asks
// for the extension of loans in use.
func (s *Scheduler) maintainLoans(now time.Duration) {
	for _, p := range s.peers {
		if len(p.loans) == 0 {
			continue
		}
		for _, l := range p.loans {
			if now >= l.until {
				s.endLoan(l)
			}
		}
		s.returnAfterIdle(now, p)
		p.loans = slices.DeleteFunc(p.loans, func(l *loan) bool { return l.ended })
		s.extend(now, p)
	}
}

// extend asks a peer to extend loans that are in use and close to their end.
func (s *Scheduler) extend(now time.Duration, p *peer) {
	due := slices.ContainsFunc(p.loans, func(l *loan) bool {
		return !l.extensionRequested && l.running() > 0 && l.remaining(now) < fraction(l.term, extendBelow)
	})
	if !due || p.requestPending {
		return
	}
	b := Borrow{Peer: p.Peer, Term: s.config.LoanTerm, Sent: now, Extend: p.extensions(now)}
	p.requestPending = true
	s.ready.Borrows = append(s.ready.Borrows, b)
}

// returnAfterIdle returns all idle slots of a peer in one message, once one of them has
// been idle for long enough.
func (s *Scheduler) returnAfterIdle(now time.Duration, p *peer) {
	due := slices.ContainsFunc(p.loans, func(l *loan) bool {
		return !l.ended && l.idleTooLong(now, s.config.ReturnIdleAfter)
	})
	if due {
		s.returnIdle(p)
	}
}

// idleTooLong reports whether the loan has a slot to return: one that has been idle for
// the given time, or any idle slot of a recalled loan.
func (l *loan) idleTooLong(now, after time.Duration) bool {
	return slices.ContainsFunc(l.grants, func(g *grant) bool {
		return g.slots > g.running && (l.recalled || now-g.idleSince >= after)
	})
}

// returnIdle returns all idle slots borrowed from a peer.
func (s *Scheduler) returnIdle(p *peer) {
	var parts []slot.Loan
	for _, l := range p.loans {
		if l.ended {
			continue
		}
		if idle := s.removeIdle(l); len(idle) > 0 {
			parts = append(parts, slot.Loan{ID: l.id, Slots: idle})
		}
	}
	s.ready.Returns = append(s.ready.Returns, ReturnSlots{Peer: p.Peer, Loans: parts})
}

// removeIdle removes the idle slots from a loan. For each worker with idle slots it
// returns how many slots the loan keeps there.
func (s *Scheduler) removeIdle(l *loan) []slot.WorkerSlots {
	var idle []slot.WorkerSlots
	kept := 0
	for _, g := range l.grants {
		if n := g.slots - g.running; n > 0 {
			g.slots -= n
			s.reindexGrant(g)
			idle = append(idle, slot.WorkerSlots{Worker: g.worker.Address, Slots: g.slots})
		}
		kept += g.slots
	}
	if kept == 0 {
		s.endLoan(l)
	}
	return idle
}
