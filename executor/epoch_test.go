package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/task"
)

// epoch is the reported epoch of a worker; 0: the worker is not reported.
func (r *rig) epoch(id string) uint64 {
	for _, capacity := range r.e.WorkerCapacities(r.now) {
		if capacity.Worker == id {
			return capacity.Epoch
		}
	}
	return 0
}

// taskKnowingEpochs is a task whose coordinator knows the executor's epochs up to the given one.
func taskKnowingEpochs(index uint32, epochs uint64) task.Task {
	t := testTask("j", index)
	t.MaxEpoch = epochs
	return t
}

// Guards against a start on a worker that the task's coordinator does not know of: the coordinator
// could not wait for that worker if this executor were lost.
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
	assert.Assert(t, !r.hasCall(CallStart), "only the worker that its coordinator does not know of has capacity")
	assert.Equal(t, r.outcomes(ownerA, taskKnowingEpochs(2, 1).ID), "not_run ")
	r.e.Offer(r.now, ownerA, []task.Task{taskKnowingEpochs(2, 2)})
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "w1")
}

// Guards against a retaken worker that counts as the epoch that the coordinator knows: another
// executor may have taken that one over.
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

// Guards against a task that waits until its last useful start, as its only worker was taken again
// in a later epoch.
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
		assert.Assert(t, report.ID != waits, "coordinators must learn of the epoch first")
	}
	r.advance(25 * time.Millisecond)
	assert.Equal(t, r.outcomes(ownerA, waits), "not_run ")
	assert.Equal(t, r.reports[len(r.reports)-1].Reason, ReasonLaterEpoch)
}

// Guards against a taken worker that is no longer reported though it has an unanswered start: no
// coordinator would wait for that run.
func TestTakenWorkerWithUnansweredStartStaysVisible(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.e.Offer(r.now, ownerA, []task.Task{taskKnowingEpochs(0, 1)})
	r.drain()
	start := r.takeCall(CallStart, "w1")
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Fenced})
	capacities := r.e.WorkerCapacities(r.now)
	assert.Equal(t, len(capacities), 1)
	assert.Assert(t, !capacities[0].Open && !capacities[0].Usable)
	r.answer(start, Answer{Verdict: OK})
	assert.Equal(t, r.outcomes(ownerA, taskKnowingEpochs(0, 1).ID), "moved ")
	assert.Equal(t, len(r.e.WorkerCapacities(r.now)), 0)
}

// Guards against reporting a worker without a token, or with a token that the worker may never obey
// and that outranks its holder's.
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
	assert.Assert(t, r.token > token, "it is being taken again")
	assert.Equal(t, r.e.WorkerCapacities(r.now)[0].Token, token)
	r.answer(start, Answer{Verdict: Unknown})
	for _, report := range r.reports {
		assert.Equal(t, report.Token, token, "%s %s", report.Outcome, report.ID)
	}
	assert.Equal(t, r.outcomes(ownerA, x.ID), "started moved ")
}

// A reconciliation list is later than all runs of the epoch, a takeover's list is earlier. The
// message has to tell them apart.
func TestReconciliationListIsMarked(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.startTask(ownerA, testTask("j", 0))
	r.e.Reconcile(r.now, ownerB, []task.OwnedJob{{ID: "j"}})
	r.drain()
	assert.Assert(t, !r.takeovers[0].Reconciliation)
	assert.Assert(t, r.takeovers[1].Reconciliation)
	assert.Equal(t, r.takeovers[1].Token, r.token)
}
