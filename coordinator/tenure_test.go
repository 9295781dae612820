package coordinator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// tenures tells of an executor with one worker for each of the given tenures.
func (r *rig) tenures(p member.Process, near int, tenures ...uint64) {
	h := ExecutorState{Process: p, Distance: near}
	for _, n := range tenures {
		room := roomFor(workerOf(n), 1)
		room.Epoch = n
		h.Workers = append(h.Workers, room)
	}
	r.c.UpdateExecutor(h)
}

func workerOf(tenure uint64) string { return string(rune('a' + tenure)) }

// offered submits a job of one task and returns what is offered.
func (r *rig) offered(p member.Process, job string) task.Task {
	r.t.Helper()
	r.c.Submit(r.now, testJob(job, 1))
	tasks := r.offers(p)
	assert.Equal(r.t, len(tasks), 1)
	return tasks[0]
}

// An executor is lost with a task on a worker unknown to the coordinator: it would be started again beside it.
func TestOfferTellsKnownTenures(t *testing.T) {
	r := newRig(t)
	r.tenures(peerB, 1, 4, 7)
	assert.Equal(t, r.offered(peerB, "j1").MaxEpoch, uint64(7))
	r.tenures(peerB, 1, 4)
	assert.Equal(t, r.offered(peerB, "j2").MaxEpoch, uint64(7), "what was known is known")
	r.tenures(peerB, 2, 4)
	assert.Equal(t, r.offered(peerB, "j3").MaxEpoch, uint64(7))
}

// A takeover before the next heartbeat would not allow starts in its tenure, or allow those of unknown ones between.
func TestTakeoverTellsTheNextTenure(t *testing.T) {
	r := newRig(t)
	r.tenures(peerB, 1, 4)
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{Worker: "x", Epoch: 5})
	assert.Equal(t, r.offered(peerB, "j1").MaxEpoch, uint64(5))
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{Worker: "y", Epoch: 7})
	assert.Equal(t, r.offered(peerB, "j2").MaxEpoch, uint64(5))
}

// This daemon's own executor is never out of its sight: its tasks start wherever there is room.
func TestOwnExecutorHasNoBound(t *testing.T) {
	r := newRig(t)
	r.tenures(self, 0, 4)
	r.c.HandleTakeover(r.now, self, executor.Takeover{Worker: "x", Epoch: 5})
	assert.Equal(t, r.offered(self, "j").MaxEpoch, uint64(0))
}

// A task that only a later tenure may run would go to and fro until its job is given up.
func TestTaskGivenBackForALaterTenure(t *testing.T) {
	r := newRig(t)
	r.tenures(peerC, 2, 1)
	r.tenures(peerB, 1, 4)
	x := r.offered(peerB, "j1")
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{Worker: workerOf(4), Epoch: 5})
	r.tenures(peerB, 1, 4)
	r.report(peerB, x, task.NotRun, "", executor.ReasonLaterEpoch)
	again := r.offers(peerB)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].MaxEpoch, uint64(5))
	r.tenures(peerB, 1, 5)
	r.report(peerB, again[0], task.NotRun, "", executor.ReasonLaterEpoch)
	assert.Equal(t, len(r.offers(peerB)), 0)
	assert.Equal(t, len(r.offers(peerC)), 1)
}
