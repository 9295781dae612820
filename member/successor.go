// Successors: which process keeps the answers of a stopped one.

package member

import "time"

// maxHops limits the length of the chain of successors that Successor follows.
const maxHops = 64

// successorRecord is the successor of a stopped process, with the record's expiry.
type successorRecord struct {
	Process
	expiresAt time.Duration
}

// SetSuccessor records for a limited time which process keeps the answers of a stopped process. A repeated
// report changes nothing. Peers report the remaining time to each other, so the record expires at all of
// them.
func (v *View) SetSuccessor(now time.Duration, stopped, successor Process, keep time.Duration) {
	if _, ok := v.successors[stopped]; ok || keep <= 0 || stopped == successor {
		return
	}
	v.successors[stopped] = successorRecord{Process: successor, expiresAt: now + keep}
}

// removeExpiredSuccessors removes the successors whose time has passed.
func (v *View) removeExpiredSuccessors(now time.Duration) {
	for p, s := range v.successors {
		if now >= s.expiresAt {
			delete(v.successors, p)
		}
	}
}

// Successor returns the process that keeps the answers of p now. It follows successors that have stopped
// in turn. It returns p itself if p is not known to have stopped.
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

// Successors calls fn for each stopped process with its successor and the time for which the record is
// still valid.
func (v *View) Successors(now time.Duration, fn func(stopped, successor Process, keep time.Duration)) {
	for p, s := range v.successors {
		if now < s.expiresAt {
			fn(p, s.Process, s.expiresAt-now)
		}
	}
}
