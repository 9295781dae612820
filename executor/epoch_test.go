package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/task"
)

// tenure is the told number of the executor's tenure of a worker; 0: it isn't told.
func (r *rig) epoch(id string) uint64 {
	for _, room := range r.e.WorkerCapacities(r.now) {
		if room.Worker == id {
			return room.Epoch
		}
	}
	return 0
}

// known is a task whose coordinator knows of so many tenures.
func taskKnowingEpochs(index uint32, epochs uint64) task.Task {
	t := testTask("j", index)
	t.MaxEpoch = epochs
	return t
}

// A task would start on a worker on which its coordinator can't wait for it when this executor is lost.
func TestTaskStartsInKnownEpochsOnly(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w2", "w1")
	assert.Equal(t, r.epoch("w2"), uint64(1))
	assert.Equal(t, r.epoch("w1"), uint64(2))
	assert.Equal(t, r.takeovers[1].Epoch, uint64(2))
	r.e.Offer(r.now, ownerA, []task.Task{taskKnowingEpochs(0, 1), taskKnowingEpochs(1, 1)})
	r.drain()
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "w2")
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "w2")
	r.e.Offer(r.now, ownerA, []task.Task{taskKnowingEpochs(2, 1)})
	assert.Assert(t, !r.hasCall(CallStart), "there is room only on the worker that its coordinator doesn't know of")
	assert.Equal(t, r.outcomes(ownerA, taskKnowingEpochs(2, 1).ID), "not_run ")
	r.e.Offer(r.now, ownerA, []task.Task{taskKnowingEpochs(2, 2)})
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "w1")
}

// A worker taken anew would count as the tenure that the coordinator knows, and that may be taken over already.
func TestRetakenWorkerHasNewEpoch(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Fenced})
	r.advance(yieldDelay + 25*time.Millisecond)
	r.holdWorkers("w1")
	assert.Equal(t, r.epoch("w1"), uint64(2))
	r.e.Offer(r.now, ownerA, []task.Task{taskKnowingEpochs(0, 1)})
	r.drain()
	assert.Assert(t, !r.hasCall(CallStart))
	assert.Equal(t, r.outcomes(ownerA, taskKnowingEpochs(0, 1).ID), "not_run ")
}

// A task whose only worker is taken anew would wait to its last useful start.
func TestWaitingTaskIsReturnedWhenOnlyLaterEpochFits(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	for i := range uint32(3) {
		r.e.Offer(r.now, ownerA, []task.Task{taskKnowingEpochs(i, 1)})
	}
	r.drain()
	waits := taskKnowingEpochs(2, 1).ID
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Replaced})
	assert.Equal(t, r.outcomes(ownerA, waits), "", "the worker will be back")
	r.advance(acquireRetryDelay)
	poll := r.takeCall(CallPoll, "w1")
	r.e.HandleAnswer(r.now, poll, Answer{Verdict: OK, Clock: r.clock()})
	o := r.e.Drain()
	assert.Equal(t, len(o.Takeovers), 1)
	for _, report := range o.Reports {
		assert.Assert(t, report.ID != waits, "coordinators hear of the tenure first")
	}
	r.advance(25 * time.Millisecond)
	assert.Equal(t, r.outcomes(ownerA, waits), "not_run ")
	assert.Equal(t, r.reports[len(r.reports)-1].Reason, ReasonLaterEpoch)
}

// A taken worker with an unanswered start would leave the list of rooms, and nobody wait for the run.
func TestTakenWorkerWithUnansweredStartStaysVisible(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.e.Offer(r.now, ownerA, []task.Task{taskKnowingEpochs(0, 1)})
	r.drain()
	start := r.takeCall(CallStart, "w1")
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Fenced})
	rooms := r.e.WorkerCapacities(r.now)
	assert.Equal(t, len(rooms), 1)
	assert.Assert(t, !rooms[0].Open && !rooms[0].Usable)
	r.answer(start, Answer{Verdict: OK})
	assert.Equal(t, r.outcomes(ownerA, taskKnowingEpochs(0, 1).ID), "moved ")
	assert.Equal(t, len(r.e.WorkerCapacities(r.now)), 0)
}

// A worker would be told of without a token, or with one that it may never obey and that outranks its holder's.
func TestEpochTokenIsReported(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	token := r.token
	assert.Equal(t, r.takeovers[0].Token, token)
	x := taskKnowingEpochs(0, 1)
	r.e.Offer(r.now, ownerA, []task.Task{x})
	r.answer(r.takeCall(CallStart, "w1"), Answer{Verdict: OK})
	assert.Equal(t, r.e.WorkerCapacities(r.now)[0].Token, token)
	r.e.Offer(r.now, ownerA, []task.Task{taskKnowingEpochs(1, 1)})
	start := r.takeCall(CallStart, "w1")
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Fenced})
	r.advance(yieldDelay + 25*time.Millisecond)
	assert.Assert(t, r.token > token, "it is being taken anew")
	assert.Equal(t, r.e.WorkerCapacities(r.now)[0].Token, token)
	r.answer(start, Answer{Verdict: Unknown})
	for _, report := range r.reports {
		assert.Equal(t, report.Token, token, "%s %s", report.Outcome, report.ID)
	}
	assert.Equal(t, r.outcomes(ownerA, x.ID), "started moved ")
}

// An answer to a recall is later than all that has run in the tenure, a takeover is earlier.
func TestReconciliationListIsMarked(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.startTask(ownerA, testTask("j", 0))
	r.e.Reconcile(r.now, ownerB, []string{"j"})
	r.drain()
	assert.Assert(t, !r.takeovers[0].Reconciliation)
	assert.Assert(t, r.takeovers[1].Reconciliation)
	assert.Equal(t, r.takeovers[1].Token, r.token)
}
