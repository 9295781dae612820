package executor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/task"
)

// Load: all of 40 workers are busy, and a thousand tasks wait in an overload. Each answer of a
// worker looked through all workers for each of them: a small daemon did little else, and
// learned late that there was room again.
func TestWaitingTasksCostLittle(t *testing.T) {
	r := newRig(t)
	var workers []string
	for i := range 40 {
		workers = append(workers, fmt.Sprintf("w%d", i))
	}
	r.hold(workers...)
	offer := func(job string, tasks int) {
		var list []task.Task
		for i := range tasks {
			list = append(list, testTask(job, uint32(i)))
		}
		r.e.Offer(r.now, ownerA, list)
		r.drain()
	}
	offer("running", 2*len(workers))
	without := r.stepTime()
	offer("waiting", 1000)
	_, waiting := r.e.Load()
	assert.Equal(t, waiting, 1000)
	with := r.stepTime()
	assert.Assert(t, with < 50*without, "%s with tasks that wait, %s without", with, without)
}

// stepTime is the least time of a look for work that can start.
func (r *rig) stepTime() time.Duration {
	least := time.Hour
	for range 50 {
		begin := time.Now()
		r.e.step(r.now)
		least = min(least, time.Since(begin))
	}
	return max(least, time.Microsecond)
}

// Tasks of several services wait in turns: each service's work counts once and for itself, or jobs
// would be refused for another's.
func TestBacklogOfServicesInTurns(t *testing.T) {
	r := newRig(t)
	r.hold("w1")
	other := workerNamed("w2")
	other.Service = "other"
	r.e.SetWorkers(r.now, []WorkerInfo{workerNamed("w1"), other})
	for i := range uint32(6) {
		waits := testTask("j", i)
		waits.Demand.MilliCPU = 2000
		waits.Due += time.Duration(i) * time.Millisecond
		if i%2 == 1 {
			waits.Service = "other"
		}
		r.e.Offer(r.now, ownerA, []task.Task{waits})
	}
	all := r.e.Backlog(r.now)
	assert.Equal(t, len(all), 2)
	last := testTask("last", 0)
	last.Due += time.Second
	ahead := func(b Backlog) int64 { return b.Ahead(r.now, &last) }
	assert.Equal(t, ahead(all["quotes"]), int64(400))
	assert.Equal(t, ahead(all["other"]), int64(600))
}
