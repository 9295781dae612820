package executor

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/task"
)

// Load: all of 40 workers are busy, and a thousand tasks wait in an overload. If each answer of a
// worker caused a search of all workers for each task, a small daemon would do little else and
// learn late of free capacity.
func TestScheduleCostOfWaitingTasks(t *testing.T) {
	r := newRig(t)
	var workers []string
	for i := range 40 {
		workers = append(workers, fmt.Sprintf("w%d", i))
	}
	r.holdWorkers(workers...)
	offer := func(job string, tasks int) {
		var list []task.Task
		for i := range tasks {
			list = append(list, testTask(job, uint32(i)))
		}
		r.e.Offer(r.now, ownerA, list)
		r.drain()
	}
	offer("running", 2*len(workers))
	without := r.scheduleTime()
	offer("waiting", 1000)
	_, waiting := r.e.Load()
	assert.Equal(t, waiting, 1000)
	with := r.scheduleTime()
	assert.Assert(t, with < 50*without, "a step takes %s with waiting tasks, %s without", with, without)
}

// Load: ten of 50 workers are slow and idle, while a thousand tasks wait for the others, as they
// would be late on the slow ones. An answer of a worker must not cause a search of all workers for
// each task.
func TestScheduleCostOfTasksWithheldFromSlowWorkers(t *testing.T) {
	r := newRig(t)
	var workers []string
	for i := range 40 {
		workers = append(workers, fmt.Sprintf("w%d", i))
	}
	slowdowns := make(map[string]float64)
	for i := range 10 {
		slowdowns[fmt.Sprintf("slow%d", i)] = 6
	}
	r.holdWorkers(append(workers, slices.Collect(maps.Keys(slowdowns))...)...)
	r.importSlowdowns(slowdowns, 0)
	for id := range slowdowns {
		r.e.workers[id].probeAt = time.Hour
	}
	offer := func(tasks int) {
		var list []task.Task
		for i := range tasks {
			one := r.urgent(fmt.Sprint("job", len(r.e.queue), "-", i))
			one.Due = r.now + 3*one.ExpectedRunTime
			list = append(list, one)
		}
		r.e.Offer(r.now, ownerA, list)
		r.drain()
	}
	offer(2 * len(workers))
	without := r.scheduleTime()
	offer(1000)
	_, waiting := r.e.Load()
	assert.Equal(t, waiting, 1000)
	with := r.scheduleTime()
	assert.Assert(t, with < 50*without, "a step takes %s with waiting tasks, %s without", with, without)
}

// The scheduler skips a task only if a search would not place it, whatever is free on which workers
// and however late the task is. Otherwise capacity would stay idle while the task waits.
func TestCapacityBoundsSkipOnlyUnplaceableTasks(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	skipped := 0
	for range 2000 {
		r := newRig(t)
		r.holdWorkers("w1", "w2", "w3")
		slowdowns := make(map[string]float64)
		for _, w := range r.e.order {
			w.used = capacity.Vector{MilliCPU: random.Int64N(5) * 500, MemoryMB: random.Int64N(3) * 500}
			slowdowns[w.info.ID] = []float64{0.5, 1, 2, 6}[random.IntN(4)]
			w.info.Draining = random.IntN(6) == 0
		}
		r.importSlowdowns(slowdowns, 0)
		one := r.urgent("a")
		one.Demand = capacity.Vector{MilliCPU: 500 + random.Int64N(4)*500, MemoryMB: 10 + random.Int64N(2)*600}
		one.Due = r.now + time.Duration(random.Int64N(int64(8*one.ExpectedRunTime)))
		one.StartBy = one.Due + time.Duration(random.Int64N(int64(time.Second)))
		one.Durable = random.IntN(4) == 0
		if bounds := r.e.capacityBounds(r.now); !bounds.mayPlace(r.now, &one) {
			skipped++
			assert.Assert(t, r.e.place(r.now, &one) == nil)
		}
	}
	assert.Assert(t, skipped > 300 && skipped < 1700, "%d of 2000 tasks were skipped", skipped)
}

// scheduleTime is the least time that one scheduling step takes.
func (r *rig) scheduleTime() time.Duration {
	least := time.Hour
	for range 50 {
		begin := time.Now()
		r.e.schedule(r.now)
		least = min(least, time.Since(begin))
	}
	return max(least, time.Microsecond)
}

// Tasks of several services alternate in the queue. Each service's work has to count once and for
// that service only, or jobs would be refused for another service's work.
func TestBacklogOfInterleavedServices(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
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
