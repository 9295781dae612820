package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// leaseOver is how long after a peer is lost the leases that it granted have lapsed, where nobody
	// else holds its workers and renews them.
	leaseExpiry = 1200 * time.Millisecond
	// reaskClearance is the time between questions to an executor that has not answered: one may have
	// been lost with its link. An executor forgets a question that is not asked again for askedFor.
	quiescenceRetry = time.Second
	quiescenceRequestTTL       = 3 * quiescenceRetry
	// toldFor is how long an executor takes its word back when the coordinator is in sight again.
	quiescenceAnswerTTL = 10 * time.Second
)

// clearances are about coordinators that can't be asked for their jobs: whether executors still
// have something that those ordered. Guarded by the node's lock.
type quiescenceChecks struct {
	// wanted are the coordinators that this daemon wants to be cleared.
	checks map[member.Process]*quiescenceCheck
	// asked and told are, by coordinator, the daemons that want to know of it, and were told, and when
	// they last asked or were told.
	requesters, answered map[member.Process]map[member.Process]time.Duration
	// lost are peers out of sight, for as long as their workers may run on.
	unreachable map[member.Process]unreachablePeer
}

type unreachablePeer struct {
	since     time.Duration
	weight float64
}

type quiescenceCheck struct {
	// waits are the executors that have not answered; overBy is when the leases of lost ones are over.
	pending   map[member.Process]bool
	leasesExpiredAt  time.Duration
	requestedAt time.Duration
}

func newQuiescenceChecks() quiescenceChecks {
	return quiescenceChecks{
		checks: make(map[member.Process]*quiescenceCheck), unreachable: make(map[member.Process]unreachablePeer),
		requesters: make(map[member.Process]map[member.Process]time.Duration), answered: make(map[member.Process]map[member.Process]time.Duration),
	}
}

// wantCleared asks all executors to tell when nothing of a coordinator is there any more. Those
// that were lost themselves can't: their leases are waited for. The lock is held.
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
	for _, l := range n.quiescence.unreachable {
		c.leasesExpiredAt = max(c.leasesExpiredAt, l.since+leaseExpiry)
	}
	n.requestQuiescenceOfAll(now, coordinator, c)
	n.log.WithFields(logrus.Fields{"event": "clearance_asked", "coordinator": coordinator.Address, "executors": len(c.pending)}).Info()
}

// askClearances asks the executors that have not answered.
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

// clearanceFound notes that a daemon is in sight again. As a coordinator it is to be asked itself,
// and may order something anew: words on it are void. As an executor its own word counts more than
// a wait. The lock is held.
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

// clearanceAsked notes that a daemon wants to know when nothing of a coordinator is here. The lock
// is held.
func (n *Node) handleQuiescenceRequest(now time.Duration, requester, coordinator member.Process) {
	recordTime(n.quiescence.requesters, coordinator, requester, now)
}

func recordTime(m map[member.Process]map[member.Process]time.Duration, coordinator, requester member.Process, now time.Duration) {
	if m[coordinator] == nil {
		m[coordinator] = make(map[member.Process]time.Duration)
	}
	m[coordinator][requester] = now
}

// clearedBy takes an executor's word that nothing of a coordinator is there. The lock is held.
func (n *Node) handleQuiescent(from, coordinator member.Process) {
	if coordinator == n.self.Process {
		n.coordinator.HandleQuiescence(from)
		return
	}
	if c := n.quiescence.checks[coordinator]; c != nil {
		delete(c.pending, from)
	}
}

// clearanceTakenBack notes that an executor sees a coordinator again. The lock is held.
func (n *Node) handleQuiescenceRevoked(from, coordinator member.Process) {
	if c := n.quiescence.checks[coordinator]; c != nil {
		c.pending[from] = true
	}
}

// peerLost notes that a peer is out of sight.
func (c *quiescenceChecks) peerUnreachable(now time.Duration, p mesh.Peer) {
	c.unreachable[p.Process] = unreachablePeer{now, p.Weight}
	for _, w := range c.checks {
		if w.pending[p.Process] {
			delete(w.pending, p.Process)
			w.leasesExpiredAt = max(w.leasesExpiredAt, now+leaseExpiry)
		}
	}
	for _, requesters := range c.requesters {
		delete(requesters, p.Process)
	}
}

// clearancesTick answers what is clear by now, and acts on what others have answered. The lock is
// held.
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
	for coordinator, l := range n.quiescence.unreachable {
		if now-l.since > leaseExpiry {
			delete(n.quiescence.unreachable, coordinator)
		}
	}
	removeOlder(n.quiescence.requesters, now-quiescenceRequestTTL)
	removeOlder(n.quiescence.answered, now-quiescenceAnswerTTL)
}

// forget drops what is of before a time.
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

// answerClearances tells those that have asked of coordinators of which nothing is here.
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

// clearOf reports whether nothing of a coordinator is here, as far as another one asks: of itself
// a coordinator asks for what was here before it was lost.
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
