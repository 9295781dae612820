// Quiescence checks: executors confirm that no run of an unreachable coordinator is left, so that
// another daemon may start its jobs.

package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// leaseExpiry is the time from the loss of a peer to the expiry of the leases that it granted,
	// where no other daemon holds its workers and renews them.
	leaseExpiry = 1200 * time.Millisecond
	// quiescenceRetry is the time between requests to an executor that has not answered: a request
	// may have been lost with its link. An executor forgets a request that is not repeated within
	// quiescenceRequestTTL.
	quiescenceRetry      = time.Second
	quiescenceRequestTTL = 3 * quiescenceRetry
	// quiescenceAnswerTTL is how long after a confirmation an executor still revokes it, when the
	// coordinator is reachable again.
	quiescenceAnswerTTL = 10 * time.Second
)

// quiescenceChecks holds the checks whether executors still have runs of coordinators that are
// unreachable, and so can't be asked for their jobs. Guarded by the node's lock.
type quiescenceChecks struct {
	// checks are this daemon's own checks, by coordinator.
	checks map[member.Process]*quiescenceCheck
	// requesters holds, by coordinator, the daemons that requested a confirmation and when they
	// last did; answered those that got one and when.
	requesters, answered map[member.Process]map[member.Process]time.Duration
	// unreachable are the unreachable peers, for as long as runs on their workers may go on.
	unreachable map[member.Process]unreachablePeer
}

type unreachablePeer struct {
	since  time.Duration
	weight float64
}

type quiescenceCheck struct {
	// pending are the executors that have not answered; leasesExpiredAt is when the leases that
	// unreachable peers granted have expired.
	pending         map[member.Process]bool
	leasesExpiredAt time.Duration
	requestedAt     time.Duration
}

func newQuiescenceChecks() quiescenceChecks {
	return quiescenceChecks{
		checks: make(map[member.Process]*quiescenceCheck), unreachable: make(map[member.Process]unreachablePeer),
		requesters: make(map[member.Process]map[member.Process]time.Duration), answered: make(map[member.Process]map[member.Process]time.Duration),
	}
}

// startQuiescenceCheck asks all executors to confirm that they have no more runs of a coordinator.
// Unreachable executors can't confirm it: the check waits until their leases expire. The caller
// holds the lock.
func (n *Node) startQuiescenceCheck(now time.Duration, coordinator member.Process) {
	if n.quiescence.checks[coordinator] != nil {
		return
	}
	c := &quiescenceCheck{pending: map[member.Process]bool{n.self.Process: true}, requestedAt: now}
	n.quiescence.checks[coordinator] = c
	for _, k := range n.fleet.peers {
		if k.up {
			c.pending[k.Process] = true
		}
	}
	for _, u := range n.quiescence.unreachable {
		c.leasesExpiredAt = max(c.leasesExpiredAt, u.since+leaseExpiry)
	}
	n.requestQuiescenceOfAll(now, coordinator, c)
	n.log.WithFields(logrus.Fields{"event": "clearance_asked", "coordinator": coordinator.Address, "executors": len(c.pending)}).Info()
}

// requestQuiescenceOfAll asks the executors that have not answered.
func (n *Node) requestQuiescenceOfAll(now time.Duration, coordinator member.Process, c *quiescenceCheck) {
	c.requestedAt = now
	for executor := range c.pending {
		n.requestQuiescence(now, executor, coordinator)
	}
}

func (n *Node) requestQuiescence(now time.Duration, executor, coordinator member.Process) {
	if executor == n.self.Process {
		n.handleQuiescenceRequest(now, executor, coordinator)
		return
	}
	n.mesh.Send(executor, &schema.Frame{Body: &schema.Frame_CoordinatorInquiry{CoordinatorInquiry: &schema.CoordinatorInquiry{
		Address: coordinator.Address.String(), Incarnation: coordinator.Incarnation,
	}}})
}

// quiescencePeerUp handles a peer that is reachable again. As a coordinator it can be asked itself,
// and may order new runs: confirmations about it are void. As an executor it is asked, as its own
// answer is more reliable than the wait for its leases. The caller holds the lock.
func (n *Node) quiescencePeerUp(now time.Duration, p member.Process) {
	delete(n.quiescence.unreachable, p)
	delete(n.quiescence.checks, p)
	for requester := range n.quiescence.answered[p] {
		n.sendQuiescence(requester, p, true)
	}
	delete(n.quiescence.answered, p)
	for coordinator, c := range n.quiescence.checks {
		c.pending[p] = true
		n.requestQuiescence(now, p, coordinator)
	}
	if n.coordinator.AwaitQuiescence(p) {
		n.requestQuiescence(now, p, n.self.Process)
	}
}

