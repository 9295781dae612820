package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// Tokens of the tenures of worker w2: that of peerB, an earlier and a later one.
const (
	earlier = 5
	current = 9
	later   = 12
)

// holds tells that peerB holds w2 under the present token, and that there is room here.
func (r *rig) peerHoldsW2() {
	w := workerWith("w2", 1)
	w.Token, w.Epoch = current, 3
	r.setExecutor(self, 0, "w1", 0)
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: []executor.WorkerCapacity{w}})
}

// offeredTo offers a job's task to peerB, with room here from then on.
func (r *rig) offerToPeer() task.Task {
	r.t.Helper()
	r.peerHoldsW2()
	x := r.offerOfJob(peerB, "j")
	r.setExecutor(self, 0, "w1", 1)
	return x
}

// runsOn does the same, and peerB starts it on w2.
func (r *rig) startOnPeer() task.Task {
	r.t.Helper()
	x := r.offerToPeer()
	r.c.HandleReport(r.now, peerB, task.Report{ID: x.ID, Run: x.Run, Outcome: task.Started, Worker: "w2", Token: current})
	return x
}

// takenOver tells that another executor has taken w2, which lists nothing.
func (r *rig) takeOverW2(by member.Process, token uint64) {
	r.c.HandleTakeover(r.now, by, executor.Takeover{Worker: "w2", Token: token})
}

// again is how often the task was offered again since the last call.
func (r *rig) offeredAgain() int { return len(r.offers(self)) }

// An earlier holder's takeover would count for the present holder's loss, which may have started the task since.
func TestEarlierTakeoverBeforeALoss(t *testing.T) {
	r := newRig(t)
	r.takeOverW2(peerC, earlier)
	r.offerToPeer()
	r.c.HandleExecutorLost(r.now, peerB)
	assert.Equal(t, r.offeredAgain(), 0)
	r.takeOverW2(peerC, later)
	assert.Equal(t, r.offeredAgain(), 1)
}

// The news of an earlier takeover is held up on its link until the present holder is lost.
func TestEarlierTakeoverAfterALoss(t *testing.T) {
	r := newRig(t)
	r.offerToPeer()
	r.c.HandleExecutorLost(r.now, peerB)
	r.takeOverW2(peerC, earlier)
	assert.Equal(t, r.offeredAgain(), 0)
	r.takeOverW2(peerC, later)
	assert.Equal(t, r.offeredAgain(), 1)
}

// An old or overtaken takeover that is later than the run would count for nothing, and the task wait for ever.
func TestLaterTakeoverIsRemembered(t *testing.T) {
	r := newRig(t)
	r.offerToPeer()
	r.takeOverW2(peerC, later)
	r.takeOverW2(peerC, earlier)
	r.now += takeoverRetention + time.Millisecond
	r.c.HandleExecutorLost(r.now, peerB)
	assert.Equal(t, r.offeredAgain(), 1)
}

// A run is known to be on a worker, and a list from before its start doesn't show it.
func TestEarlierListDoesNotEndARun(t *testing.T) {
	r := newRig(t)
	x := r.startOnPeer()
	r.c.HandleExecutorLost(r.now, peerB)
	r.takeOverW2(peerC, earlier)
	assert.Equal(t, r.offeredAgain(), 0)
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2", Token: earlier, Completed: []task.RunningTask{{ID: x.ID, Run: x.Run}}})
	assert.Equal(t, r.offeredAgain(), 0, "an end from before the start is of another try")
	r.takeOverW2(peerC, later)
	assert.Equal(t, r.offeredAgain(), 1)
}

// A takeover is answered after a task has started in its tenure: its list would prove that run over.
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

// A holder has lost the worker to an unknown one: an earlier holder would be believed that the run is over.
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

// A list from before the run's start bears its name, of an earlier try of the caller.
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

// An answer to a recall in the run's own tenure would prove nothing, and the kept task wait for its lease and more.
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
