package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/ledger"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/routing"
)

func notice(job string) registry.Changes {
	return registry.Changes{Items: []registry.Item{{Kind: registry.CanceledJob, ID: job}}}
}

// countCancelMessages counts the messages to executors that take back tasks.
func (n *testNode) countCancelMessages() (count int) {
	for _, m := range n.coordinator.Drain().Messages {
		count += len(m.Withdraw) + len(m.WithdrawDurable)
	}
	return count
}

// Another daemon cancels a job and its report is lost. The notice alone must make the owner take the
// job's tasks back and show the job as canceled; handled again it must change nothing.
func TestNoticeCancelsOwnedJob(t *testing.T) {
	n := newTestNode(t)
	n.addOwnedJob("a")
	n.coordinator.Drain()
	for _, want := range []int{1, 0} {
		n.mu.Lock()
		n.handleNotice(n.now, "a")
		assert.Equal(t, n.countCancelMessages(), want)
		n.mu.Unlock()
		assert.Assert(t, !n.durable.ledger.Has("a"))
		assert.Equal(t, n.localState("a"), ledger.Canceled)
	}
}

// A refused write tells the owner that a job is not its own any more, before the notice arrives. The
// notice must still make the daemon, and through it its peers, show the job as canceled.
func TestNoticeAfterRefusedWrite(t *testing.T) {
	n := newTestNode(t)
	n.addOwnedJob("a")
	n.durable.states.put("a", knownState{ledger.Queued, n.self.Incarnation, n.now}, time.Hour)
	n.applyLedgerEvents(n.now, []ledger.Event{{Kind: ledger.OwnershipLost, Record: ledger.Record{Job: durableJob("a")}}})
	n.durable.ledger.HandleCancellation("a")
	assert.Equal(t, n.localState("a"), ledger.State(0))
	cancellationFollower{n.Node}.HandleChanges(notice("a"))
	assert.Equal(t, n.localState("a"), ledger.Canceled)
}

// A job is stored between the two reads of a daemon that cancels it: there was no record, but there is a
// state. The caller must not be told that the job has ended.
func TestCancellationOfJobBeingStored(t *testing.T) {
	n := newTestNode(t)
	n.platform.Ledger = singleStateStore{known: "a"}
	_, _, done := n.cancelStored(context.Background(), "a")
	assert.Assert(t, !done)
	out, _, done := n.cancelStored(context.Background(), "other")
	assert.Assert(t, done)
	assert.Equal(t, out, NoSuchJob)
}

// A daemon that owns no jobs must not read notices; it must read them as soon as it owns one.
func TestNoticesAreReadWhileJobsAreOwned(t *testing.T) {
	n := newTestNode(t)
	due := make(chan int64, 1)
	go func() { due <- cancellationFollower{n.Node}.WaitUntilDue(context.Background(), 7) }()
	select {
	case <-due:
		t.Fatal("notices are read for no jobs")
	case <-time.After(50 * time.Millisecond):
	}
	n.mu.Lock()
	waiting, _ := n.addDurable(n.now, Request{ID: "a", Route: &routing.Route{Name: "r", Service: "s"}, Steps: []coordinator.Step{{Count: 1}}})
	n.mu.Unlock()
	assert.Assert(t, waiting != nil)
	select {
	case revision := <-due:
		assert.Equal(t, revision, int64(7))
	case <-time.After(5 * time.Second):
		t.Fatal("notices are not read")
	}
}
