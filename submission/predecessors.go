package submission

import (
	"net/netip"
	"sync"
	"time"
)

// Process names one process by address and incarnation.
type Process struct {
	Owner       netip.AddrPort
	Incarnation uint64
}

// Process returns the process that minted the identifier.
func (id ID) Process() Process { return Process{Owner: id.Owner, Incarnation: id.Incarnation} }

// Predecessor is a process that stopped and handed over every record it kept.
type Predecessor struct {
	Process Process
	// Clock is the time on the clock on which it minted identifiers.
	Clock time.Duration
	// Window is the time after minting within which its identifiers had to be used
	// first.
	Window time.Duration
	// KeepFor is the time for which it still has to be known.
	KeepFor time.Duration
}

// Predecessors holds the processes whose records this one took over. It is safe for
// concurrent use.
type Predecessors struct {
	mu    sync.Mutex
	known map[Process]*takenOver
}

// takenOver is what is known of a predecessor.
type takenOver struct {
	// ahead is what its clock is ahead of this process's, at least.
	ahead  time.Duration
	window time.Duration
	// until is the time at which it may be forgotten.
	until time.Duration
	// complete is set once all its records have been adopted.
	complete bool
}

// NewPredecessors returns an empty set.
func NewPredecessors() *Predecessors {
	return &Predecessors{known: make(map[Process]*takenOver)}
}

// Add takes in one part of a predecessor's handover; last tells that it is the last
// one and that all of them were adopted. Each part must carry the clock at which the
// times for which its records are kept were counted, and Add must be called with a
// time read before its records are adopted: then no record is dropped before the
// estimate of the predecessor's clock has passed its identifier's window, whatever
// the messages' delays.
func (p *Predecessors) Add(s Predecessor, last bool, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, t := range p.known {
		if now > t.until {
			delete(p.known, k)
		}
	}
	t := p.known[s.Process]
	if t == nil {
		t = &takenOver{ahead: s.Clock - now, window: s.Window, until: now + s.KeepFor}
		p.known[s.Process] = t
	}
	t.ahead = max(t.ahead, s.Clock-now)
	t.complete = t.complete || last
}

// Complete reports whether a process handed everything over to this one.
func (p *Predecessors) Complete(s Process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.known[s]
	return t != nil && t.complete
}

// NeverStarted reports whether it is certain that nothing started under an identifier
// of a predecessor that has no adopted record. The predecessor kept each record at
// least until its identifier's window was over, so within the window a missing record
// means that there never was one; after it nothing can be told.
func (p *Predecessors) NeverStarted(id ID, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.known[id.Process()]
	return t != nil && t.complete && now+t.ahead < id.MintedAt+t.window
}

// All returns the predecessors as they have to be handed on.
func (p *Predecessors) All(now time.Duration) []Predecessor {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Predecessor
	for process, t := range p.known {
		if t.complete && now <= t.until {
			all = append(all, Predecessor{Process: process, Clock: now + t.ahead, Window: t.window, KeepFor: t.until - now})
		}
	}
	return all
}
