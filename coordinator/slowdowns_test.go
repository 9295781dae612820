package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
)

// setSlowdowns reports an executor with one free worker for each given slowdown.
func (r *rig) setSlowdowns(p member.Process, distance int, slowdowns map[string]float64) {
	h := ExecutorState{Process: p, Distance: distance, ReportedAt: r.now}
	for name, slowdown := range slowdowns {
		w := workerWith(name, 4)
		w.Slowdown = slowdown
		h.Workers = append(h.Workers, w)
	}
	r.c.UpdateExecutor(h)
}

// The nearest executor has free workers that are six times as slow as the others. Tasks that would be
// late there must be offered elsewhere: otherwise slow workers make most wide jobs late.
func TestSlowWorkersAreAvoided(t *testing.T) {
	r := newRig(t)
	r.setSlowdowns(peerB, 1, map[string]float64{"w1": 6, "w2": 6})
	r.setSlowdowns(peerC, 2, map[string]float64{"w3": 1, "w4": 1.2, "w5": 0.9})
	r.c.Submit(r.now, testJob("j", 2))
	assert.Equal(t, len(r.offers(peerB)), 0)
	assert.Equal(t, len(r.offers(peerC)), 2)
}

// If all workers of a service are slow, or only slow ones are left, they are used and no job is refused.
func TestSlowWorkersAreUsedIfThereAreNoOthers(t *testing.T) {
	r := newRig(t)
	r.setSlowdowns(peerB, 1, map[string]float64{"w1": 6, "w2": 6, "w3": 6})
	r.setSlowdowns(peerC, 2, map[string]float64{"w4": 6})
	r.c.Submit(r.now, testJob("j", 2))
	assert.Equal(t, len(r.offers(peerB)), 2, "all workers have the median slowdown")
	full := workerWith("w5", 0)
	full.Slowdown = 1
	r.c.UpdateExecutor(ExecutorState{Process: peerC, Distance: 2, ReportedAt: r.now, Workers: []executor.WorkerCapacity{full, full, full, full, full}})
	r.now += medianMaxAge
	r.c.Submit(r.now, testJob("k", 1))
	assert.Equal(t, len(r.answers), 0)
	assert.Equal(t, len(r.offers(peerC)), 1, "the task is queued for a worker that is not slow")
	r.c.HandleExecutorLost(r.now, peerC)
	r.c.Submit(r.now, testJob("l", 1))
	assert.Equal(t, len(r.offers(peerB)), 1)
}

// A worker's holder is killed. The worker's next holder gets the slowdown that was reported last, with
// its age.
func TestSlowdownOutlivesItsHolder(t *testing.T) {
	r := newRig(t)
	r.setSlowdowns(peerB, 1, map[string]float64{"w1": 6})
	r.now += time.Second
	r.c.HandleExecutorLost(r.now, peerB)
	r.now += time.Second
	r.setSlowdowns(peerC, 1, map[string]float64{"w1": 0, "w2": 1})
	ratio, age := r.c.Slowdown(r.now, "w1")
	assert.Equal(t, ratio, 6.0)
	assert.Equal(t, age, 2*time.Second)
	ratio, _ = r.c.Slowdown(r.now, "w9")
	assert.Equal(t, ratio, 0.0)
}

// The median slowdown is that of the workers of all reachable executors: neither a few slow workers nor an
// unreachable executor may change it.
func TestMedianSlowdownNeedsEnoughWorkers(t *testing.T) {
	r := newRig(t)
	r.setSlowdowns(peerB, 1, map[string]float64{"w1": 9, "w2": 8, "w3": 1.1})
	assert.Equal(t, len(r.c.MedianSlowdowns(r.now)), 0, "too few workers for a median")
	r.now += medianMaxAge
	r.setSlowdowns(peerC, 1, map[string]float64{"w4": 1, "w5": 1.2, "w6": 1.3, "w7": 1.1})
	assert.Equal(t, r.c.MedianSlowdowns(r.now)["quotes"], 1.2)
	r.now += time.Second
	r.setSlowdowns(peerC, 1, map[string]float64{"w4": 1, "w5": 1, "w6": 1, "w7": 1})
	assert.Equal(t, r.c.MedianSlowdowns(r.now)["quotes"], 1.0)
}

// Runs take half of their declared time. A job that would be late by declared times must be admitted,
// and the capacity counts double for declared work.
func TestCapacityOfWorkersFasterThanDeclared(t *testing.T) {
	for name, c := range map[string]struct {
		slowdown float64
		refused  int
		capacity float64
	}{
		"not known": {0, 1, 20000}, "as declared": {1, 1, 20000}, "half": {0.5, 0, 40000}, "wrongly reported": {0.001, 0, 60000},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			h := ExecutorState{Process: peerB, Distance: 1, ReportedAt: r.now}
			for i := range 5 {
				w := workerWith(fmt.Sprint("w", i), 0)
				w.Slowdown = c.slowdown
				h.Workers = append(h.Workers, w)
			}
			h.Backlog = backlogOf(5 * backlogFor(r, 0.8))
			r.c.UpdateExecutor(h)
			total, _, _ := r.c.executors.usage(r.now, "quotes")
			assert.Equal(t, total, c.capacity)
			r.c.Submit(r.now, testJob("j", 1))
			r.drain()
			assert.Equal(t, len(r.answers), c.refused)
		})
	}
}
