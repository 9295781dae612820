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
	leaseOver = 1200 * time.Millisecond
	// reaskClearance is the time between questions to an executor that has not answered: one may have
	// been lost with its link. An executor forgets a question that is not asked again for askedFor.
	reaskClearance = time.Second
	askedFor       = 3 * reaskClearance
	// toldFor is how long an executor takes its word back when the coordinator is in sight again.
	toldFor = 10 * time.Second
)

// clearances are about coordinators that can't be asked for their jobs: whether executors still
// have something that those ordered. Guarded by the node's lock.
type clearances struct {
	// wanted are the coordinators that this daemon wants to be cleared.
	wanted map[member.Process]*clearance
	// asked and told are, by coordinator, the daemons that want to know of it, and were told, and when
	// they last asked or were told.
	asked, told map[member.Process]map[member.Process]time.Duration
	// lost are peers out of sight, for as long as their workers may run on.
	lost map[member.Process]lostPeer
}

type lostPeer struct {
	at     time.Duration
	weight float64
}

type clearance struct {
	// waits are the executors that have not answered; overBy is when the leases of lost ones are over.
	waits   map[member.Process]bool
	overBy  time.Duration
	askedAt time.Duration
}

func newClearances() clearances {
	return clearances{
		wanted: make(map[member.Process]*clearance), lost: make(map[member.Process]lostPeer),
		asked: make(map[member.Process]map[member.Process]time.Duration), told: make(map[member.Process]map[member.Process]time.Duration),
	}
}

// wantCleared asks all executors to tell when nothing of a coordinator is there any more. Those
// that were lost themselves can't: their leases are waited for. The lock is held.
func (n *Node) wantCleared(now time.Duration, p member.Process) {
	if n.clearances.wanted[p] != nil {
		return
	}
	c := &clearance{waits: map[member.Process]bool{n.self.Process: true}, askedAt: now}
	n.clearances.wanted[p] = c
	for _, k := range n.fleet.up {
		if k.up {
			c.waits[k.Process] = true
		}
	}
	for _, l := range n.clearances.lost {
		c.overBy = max(c.overBy, l.at+leaseOver)
	}
	n.askClearances(now, p, c)
	n.log.WithFields(logrus.Fields{"event": "clearance_asked", "coordinator": p.Address, "executors": len(c.waits)}).Info()
}

// askClearances asks the executors that have not answered.
func (n *Node) askClearances(now time.Duration, p member.Process, c *clearance) {
	c.askedAt = now
	for of := range c.waits {
		n.askClearance(now, of, p)
	}
}

func (n *Node) askClearance(now time.Duration, of, p member.Process) {
	if of == n.self.Process {
		n.clearanceAsked(now, of, p)
		return
	}
	n.mesh.Send(of, &schema.Frame{Body: &schema.Frame_CoordinatorInquiry{CoordinatorInquiry: &schema.CoordinatorInquiry{
		Address: p.Address.String(), Incarnation: p.Incarnation,
	}}})
}

// clearanceFound notes that a daemon is in sight again. As a coordinator it is to be asked itself,
// and may order something anew: words on it are void. As an executor its own word counts more than
// a wait. The lock is held.
func (n *Node) clearanceFound(now time.Duration, p member.Process) {
	delete(n.clearances.lost, p)
	delete(n.clearances.wanted, p)
	for by := range n.clearances.told[p] {
		n.tellCleared(by, p, true)
	}
	delete(n.clearances.told, p)
	for coordinator, c := range n.clearances.wanted {
		c.waits[p] = true
		n.askClearance(now, p, coordinator)
	}
	if n.coordinator.AwaitQuiescence(p) {
		n.askClearance(now, p, n.self.Process)
	}
}

// clearanceAsked notes that a daemon wants to know when nothing of a coordinator is here. The lock
// is held.
func (n *Node) clearanceAsked(now time.Duration, by, p member.Process) {
	note(n.clearances.asked, p, by, now)
}

func note(m map[member.Process]map[member.Process]time.Duration, p, by member.Process, now time.Duration) {
	if m[p] == nil {
		m[p] = make(map[member.Process]time.Duration)
	}
	m[p][by] = now
}

// clearedBy takes an executor's word that nothing of a coordinator is there. The lock is held.
func (n *Node) clearedBy(from, p member.Process) {
	if p == n.self.Process {
		n.coordinator.HandleQuiescence(from)
		return
	}
	if c := n.clearances.wanted[p]; c != nil {
		delete(c.waits, from)
	}
}

// clearanceTakenBack notes that an executor sees a coordinator again. The lock is held.
func (n *Node) clearanceTakenBack(from, p member.Process) {
	if c := n.clearances.wanted[p]; c != nil {
		c.waits[from] = true
	}
}

// peerLost notes that a peer is out of sight.
func (c *clearances) peerLost(now time.Duration, p mesh.Peer) {
	c.lost[p.Process] = lostPeer{now, p.Weight}
	for _, w := range c.wanted {
		if w.waits[p.Process] {
			delete(w.waits, p.Process)
			w.overBy = max(w.overBy, now+leaseOver)
		}
	}
	for _, by := range c.asked {
		delete(by, p.Process)
	}
}

// clearancesTick answers what is clear by now, and acts on what others have answered. The lock is
// held.
func (n *Node) clearancesTick(now time.Duration) {
	n.answerClearances(now)
	for p, c := range n.clearances.wanted {
		switch {
		case len(c.waits) == 0 && now >= c.overBy:
			delete(n.clearances.wanted, p)
			n.log.WithFields(logrus.Fields{"event": "coordinator_cleared", "coordinator": p.Address}).Info()
			n.starts.HandleQuiescence(now, p)
		case now-c.askedAt >= reaskClearance:
			n.askClearances(now, p, c)
		}
	}
	for p, l := range n.clearances.lost {
		if now-l.at > leaseOver {
			delete(n.clearances.lost, p)
		}
	}
	forget(n.clearances.asked, now-askedFor)
	forget(n.clearances.told, now-toldFor)
}

// forget drops what is of before a time.
func forget(m map[member.Process]map[member.Process]time.Duration, before time.Duration) {
	for p, list := range m {
		for by, at := range list {
			if at < before {
				delete(list, by)
			}
		}
		if len(list) == 0 {
			delete(m, p)
		}
	}
}

// answerClearances tells those that have asked of coordinators of which nothing is here.
func (n *Node) answerClearances(now time.Duration) {
	for p, list := range n.clearances.asked {
		for by := range list {
			if n.clearOf(now, p, by) {
				delete(list, by)
				note(n.clearances.told, p, by, now)
				n.tellCleared(by, p, false)
			}
		}
	}
}

// clearOf reports whether nothing of a coordinator is here, as far as another one asks: of itself
// a coordinator asks for what was here before it was lost.
func (n *Node) clearOf(now time.Duration, p, by member.Process) bool {
	if p == by && p != n.self.Process {
		return n.executor.QuiescentAfterReturn(now, p)
	}
	return !(*startView)(n).Reachable(p) && n.executor.Quiescent(now, p)
}

func (n *Node) tellCleared(to, p member.Process, back bool) {
	switch {
	case to != n.self.Process:
		n.mesh.Send(to, &schema.Frame{Body: &schema.Frame_CoordinatorCleared{CoordinatorCleared: &schema.CoordinatorCleared{
			Address: p.Address.String(), Incarnation: p.Incarnation, Back: back,
		}}})
	case !back:
		n.clearedBy(to, p)
	}
}
