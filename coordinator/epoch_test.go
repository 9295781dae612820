package coordinator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// setEpochs reports an executor with one worker for each of the given holding epochs.
func (r *rig) setEpochs(p member.Process, distance int, epochs ...uint64) {
	h := ExecutorState{Process: p, Distance: distance}
	for _, n := range epochs {
		w := workerWith(workerOfEpoch(n), 1)
		w.Epoch = n
		h.Workers = append(h.Workers, w)
	}
	r.c.UpdateExecutor(h)
}

func workerOfEpoch(epoch uint64) string { return string(rune('a' + epoch)) }

// offerOfJob submits a job of one task and returns the offer of the task.
func (r *rig) offerOfJob(p member.Process, job string) task.Task {
	r.t.Helper()
	r.c.Submit(r.now, testJob(job, 1))
	tasks := r.offers(p)
	assert.Equal(r.t, len(tasks), 1)
	return tasks[0]
}

// An executor is lost while it runs a task on a worker that the coordinator does not know of. The task
// would be started again while it runs. Offers therefore name the highest known epoch as a bound.
func TestOfferBoundsEpochByKnownOnes(t *testing.T) {
	r := newRig(t)
	r.setEpochs(peerB, 1, 4, 7)
	assert.Equal(t, r.offerOfJob(peerB, "j1").MaxEpoch, uint64(7))
	r.setEpochs(peerB, 1, 4)
	assert.Equal(t, r.offerOfJob(peerB, "j2").MaxEpoch, uint64(7), "a known epoch stays known")
	r.setEpochs(peerB, 2, 4)
	assert.Equal(t, r.offerOfJob(peerB, "j3").MaxEpoch, uint64(7))
}

// A takeover between two heartbeats allows starts in its epoch, but only if all earlier epochs are
// known: otherwise it would allow starts in unknown epochs in between.
func TestTakeoverExtendsMaxEpoch(t *testing.T) {
	r := newRig(t)
	r.setEpochs(peerB, 1, 4)
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{Worker: "x", Epoch: 5})
	assert.Equal(t, r.offerOfJob(peerB, "j1").MaxEpoch, uint64(5))
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{Worker: "y", Epoch: 7})
	assert.Equal(t, r.offerOfJob(peerB, "j2").MaxEpoch, uint64(5))
}

// This daemon's own executor is never lost: its tasks may start in any epoch.
func TestOwnExecutorHasNoMaxEpoch(t *testing.T) {
	r := newRig(t)
	r.setEpochs(self, 0, 4)
	r.c.HandleTakeover(r.now, self, executor.Takeover{Worker: "x", Epoch: 5})
	assert.Equal(t, r.offerOfJob(self, "j").MaxEpoch, uint64(0))
}

// An executor gives a task back as only a worker of a later epoch has capacity for it. The task is offered
// again with the epoch that is known by then, or to another executor if none is new. Otherwise it would
// be given back until its job is given up.
func TestTaskGivenBackForALaterEpoch(t *testing.T) {
	r := newRig(t)
	r.setEpochs(peerC, 2, 1)
	r.setEpochs(peerB, 1, 4)
	x := r.offerOfJob(peerB, "j1")
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{Worker: workerOfEpoch(4), Epoch: 5})
	r.setEpochs(peerB, 1, 4)
	r.report(peerB, x, task.NotRun, "", executor.ReasonLaterEpoch)
	again := r.offers(peerB)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].MaxEpoch, uint64(5))
	r.setEpochs(peerB, 1, 5)
	r.report(peerB, again[0], task.NotRun, "", executor.ReasonLaterEpoch)
	assert.Equal(t, len(r.offers(peerB)), 0)
	assert.Equal(t, len(r.offers(peerC)), 1)
}
