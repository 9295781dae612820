package arbiter

import (
	"container/heap"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

// maxGrants is the maximum number of grants in memory. Above it, the arbiter drops the grants that
// expire first.
const maxGrants = 50000

// Attempt identifies one attempt of a coordinator to run a job. The same daemon can attempt a job
// several times. A statement about one attempt says nothing about a later one.
type Attempt struct {
	Process member.Process
	// Number increases with each attempt of the process, at any job.
	Number uint64
}

// GrantRequest asks an arbiter for the right to start a job.
type GrantRequest struct {
	Job string
	// From is the attempt of the requesting coordinator.
	From Attempt
	// GrantDuration is how long the grant is valid.
	GrantDuration time.Duration
	// NotRunning is the last attempt of another coordinator that is known to have nothing running
	// any more. It is the zero value if there is none.
	NotRunning Attempt
}

// Verdict is an arbiter's reply to a GrantRequest.
type Verdict struct {
	Granted bool
	// Holder is the attempt that may be running the job. It is set if the request is not granted.
	Holder Attempt
}

type grant struct {
	job       string
	holder    Attempt
	expiresAt time.Duration
}

// Arbiter records which coordinator may start which job. It is not safe for concurrent use.
type Arbiter struct {
	grants map[string]*grant
	// byExpiry orders the grants by their expiry. Replaced and released grants stay in it until they
	// expire or maxGrants is reached.
	byExpiry expiryHeap
}

// New returns an arbiter that has granted nothing.
func New() *Arbiter { return &Arbiter{grants: make(map[string]*grant)} }

// HandleRequest answers a request. If the requester knows that the current holder has nothing
// running, the request displaces the holder. The caller must then notify the displaced holder: it
// may still be alive, and unreachable for the requester only.
func (a *Arbiter) HandleRequest(now time.Duration, req GrantRequest) (v Verdict, displaced member.Process) {
	g := a.grants[req.Job]
	if g != nil && g.holder.Process != req.From.Process && now < g.expiresAt {
		if g.holder.Process != req.NotRunning.Process || g.holder.Number > req.NotRunning.Number {
			return Verdict{Holder: g.holder}, member.Process{}
		}
		displaced = g.holder.Process
	}
	if g != nil && g.holder.Process == req.From.Process && g.holder.Number > req.From.Number {
		return Verdict{Holder: g.holder}, member.Process{} // a delayed request of an earlier attempt
	}
	for len(a.byExpiry) >= maxGrants {
		a.removeEarliest()
	}
	n := &grant{req.Job, req.From, now + req.GrantDuration}
	a.grants[req.Job] = n
	heap.Push(&a.byExpiry, n)
	return Verdict{Granted: true}, displaced
}

// removeEarliest removes the grant that expires first.
func (a *Arbiter) removeEarliest() {
	if g := heap.Pop(&a.byExpiry).(*grant); a.grants[g.job] == g {
		delete(a.grants, g.job)
	}
}

// Release removes the grant of a job. Its coordinator has reported that nothing of the attempt, or of
// an earlier one, runs any more.
func (a *Arbiter) Release(job string, t Attempt) {
	if g := a.grants[job]; g != nil && g.holder.Process == t.Process && g.holder.Number <= t.Number {
		delete(a.grants, job)
	}
}

// RemoveExpired removes the grants that have expired.
func (a *Arbiter) RemoveExpired(now time.Duration) {
	for len(a.byExpiry) > 0 && now >= a.byExpiry[0].expiresAt {
		a.removeEarliest()
	}
}

// GrantCount returns the number of grants in memory.
func (a *Arbiter) GrantCount() int { return len(a.grants) }

// expiryHeap orders grants by their expiry; the first to expire is in front.
type expiryHeap []*grant

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, k int) bool { return h[i].expiresAt < h[k].expiresAt }
func (h expiryHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*grant)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
