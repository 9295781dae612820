package coordinator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// reservedAt returns how many reservations an executor was asked to make and to drop.
func (r *rig) reservedAt(p member.Process) (asked, dropped int) {
	r.drain()
	for _, m := range r.messages {
		if m.To == p {
			asked, dropped = asked+len(m.Reserve), dropped+len(m.Unreserve)
		}
	}
	return asked, dropped
}

// waitingRig returns a rig without free capacity. A job's task is queued at the executor at, and the
// executor other was asked to reserve capacity for it.
func waitingRig(t *testing.T) (r *rig, waits task.Task, at, other member.Process) {
	r = newRig(t)
	r.setExecutor(peerB, 1, "w1", 0)
	r.setExecutor(peerC, 2, "w2", 0)
	r.c.Submit(r.now, testJob("j", 1))
	at, other = peerB, peerC
	list := r.offers(at)
	if len(list) == 0 {
		at, other = peerC, peerB
		list = r.offers(at)
	}
	asked, _ := r.reservedAt(other)
	assert.Equal(t, asked, 1)
	return r, list[0], at, other
}

// Capacity becomes free at another executor than the one at which the task is queued. The task may be
// offered there only after it was given back: otherwise it could run twice.
func TestTaskMovesToReservedCapacity(t *testing.T) {
	r, waits, at, other := waitingRig(t)
	r.report(other, waits, task.NotRun, "w2", executor.ReasonReserved)
	assert.Equal(t, r.reclaimed(at), 1)
	assert.Equal(t, len(r.offers(other)), 0)
	r.report(at, waits, task.NotRun, "", executor.ReasonReclaimed)
	moved := r.offers(other)
	assert.Equal(t, len(moved), 1)
	assert.Assert(t, moved[0].NoWait && moved[0].Run > waits.Run)
}

// A task has started, or its job has ended, when another executor reserves capacity for it. That
// executor must drop the reservation, and nothing is offered to it.
func TestReservationsAreDropped(t *testing.T) {
	for name, c := range map[string]struct {
		end     func(r *rig, waits task.Task, at, other member.Process)
		dropped int
	}{
		"started": {func(r *rig, waits task.Task, at, _ member.Process) {
			r.report(at, waits, task.Started, "w1", "")
		}, 1},
		"started, then reserved": {func(r *rig, waits task.Task, at, other member.Process) {
			r.report(at, waits, task.Started, "w1", "")
			r.report(other, waits, task.NotRun, "w2", executor.ReasonReserved)
		}, 2},
		"reserved, then started": {func(r *rig, waits task.Task, at, other member.Process) {
			r.report(other, waits, task.NotRun, "w2", executor.ReasonReserved)
			r.report(at, waits, task.Started, "w1", "")
		}, 1},
		"canceled": {func(r *rig, _ task.Task, _, _ member.Process) { r.c.Cancel(r.now, "j") }, 1},
		"canceled, then reserved": {func(r *rig, waits task.Task, _, other member.Process) {
			r.c.Cancel(r.now, "j")
			r.report(other, waits, task.NotRun, "w2", executor.ReasonReserved)
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r, waits, at, other := waitingRig(t)
			c.end(r, waits, at, other)
			_, dropped := r.reservedAt(other)
			assert.Equal(t, dropped, c.dropped)
			assert.Equal(t, len(r.offers(other)), 0)
		})
	}
}

// The executor that reserved capacity is lost before the task is given back. The task must be queued at
// another one.
func TestExecutorWithReservedCapacityIsLost(t *testing.T) {
	r, waits, at, other := waitingRig(t)
	r.report(other, waits, task.NotRun, "w2", executor.ReasonReserved)
	r.c.HandleExecutorLost(r.now, other)
	r.report(at, waits, task.NotRun, "", executor.ReasonReclaimed)
	assert.Equal(t, len(r.offers(other)), 0)
	assert.Equal(t, len(r.offers(at)), 1)
}

// A task is given back and queued again, at an executor that had reserved capacity for it, or after one
// that had was lost. It must get reservations at two other reachable executors, or it would wait in
// fewer queues than other tasks.
func TestReservationsAreReplaced(t *testing.T) {
	r, waits, _, _ := waitingRig(t)
	one := r.c.lookup(waits.ID)
	for n := range uint64(6) {
		r.setExecutor(member.Process{Address: peerB.Address, Incarnation: 70 + n}, 2, "w3", 0)
		if n > 0 {
			r.c.HandleExecutorLost(r.now, one.reservedAt[0])
		}
		r.report(one.holder, one.Task, task.NotRun, "", executor.ReasonReclaimed)
		assert.Equal(t, len(one.reservedAt), maxReservations)
		for _, p := range one.reservedAt {
			assert.Assert(t, p != one.holder && r.c.executors.get(p) != nil, "offer %d", one.offers)
		}
	}
}

// A task is offered to an executor that was asked before to give another task back. The request for the
// task must not join that earlier message: the executor would not know the task yet, and the task would
// stay queued there despite free capacity elsewhere.
func TestReclaimFollowsItsOffer(t *testing.T) {
	r := newRig(t)
	one, two := &jobTask{holder: peerB}, &jobTask{holder: peerB}
	one.ID.Job, two.ID.Job = "one", "two"
	r.c.reclaim(one)
	r.c.sendOffer(r.now, two, &ExecutorState{Process: peerB}, false)
	r.c.reclaim(two)
	r.drain()
	assert.Equal(t, len(r.messages), 3)
	assert.Equal(t, r.messages[1].Offer[0].ID, two.ID)
	assert.DeepEqual(t, r.messages[2].Reclaim, []task.ID{two.ID})
}
