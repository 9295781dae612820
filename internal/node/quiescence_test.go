package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A coordinator returns and is lost again during a quiescence check. An earlier confirmation must
// not count.
func TestQuiescenceCheckRestartsAfterCoordinatorReturned(t *testing.T) {
	n := newTestNode(t)
	h := (*peerHandler)(n.Node)
	h.PeerUp(peer(2))
	h.PeerUp(peer(3))
	coordinator := peer(4)
	n.update(func(now time.Duration) { n.startQuiescenceCheck(now, coordinator.Process) })
	// Peer 3 is still stopping a run.
	n.update(func(time.Duration) { n.handleQuiescent(peer(2).Process, coordinator.Process) })
	h.PeerUp(coordinator) // it orders a run at 2
	h.PeerUnreachable(coordinator, true)
	// A check for a job that the coordinator was granted meanwhile.
	n.update(func(now time.Duration) { n.startQuiescenceCheck(now, coordinator.Process) })
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Assert(t, n.quiescence.checks[coordinator.Process].pending[peer(2).Process], "the earlier confirmation counts")
}

// The same after the check: a completed check must not count for jobs granted to the coordinator
// later.
func TestCompletedQuiescenceCheckIsNotReused(t *testing.T) {
	n := newTestNode(t)
	h := (*peerHandler)(n.Node)
	coordinator := peer(4)
	n.update(func(now time.Duration) {
		n.startQuiescenceCheck(now, coordinator.Process)
		n.quiescenceTick(now)
		n.quiescenceTick(now)
	})
	assert.Assert(t, n.quiescence.checks[coordinator.Process] == nil, "a completed check is removed")
	h.PeerUp(coordinator)
	h.PeerUnreachable(coordinator, true)
	n.update(func(now time.Duration) { n.startQuiescenceCheck(now, coordinator.Process) })
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Assert(t, n.quiescence.checks[coordinator.Process] != nil, "a new check is needed for later jobs")
}

// A coordinator returns and no one repeats a request about it. Checks and requests must not
// accumulate.
func TestQuiescenceChecksOfReturnedCoordinatorAreRemoved(t *testing.T) {
	n := newTestNode(t)
	h := (*peerHandler)(n.Node)
	h.PeerUp(peer(2))
	coordinator := peer(4)
	n.update(func(now time.Duration) {
		n.startQuiescenceCheck(now, coordinator.Process)
		n.handleQuiescenceRequest(now, peer(2).Process, coordinator.Process)
	})
	h.PeerUp(coordinator)
	for range 40 {
		n.update(func(now time.Duration) { n.quiescenceTick(now + time.Minute) })
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Equal(t, len(n.quiescence.checks)+len(n.quiescence.requesters), 0)
}

// An executor reaches a coordinator again after its confirmation. The revoked confirmation must not
// count.
func TestQuiescenceConfirmationIsRevoked(t *testing.T) {
	n := newTestNode(t)
	(*peerHandler)(n.Node).PeerUp(peer(2))
	coordinator := peer(4).Process
	n.update(func(now time.Duration) {
		n.startQuiescenceCheck(now, coordinator)
		n.handleQuiescent(peer(2).Process, coordinator)
		n.handleQuiescenceRevoked(peer(2).Process, coordinator)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Assert(t, n.quiescence.checks[coordinator].pending[peer(2).Process])
}
