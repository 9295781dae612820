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
	mu     sync.Mutex
	states map[Process]*predecessorState
}

// takenOver is what is known of a predecessor.
type predecessorState struct {
	// ahead is what its clock is ahead of this process's, at least.
	clockAhead time.Duration
	window     time.Duration
	// until is the time at which it may be forgotten.
	forgetAfter time.Duration
	// complete is set once all its records have been adopted.
	complete bool
}

// NewPredecessors returns an empty set.
func NewPredecessors() *Predecessors {
	return &Predecessors{states: make(map[Process]*predecessorState)}
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
	for k, state := range p.states {
		if now > state.forgetAfter {
			delete(p.states, k)
		}
	}
	state := p.states[s.Process]
	if state == nil {
		state = &predecessorState{clockAhead: s.Clock - now, window: s.Window, forgetAfter: now + s.KeepFor}
		p.states[s.Process] = state
	}
	state.clockAhead = max(state.clockAhead, s.Clock-now)
	state.complete = state.complete || last
}

// Complete reports whether a process handed everything over to this one.
func (p *Predecessors) Complete(s Process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.states[s]
	return state != nil && state.complete
}

// NeverStarted reports whether it is certain that nothing started under an identifier
// of a predecessor that has no adopted record. The predecessor kept each record at
// least until its identifier's window was over, so within the window a missing record
// means that there never was one; after it nothing can be told.
func (p *Predecessors) NeverStarted(id ID, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.states[id.Process()]
	return state != nil && state.complete && now+state.clockAhead < id.MintedAt+state.window
}

// All returns the predecessors as they have to be handed on.
func (p *Predecessors) All(now time.Duration) []Predecessor {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Predecessor
	for process, state := range p.states {
		if state.complete && now <= state.forgetAfter {
			all = append(all, Predecessor{Process: process, Clock: now + state.clockAhead, Window: state.window, KeepFor: state.forgetAfter - now})
		}
	}
	return all
}
