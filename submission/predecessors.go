package submission

import (
	"net/netip"
	"sync"
	"time"
)

// Process identifies a process by address and incarnation.
type Process struct {
	Owner       netip.AddrPort
	Incarnation uint64
}

// Process returns the process that minted the identifier.
func (id ID) Process() Process { return Process{Owner: id.Owner, Incarnation: id.Incarnation} }

// Predecessor is a process that stopped and handed over all records that it kept.
type Predecessor struct {
	Process Process
	// Clock is the reading of the clock from which the predecessor minted identifiers.
	Clock time.Duration
	// Window is the time after minting within which an identifier of the predecessor had
	// to be used first.
	Window time.Duration
	// KeepFor is the time for which a successor must still remember the predecessor.
	KeepFor time.Duration
}

// Predecessors holds the processes whose records this process took over. It is safe for
// concurrent use.
type Predecessors struct {
	mu     sync.Mutex
	states map[Process]*predecessorState
}

// predecessorState is the state of one predecessor.
type predecessorState struct {
	// clockAhead is a lower bound of how far the predecessor's clock is ahead of this
	// process's clock.
	clockAhead time.Duration
	window     time.Duration
	// forgetAfter is the time after which Add may delete the state.
	forgetAfter time.Duration
	// complete is set once this process has taken over all records of the predecessor.
	complete bool
}

// NewPredecessors returns an empty set.
func NewPredecessors() *Predecessors {
	return &Predecessors{states: make(map[Process]*predecessorState)}
}

// Add records one part of a predecessor's handover. last is set for the last part, when
// all parts have been taken over. The Clock of each part must be the time from which the
// keep times of its records count. now must be read before the records of the part are
// taken over. These two rules ensure that no record is dropped before the estimate of
// the predecessor's clock has passed the window of the record's identifier, whatever the
// message delays.
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

// Complete reports whether a process handed over all of its records to this process.
func (p *Predecessors) Complete(s Process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.states[s]
	return state != nil && state.complete
}

// NeverStarted reports whether it is certain that nothing started under an identifier of
// a predecessor that has no record here. The predecessor kept each record at least until
// the window of its identifier was over. So within the window a missing record means that
// there never was one; after the window a missing record proves nothing.
func (p *Predecessors) NeverStarted(id ID, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.states[id.Process()]
	return state != nil && state.complete && now+state.clockAhead < id.MintedAt+state.window
}

// All returns the predecessors to hand over to a successor of this process.
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
