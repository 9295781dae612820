package member

import "time"

// maxHops bounds the chain of successors that is followed.
const maxHops = 64

// succession is the successor of a stopped process, known until a time.
type successorRecord struct {
	Process
	expiresAt time.Duration
}

// SetSuccessor records who keeps the answers of a stopped process, to be known for a
// time. Hearing it again changes nothing: peers tell each other the time that is left,
// so that what they know runs out everywhere.
func (v *View) SetSuccessor(now time.Duration, stopped, successor Process, keep time.Duration) {
	if _, ok := v.successors[stopped]; ok || keep <= 0 || stopped == successor {
		return
	}
	v.successors[stopped] = successorRecord{Process: successor, expiresAt: now + keep}
}

// dropSuccessors forgets those whose time is over.
func (v *View) removeExpiredSuccessors(now time.Duration) {
	for p, s := range v.successors {
		if now >= s.expiresAt {
			delete(v.successors, p)
		}
	}
}

// Successor returns the process that keeps the answers of p now, following
// successors that stopped in turn; p itself when it is not known to have stopped.
func (v *View) Successor(p Process) Process {
	for range maxHops {
		next, ok := v.successors[p]
		if !ok {
			break
		}
		p = next.Process
	}
	return p
}

// Successors calls fn for each stopped process with its successor and the time for
// which that still has to be known.
func (v *View) Successors(now time.Duration, fn func(stopped, successor Process, keep time.Duration)) {
	for p, s := range v.successors {
		if now < s.expiresAt {
			fn(p, s.Process, s.expiresAt-now)
		}
	}
}
