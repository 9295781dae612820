package sched

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/slot"
)

// Peer is another entry, one process of it.
type Peer struct {
	// Address is the IP:port of its peer interface.
	Address     string
	Incarnation uint64
	Domain      string
}

// peer is a peer with what it has to lend.
type peer struct {
	Peer
	// free is how many slots it could lend by its latest word, less what was asked
	// for since. A peer without any is not asked.
	lendable int
	// wants is set while the peer lacks slots that this entry did not have.
	needsSlots bool
	// asking is set while a request is under way: one at a time per peer.
	requestPending bool
	// loans are those borrowed from the peer.
	loans []*loan
}

// loan is borrowed slots as the borrower sees them.
type loan struct {
	id    slot.LoanID
	until time.Duration
	ended bool
	// recalled is set once the lender wants the slots back.
	recalled bool
	// term is that of the first request.
	term time.Duration
	// extending is set while an extension is asked for, and stays set when the lender
	// declined, so that it is not asked again.
	extensionRequested bool
	grants             []*grant
}

const (
	// tailsPerTerm is how many of the kind's long tasks a term should hold.
	tailsPerTerm = 4
	// extendBelow is the part of a term below which a loan in use is extended, and
	// extendWith that below which others of the same peer go along.
	extendBelow     = 0.5
	extendAlsoBelow = 0.75
)

// SetPeers replaces the list of live peers. Nothing starts any more on slots borrowed
// from a peer that is gone or was replaced: the survivors divide them anew.
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

// SetPeerFree takes in how many slots a peer says it could lend, and how many it lacks.
func (s *Scheduler) SetPeerFree(now time.Duration, p Peer, free, wanted int) {
	o := s.peer(p)
	if o == nil {
		return
	}
	o.needsSlots = wanted > 0
	if o.requestPending {
		return // the answer is newer
	}
	o.lendable = free
	if free > 0 && s.waiting > 0 {
		s.schedule(now)
	}
}

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

// borrow asks peers for the slots that waiting tasks lack: those of the own failure
// domain first, then those with the most free slots. Only peers that said they have
// some are asked.
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

// lender returns the peer to ask first, nil when none has anything.
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

func (s *Scheduler) preferred(a, b *peer) bool {
	if near := a.Domain == s.config.Domain; near != (b.Domain == s.config.Domain) {
		return near
	}
	return a.lendable > b.lendable
}

// term returns the term of a loan for a kind.
func (s *Scheduler) loanTerm(k *kind) time.Duration {
	return min(max(s.config.LoanTerm, tailsPerTerm*k.times.tail), s.config.MaxLoanTerm)
}

// ask requests slots, and with the same message the extension of loans that need it.
func (s *Scheduler) requestSlots(now time.Duration, p *peer, k *kind, n int) {
	b := Borrow{Peer: p.Peer, Slots: n, Term: s.loanTerm(k), Sent: now, Needs: k.needs, kind: k}
	b.Extend = p.extensions(now)
	p.lendable -= n
	p.requestPending = true
	k.requested += n
	s.ready.Borrows = append(s.ready.Borrows, b)
}

// extensions returns the loans of a peer that are in use and should last longer.
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

// LendReply is a lender's answer to Borrow.
type LendReply struct {
	slot.Loan
	// Extended are the loans that now last for the requested term, Recalled those of
	// them on which nothing new may start.
	Extended []slot.LoanID
	Recalled []slot.LoanID
	// Free is how many slots the lender could still lend.
	Free int
}

// HandleLendReply takes in the answer to a Borrow, nil when there was none. The term counts
// from the decision to ask, so a late answer only shortens it.
func (s *Scheduler) HandleLendReply(now time.Duration, b Borrow, reply *LendReply) {
	if b.kind != nil {
		b.kind.requested -= b.Slots
	}
	p := s.peer(b.Peer)
	if p == nil {
		return // the peer is gone, and what it lent is divided anew
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

// extended takes in which extensions were granted.
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

// recall stops starts on a loan's slots; each goes back once its task has ended.
func (s *Scheduler) recallLoan(l *loan) {
	l.recalled = true
	for _, g := range l.grants {
		s.reindexGrant(g)
	}
}

// addLoan makes borrowed slots usable.
func (s *Scheduler) addLoan(now time.Duration, p *peer, from slot.Loan, b Borrow) {
	l := &loan{id: from.ID, until: b.Sent + b.Term, term: b.Term}
	for _, ws := range from.Slots {
		w := s.workers[ws.Worker]
		if w == nil || ws.Slots <= 0 {
			continue // unknown here: the slot stays idle until the end of the term
		}
		g := &grant{worker: w, slots: ws.Slots, loan: l, idleSince: now}
		l.grants = append(l.grants, g)
		w.borrowed = append(w.borrowed, g)
		s.reindexGrant(g)
	}
	p.loans = append(p.loans, l)
}

// endLoan stops starts on a loan's slots.
func (s *Scheduler) endLoan(l *loan) {
	l.ended = true
	for _, g := range l.grants {
		s.reindexGrant(g)
		g.worker.borrowed = slices.DeleteFunc(g.worker.borrowed, func(o *grant) bool { return o == g })
	}
}

// tendLoans ends loans whose term is over, extends those in use and gives back slots
// that stayed idle.
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

// extend asks a peer to let loans that are in use last longer.
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

// giveBack returns a peer's idle slots, all in one message once one of them has been
// idle for long enough.
func (s *Scheduler) returnAfterIdle(now time.Duration, p *peer) {
	due := slices.ContainsFunc(p.loans, func(l *loan) bool {
		return !l.ended && l.idleTooLong(now, s.config.ReturnIdleAfter)
	})
	if due {
		s.returnIdle(p)
	}
}

// idleTooLong tells whether a slot of the loan has been idle for long enough.
func (l *loan) idleTooLong(now, after time.Duration) bool {
	return slices.ContainsFunc(l.grants, func(g *grant) bool {
		return g.slots > g.running && (l.recalled || now-g.idleSince >= after)
	})
}

// returnIdle returns all idle slots of a peer.
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

// takeIdle takes the idle slots out of a loan and returns, for the workers of those,
// how many slots are kept.
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
