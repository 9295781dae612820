package coordinator

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// The number of tasks that fit on an executor's workers is cached for the equal tasks of a job. A
// stale count after a change of the workers, the task or the retired failure domains would place
// tasks where none of them can run.
func TestFitCountIsInvalidated(t *testing.T) {
	h := ExecutorState{Process: member.Process{Incarnation: 2}}
	for i := range 3 {
		h.Workers = append(h.Workers, executor.WorkerCapacity{
			Worker: fmt.Sprint("w", i), Service: "s", Domain: fmt.Sprint("z", i), Open: true, Usable: true,
			Total: capacity.Vector{MilliCPU: 4000},
		})
	}
	taskOf := func(service string, milliCPU int64) *task.Task {
		return &task.Task{Service: service, Demand: capacity.Vector{MilliCPU: milliCPU}}
	}
	c := New(member.Process{Incarnation: 1})
	c.UpdateExecutor(h)
	fitCount := func(t *task.Task) int {
		_, all := c.executors.get(h.Process).fitCounts(0, t, 0)
		return all
	}
	for range 2 {
		assert.Equal(t, fitCount(taskOf("s", 1000)), 12)
	}
	assert.Equal(t, fitCount(taskOf("s", 2000)), 6)
	assert.Equal(t, fitCount(taskOf("other", 2000)), 0)
	assert.Equal(t, fitCount(taskOf("s", 2000)), 6)
	c.SetRetiredDomains(map[string]bool{"z1": true})
	assert.Equal(t, fitCount(taskOf("s", 2000)), 4)
	h.Workers = h.Workers[:2]
	h.ReportedAt = time.Second
	c.UpdateExecutor(h)
	assert.Equal(t, fitCount(taskOf("s", 2000)), 2)
}

// An executor whose distance changes must move in the list. If it were listed twice, its free
// capacity would count twice.
func TestExecutorIsListedOnceAfterDistanceChange(t *testing.T) {
	c := New(member.Process{Incarnation: 1})
	a, b := ExecutorState{Process: member.Process{Incarnation: 2}, Distance: 1}, ExecutorState{Process: member.Process{Incarnation: 3}, Distance: 1}
	for _, distance := range []int{1, 1, 2, 0, 0} {
		a.Distance, a.ReportedAt = distance, a.ReportedAt+time.Second
		c.UpdateExecutor(a)
		c.UpdateExecutor(b)
		assert.Equal(t, len(c.executors.list), 2)
		assert.Equal(t, c.executors.get(a.Process).ReportedAt, a.ReportedAt)
		assert.Assert(t, c.executors.list[0].Distance <= c.executors.list[1].Distance)
	}
}

// In an overload each job without free capacity simulates its placement in a copy of all reported
// workers. Allocating each copy anew would make too much garbage. The copy must be of the latest
// reports, and the simulation must not change them.
func TestSimulatedPlacementAllocatesLittle(t *testing.T) {
	r := newRig(t)
	for n := range uint64(4) {
		h := ExecutorState{Process: member.Process{Incarnation: 2 + n}, Distance: 2, Backlog: backlogOf(100_000)}
		for i := range 88 {
			h.Workers = append(h.Workers, workerWith(fmt.Sprint("w", n, "-", i), 0))
		}
		r.c.UpdateExecutor(h)
	}
	j := newJob(r.now, testJob("j", 3))
	first, ok := r.c.queueWait(r.now, j)
	assert.Assert(t, ok)
	const trials = 100
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range trials {
		again, _ := r.c.queueWait(r.now, j)
		assert.Equal(t, again, first)
	}
	runtime.ReadMemStats(&after)
	each := (after.TotalAlloc - before.TotalAlloc) / trials
	assert.Assert(t, each < 5000, "%d bytes a job", each)
	r.c.UpdateExecutor(ExecutorState{Process: member.Process{Incarnation: 5}, Distance: 2, Workers: []executor.WorkerCapacity{workerWith("new", 3)}})
	wait, ok := r.c.queueWait(r.now, j)
	assert.Assert(t, ok && wait == 0 && first > 0, "%s, %s before", wait, first)
	assert.Equal(t, len(r.c.trial.list), len(r.c.executors.list))
}
