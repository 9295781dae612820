package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// Fencing tokens of the holding epochs of worker w2: that of peerB, an earlier and a later one.
const (
	earlier = 5
	current = 9
	later   = 12
)

// peerHoldsW2 reports that peerB holds w2 under the current token, and that self has no free capacity.
func (r *rig) peerHoldsW2() {
	w := workerWith("w2", 1)
	w.Token, w.Epoch = current, 3
	r.setExecutor(self, 0, "w1", 0)
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: []executor.WorkerCapacity{w}})
}

// offerToPeer offers a job's task to peerB. After that self has free capacity.
func (r *rig) offerToPeer() task.Task {
	r.t.Helper()
	r.peerHoldsW2()
	x := r.offerOfJob(peerB, "j")
	r.setExecutor(self, 0, "w1", 1)
	return x
}

// startOnPeer offers a job's task to peerB, which starts it on w2.
func (r *rig) startOnPeer() task.Task {
	r.t.Helper()
	x := r.offerToPeer()
	r.c.HandleReport(r.now, peerB, task.Report{ID: x.ID, Run: x.Run, Outcome: task.Started, Worker: "w2", Token: current})
	return x
}

// takeOverW2 reports that an executor has taken w2 over, and that w2 lists no runs.
func (r *rig) takeOverW2(by member.Process, token uint64) {
	r.c.HandleTakeover(r.now, by, executor.Takeover{Worker: "w2", Token: token})
}

// offeredAgain returns how often the task was offered to self since the last call.
func (r *rig) offeredAgain() int { return len(r.offers(self)) }

// The worker was taken over before its current holder took it. That takeover must not count for the
// loss of the current holder, which may have started the task since.
func TestEarlierTakeoverBeforeALoss(t *testing.T) {
	r := newRig(t)
	r.takeOverW2(peerC, earlier)
	r.offerToPeer()
	r.c.HandleExecutorLost(r.now, peerB)
	assert.Equal(t, r.offeredAgain(), 0)
	r.takeOverW2(peerC, later)
	assert.Equal(t, r.offeredAgain(), 1)
}

// The message of an earlier takeover arrives only after the current holder is lost. It must not count
// for that loss.
func TestEarlierTakeoverAfterALoss(t *testing.T) {
	r := newRig(t)
	r.offerToPeer()
	r.c.HandleExecutorLost(r.now, peerB)
	r.takeOverW2(peerC, earlier)
	assert.Equal(t, r.offeredAgain(), 0)
	r.takeOverW2(peerC, later)
	assert.Equal(t, r.offeredAgain(), 1)
}

// A takeover that is later than the run arrives before the loss is noticed and before the message of
// an earlier one. It must count for the loss however old it is, or the task would wait forever.
func TestLaterTakeoverIsRemembered(t *testing.T) {
	r := newRig(t)
	r.offerToPeer()
	r.takeOverW2(peerC, later)
	r.takeOverW2(peerC, earlier)
	r.now += takeoverRetention + time.Millisecond
	r.c.HandleExecutorLost(r.now, peerB)
	assert.Equal(t, r.offeredAgain(), 1)
}

// A run is known to be on a worker. A list from before the start does not contain it, and must not
// count as evidence that the run is over.
func TestEarlierListDoesNotEndARun(t *testing.T) {
	r := newRig(t)
	x := r.startOnPeer()
	r.c.HandleExecutorLost(r.now, peerB)
	r.takeOverW2(peerC, earlier)
	assert.Equal(t, r.offeredAgain(), 0)
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2", Token: earlier, Completed: []task.RunningTask{{ID: x.ID, Run: x.Run}}})
	assert.Equal(t, r.offeredAgain(), 0, "a completion from before the start belongs to another attempt")
	r.takeOverW2(peerC, later)
	assert.Equal(t, r.offeredAgain(), 1)
}

// A takeover is answered after a task has started in its own epoch. Its list does not contain that
// run, and must not count as evidence that the run is over.
func TestPendingTakeoverIsEarlierThanItsEpoch(t *testing.T) {
	r := newRig(t)
	r.peerHoldsW2()
	r.c.Submit(r.now, testJob("other", 1))
	other := r.offers(peerB)[0]
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{Worker: "w2", Token: current, Running: []task.RunningTask{{ID: other.ID, Run: other.Run}}})
	x := r.startOnPeer()
	r.c.HandleExecutorLost(r.now, peerB)
	r.c.Tick(r.now)
	for _, again := range r.offers(self) {
		assert.Assert(t, again.ID != x.ID)
	}
}

// A holder has lost the worker to an unknown successor. The run must not be claimed from an earlier
// holder, whose report that the run is over would be believed.
func TestRunIsNotClaimedFromAnEarlierHolder(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerC, 2, "w3", 0)
	r.takeOverW2(peerC, earlier)
	x := r.startOnPeer()
	r.claims(peerC)
	r.c.HandleReport(r.now, peerB, task.Report{ID: x.ID, Run: x.Run, Outcome: task.Moved, Worker: "w2", Token: current})
	assert.Equal(t, r.claims(peerC), -1)
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2", Token: later, Running: []task.RunningTask{{ID: x.ID, Run: x.Run}}})
	assert.Equal(t, r.claims(peerC), 1)
}

// A list from before the run's start contains a run under the same number, of an earlier attempt of the
// caller. It must not be claimed as the run.
func TestRunIsNotClaimedFromAnEarlierList(t *testing.T) {
	for _, started := range []bool{false, true} {
		r := newRig(t)
		x := r.offerToPeer()
		if started {
			r.c.HandleReport(r.now, peerB, task.Report{ID: x.ID, Run: x.Run, Outcome: task.Started, Worker: "w2", Token: current})
		}
		r.c.HandleExecutorLost(r.now, peerB)
		r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2", Token: earlier, Running: []task.RunningTask{{ID: x.ID, Run: x.Run}}})
		assert.Equal(t, r.claims(peerC), 0)
	}
}

// The list of a reconciliation in the run's own epoch must count as evidence. Otherwise a durable task
// would wait until its lease and more have passed.
func TestReconciliationListEndsARun(t *testing.T) {
	r := newRig(t)
	r.peerHoldsW2()
	j := testJob("j", 1)
	j.Durable, j.Deadline = true, 0
	r.c.Submit(r.now, j)
	x := r.offers(peerB)[0]
	r.c.HandleReport(r.now, peerB, task.Report{ID: x.ID, Run: x.Run, Outcome: task.Started, Worker: "w2", Token: current})
	r.c.HandleExecutorLost(r.now, peerB)
	r.setExecutor(self, 0, "w1", 1)
	r.takeOverW2(peerB, current)
	assert.Equal(t, r.offeredAgain(), 0)
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{Worker: "w2", Token: current, Reconciliation: true})
	assert.Equal(t, r.offeredAgain(), 1)
}
