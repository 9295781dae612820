package executor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/task"
)

// fullRig is an executor with one worker whose capacity two tasks use up.
func fullRig(t *testing.T) (r *rig, running Call) {
	r = newRig(t)
	r.holdWorkers("w1")
	r.startTask(ownerA, testTask("a", 0))
	return r, r.startTask(ownerA, testTask("a", 1))
}

// completeRun makes the worker list the completion of a run.
func (r *rig) completeRun(c Call) {
	r.t.Helper()
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, c.ID, c.Run, "done")}, Running: listing(testTask("a", 0).ID, 1)})
}

// Load: a task waits at another executor, and capacity becomes free here. Nothing may start before
// the task is offered, or it would run twice. Less urgent tasks must not get the capacity
// meanwhile.
func TestReservedCapacityIsHeld(t *testing.T) {
	r, c := fullRig(t)
	wide, later := testTask("wide", 0), testTask("later", 0)
	later.Due += testLease
	r.e.Offer(r.now, ownerA, []task.Task{later})
	r.e.Reserve(r.now, ownerB, []task.Task{wide})
	r.completeRun(c)
	assert.Assert(t, !r.hasCall(CallStart), "held for a more urgent task")
	assert.Equal(t, r.reports[len(r.reports)-1].Reason, ReasonReserved)
	wide.Run, wide.NoWait = 2, true
	r.e.Offer(r.now, ownerB, []task.Task{wide})
	assert.Equal(t, r.takeCall(CallStart, "w1").ID, wide.ID)
	assert.Assert(t, !r.hasCall(CallStart))
}

// Whatever happens to the coordinator or its task, held capacity has to be free again soon, or the
// worker would lose it forever.
func TestHeldCapacityIsReleased(t *testing.T) {
	for name, release := range map[string]func(*rig, task.Task){
		"no offer":   func(r *rig, _ task.Task) { r.advance(2 * capacityHoldTime) },
		"unreserved": func(r *rig, w task.Task) { r.e.Unreserve(r.now, ownerB, []task.ID{w.ID}) },
		"lost":       func(r *rig, _ task.Task) { r.e.HandleOwnerLost(r.now, ownerB) },
		"withdrawn": func(r *rig, w task.Task) {
			r.e.Withdraw(r.now, ownerB, []task.ID{w.ID}, false)
			r.advance(2 * capacityHoldTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, c := fullRig(t)
			wide, other := testTask("wide", 0), testTask("z", 0)
			r.e.Reserve(r.now, ownerB, []task.Task{wide})
			r.completeRun(c)
			r.e.Offer(r.now, ownerA, []task.Task{other})
			assert.Assert(t, !r.hasCall(CallStart))
			release(r, wide)
			assert.Equal(t, r.takeCall(CallStart, "w1").ID, other.ID)
			assert.Equal(t, r.e.WorkerCapacities(r.now)[0].Free.MilliCPU, int64(0))
		})
	}
}

// A reservation does not count as waiting work, or jobs would be refused for it. Nor is it
// returned, as its task waits elsewhere.
func TestReservationDoesNotCountAsBacklog(t *testing.T) {
	r, _ := fullRig(t)
	wide := testTask("wide", 0)
	wide.NoWait, wide.StartBy = true, r.now+testLease
	r.e.Reserve(r.now, ownerB, []task.Task{wide})
	assert.Equal(t, len(r.e.Backlog(r.now)), 0)
	r.e.Reclaim(r.now, ownerB, []task.ID{wide.ID})
	_, waiting := r.e.Load()
	assert.Equal(t, waiting, 0)
	r.advance(2 * testLease)
	assert.Equal(t, r.outcomes(ownerB, wide.ID), "")
	assert.Equal(t, r.e.Reservations(), 0)
}

// Load: a burst of jobs. The number of reservations that each step tries has to be bounded.
func TestReservationsAreBounded(t *testing.T) {
	r, _ := fullRig(t)
	tasks := make([]task.Task, maxReservations+10)
	for i := range tasks {
		tasks[i] = testTask("storm", uint32(i))
	}
	r.e.Reserve(r.now, ownerB, tasks)
	assert.Equal(t, r.e.Reservations(), maxReservations)
}

// A worker's entry is removed while capacity is held there. The executor forgets the worker, so it would
// never read the completion of a task started on it.
func TestHeldCapacityOfRemovedWorkerIsNotUsed(t *testing.T) {
	r, c := fullRig(t)
	wide := testTask("wide", 0)
	r.e.Reserve(r.now, ownerB, []task.Task{wide})
	r.completeRun(c)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(2, testTask("a", 0).ID, 1, "done")}})
	r.e.Remove(r.now, func(string) bool { return true })
	wide.Run, wide.NoWait = 2, true
	r.e.Offer(r.now, ownerB, []task.Task{wide})
	assert.Assert(t, !r.hasCall(CallStart))
	assert.Equal(t, r.outcomes(ownerB, wide.ID), "not_run not_run ")
}

// An offer for held capacity comes too late. The executor has to return the task, as it does
// without held capacity, or the task would run after its caller has an answer.
func TestHeldCapacityIsNotUsedAfterStartBy(t *testing.T) {
	r, c := fullRig(t)
	wide := testTask("wide", 0)
	wide.StartBy = r.now + capacityHoldTime/2
	r.e.Reserve(r.now, ownerB, []task.Task{wide})
	r.completeRun(c)
	r.now = wide.StartBy
	wide.Run, wide.NoWait = 2, true
	r.e.Offer(r.now, ownerB, []task.Task{wide})
	assert.Assert(t, !r.hasCall(CallStart))
	assert.Equal(t, r.reports[len(r.reports)-1].Reason, ReasonNoCapacity)
}