// handleQuiescenceRequest notes that a daemon requests a confirmation when this executor has no
// more runs of a coordinator. The caller holds the lock.
func (n *Node) handleQuiescenceRequest(now time.Duration, requester, coordinator member.Process) {
	recordTime(n.quiescence.requesters, coordinator, requester, now)
}

func recordTime(m map[member.Process]map[member.Process]time.Duration, coordinator, requester member.Process, now time.Duration) {
	if m[coordinator] == nil {
		m[coordinator] = make(map[member.Process]time.Duration)
	}
	m[coordinator][requester] = now
}

// handleQuiescent handles an executor's confirmation that it has no more runs of a coordinator. The
// caller holds the lock.
func (n *Node) handleQuiescent(from, coordinator member.Process) {
	if coordinator == n.self.Process {
		n.coordinator.HandleQuiescence(from)
		return
	}
	if c := n.quiescence.checks[coordinator]; c != nil {
		delete(c.pending, from)
	}
}

// handleQuiescenceRevoked handles an executor's report that it reaches the coordinator again, which
// voids its confirmation. The caller holds the lock.
func (n *Node) handleQuiescenceRevoked(from, coordinator member.Process) {
	if c := n.quiescence.checks[coordinator]; c != nil {
		c.pending[from] = true
	}
}

// peerUnreachable notes that a peer is unreachable.
func (c *quiescenceChecks) peerUnreachable(now time.Duration, p mesh.Peer) {
	c.unreachable[p.Process] = unreachablePeer{now, p.Weight}
	for _, check := range c.checks {
		if check.pending[p.Process] {
			delete(check.pending, p.Process)
			check.leasesExpiredAt = max(check.leasesExpiredAt, now+leaseExpiry)
		}
	}
	for _, requesters := range c.requesters {
		delete(requesters, p.Process)
	}
}

// quiescenceTick answers the requests that can be confirmed by now, and completes this daemon's own
// checks or repeats their requests. The caller holds the lock.
func (n *Node) quiescenceTick(now time.Duration) {
	n.answerQuiescenceRequests(now)
	for coordinator, c := range n.quiescence.checks {
		switch {
		case len(c.pending) == 0 && now >= c.leasesExpiredAt:
			delete(n.quiescence.checks, coordinator)
			n.log.WithFields(logrus.Fields{"event": "coordinator_cleared", "coordinator": coordinator.Address}).Info()
			n.starts.HandleQuiescence(now, coordinator)
		case now-c.requestedAt >= quiescenceRetry:
			n.requestQuiescenceOfAll(now, coordinator, c)
		}
	}
	for coordinator, u := range n.quiescence.unreachable {
		if now-u.since > leaseExpiry {
			delete(n.quiescence.unreachable, coordinator)
		}
	}
	removeOlder(n.quiescence.requesters, now-quiescenceRequestTTL)
	removeOlder(n.quiescence.answered, now-quiescenceAnswerTTL)
}

// removeOlder removes the elements from before a time.
func removeOlder(m map[member.Process]map[member.Process]time.Duration, before time.Duration) {
	for p, list := range m {
		for requester, at := range list {
			if at < before {
				delete(list, requester)
			}
		}
		if len(list) == 0 {
			delete(m, p)
		}
	}
}

// answerQuiescenceRequests confirms the requests about coordinators of which no run is left here.
func (n *Node) answerQuiescenceRequests(now time.Duration) {
	for coordinator, list := range n.quiescence.requesters {
		for requester := range list {
			if n.isQuiescent(now, coordinator, requester) {
				delete(list, requester)
				recordTime(n.quiescence.answered, coordinator, requester, now)
				n.sendQuiescence(requester, coordinator, false)
			}
		}
	}
}

// isQuiescent reports whether this executor has no more runs of a coordinator, for the request of a
// daemon. A coordinator that asks about itself asks for its runs from before it was unreachable.
func (n *Node) isQuiescent(now time.Duration, coordinator, requester member.Process) bool {
	if coordinator == requester && coordinator != n.self.Process {
		return n.executor.QuiescentAfterReturn(now, coordinator)
	}
	return !(*startView)(n).Reachable(coordinator) && n.executor.Quiescent(now, coordinator)
}

func (n *Node) sendQuiescence(to, coordinator member.Process, revoked bool) {
	switch {
	case to != n.self.Process:
		n.mesh.Send(to, &schema.Frame{Body: &schema.Frame_CoordinatorCleared{CoordinatorCleared: &schema.CoordinatorCleared{
			Address: coordinator.Address.String(), Incarnation: coordinator.Incarnation, Back: revoked,
		}}})
	case !revoked:
		n.handleQuiescent(to, coordinator)
	}
}
