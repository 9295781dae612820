package arbiter

import (
	"container/heap"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

// maxGrants bounds the grants that are remembered. Beyond it those that end next are dropped.
const maxGrants = 50000

// Attempt is one of a coordinator's tries at a job. It may come to the same daemon again, and what that
// has said of one try says nothing of a later one.
type Attempt struct {
	Process member.Process
	// Number grows with each try of the process.
	Number uint64
}

// GrantRequest asks an arbiter for the right to start a job.
type GrantRequest struct {
	Job string
	// From asks.
	From Attempt
	// GrantDuration is for how long it may have the job under way.
	GrantDuration time.Duration
	// NotRunning is the last try of another coordinator of which nothing runs any more; the zero value for none.
	NotRunning Attempt
}

// Verdict is an arbiter's answer.
type Verdict struct {
	Granted bool
	// Holder is the try that may have the job under way, where it is not granted.
	Holder Attempt
}

type grant struct {
	job       string
	holder    Attempt
	expiresAt time.Duration
}

// Arbiter remembers who may start which job. It is not safe for concurrent use.
type Arbiter struct {
	grants map[string]*grant
	// ends holds the grants, the one that ends first in front; those that were given back too, until then.
	byExpiry expiryHeap
}

// New returns an arbiter that has granted nothing.
func New() *Arbiter { return &Arbiter{grants: make(map[string]*grant)} }

// HandleRequest answers a question. A holder of which another one knows that nothing runs is displaced; it
// has to be told, as it may be there still, beyond the sight of the one that asks.
func (a *Arbiter) HandleRequest(now time.Duration, q GrantRequest) (v Verdict, displaced member.Process) {
	g := a.grants[q.Job]
	if g != nil && g.holder.Process != q.From.Process && now < g.expiresAt {
		if g.holder.Process != q.NotRunning.Process || g.holder.Number > q.NotRunning.Number {
			return Verdict{Holder: g.holder}, member.Process{}
		}
		displaced = g.holder.Process
	}
	if g != nil && g.holder.Process == q.From.Process && g.holder.Number > q.From.Number {
		return Verdict{Holder: g.holder}, member.Process{} // a question of an earlier try, held up
	}
	for len(a.byExpiry) >= maxGrants {
		a.removeEarliest()
	}
	n := &grant{q.Job, q.From, now + q.GrantDuration}
	a.grants[q.Job] = n
	heap.Push(&a.byExpiry, n)
	return Verdict{Granted: true}, displaced
}

func (a *Arbiter) removeEarliest() {
	if g := heap.Pop(&a.byExpiry).(*grant); a.grants[g.job] == g {
		delete(a.grants, g.job)
	}
}

// Release takes a coordinator's word that nothing of a try, and of those before, runs any more.
func (a *Arbiter) Release(job string, t Attempt) {
	if g := a.grants[job]; g != nil && g.holder.Process == t.Process && g.holder.Number <= t.Number {
		delete(a.grants, job)
	}
}

// RemoveExpired forgets what is over.
func (a *Arbiter) RemoveExpired(now time.Duration) {
	for len(a.byExpiry) > 0 && now >= a.byExpiry[0].expiresAt {
		a.removeEarliest()
	}
}

// GrantCount returns the number of grants that are remembered.
func (a *Arbiter) GrantCount() int { return len(a.grants) }

// byEnd is a heap of grants by their ends.
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
