package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A coordinator is back and lost again during a clearance: words of before would count.
func TestQuiescenceCheckRestartsAfterCoordinatorReturned(t *testing.T) {
	n := newTestNode(t)
	h := (*peerHandler)(n.Node)
	h.PeerUp(peer(2))
	h.PeerUp(peer(3))
	gone := peer(4)
	n.update(func(now time.Duration) { n.startQuiescenceCheck(now, gone.Process) })
	n.update(func(time.Duration) { n.handleQuiescent(peer(2).Process, gone.Process) }) // 3 is still stopping a run
	h.PeerUp(gone)                                                           // it orders something at 2
	h.PeerUnreachable(gone, true)
	n.update(func(now time.Duration) { n.startQuiescenceCheck(now, gone.Process) }) // for a job that it was granted meanwhile
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Assert(t, n.quiescence.checks[gone.Process].pending[peer(2).Process], "its earlier word counts")
}

// The same when all was clear: the clearance counts a second for jobs that the coordinator was granted since.
func TestCompletedQuiescenceCheckIsNotReused(t *testing.T) {
	n := newTestNode(t)
	h := (*peerHandler)(n.Node)
	gone := peer(4)
	n.update(func(now time.Duration) {
		n.startQuiescenceCheck(now, gone.Process)
		n.quiescenceTick(now)
		n.quiescenceTick(now)
	})
	assert.Assert(t, n.quiescence.checks[gone.Process] == nil, "it is used once")
	h.PeerUp(gone)
	h.PeerUnreachable(gone, true)
	n.update(func(now time.Duration) { n.startQuiescenceCheck(now, gone.Process) })
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Assert(t, n.quiescence.checks[gone.Process] != nil, "and asked anew for jobs of later")
}

// A clearance ends while its coordinator is in sight again: what is asked doesn't stay for ever.
func TestQuiescenceChecksOfReturnedCoordinatorAreRemoved(t *testing.T) {
	n := newTestNode(t)
	h := (*peerHandler)(n.Node)
	h.PeerUp(peer(2))
	gone := peer(4)
	n.update(func(now time.Duration) {
		n.startQuiescenceCheck(now, gone.Process)
		n.handleQuiescenceRequest(now, peer(2).Process, gone.Process)
	})
	h.PeerUp(gone)
	for range 40 {
		n.update(func(now time.Duration) { n.quiescenceTick(now + time.Minute) })
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Equal(t, len(n.quiescence.checks)+len(n.quiescence.requesters), 0)
}

// An executor sees a coordinator again after its word that nothing of it is there: that is taken back.
func TestQuiescenceConfirmationIsRevoked(t *testing.T) {
	n := newTestNode(t)
	(*peerHandler)(n.Node).PeerUp(peer(2))
	gone := peer(4).Process
	n.update(func(now time.Duration) {
		n.startQuiescenceCheck(now, gone)
		n.handleQuiescent(peer(2).Process, gone)
		n.handleQuiescenceRevoked(peer(2).Process, gone)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Assert(t, n.quiescence.checks[gone].pending[peer(2).Process])
}
