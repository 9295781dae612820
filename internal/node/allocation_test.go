package node

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/executor"
)

// A holder of 40 workers handles thousands of events a second on a small processor. Each event
// allocated memory for the report of all of its workers to its own coordinator.
func TestEventsAllocateLittle(t *testing.T) {
	n := newTestNode(t)
	var workers []executor.WorkerInfo
	for i := range 40 {
		workers = append(workers, executor.WorkerInfo{ID: fmt.Sprint("w", i), Service: "s", Capacity: capacity.Vector{MilliCPU: 4000}})
	}
	now := n.clock.now()
	n.executor.SetWorkers(now, workers)
	n.executor.Tick(now)
	for _, c := range n.executor.Drain().Calls {
		n.executor.HandleAnswer(now, c, executor.Answer{Verdict: executor.OK, Clock: 1000})
		n.executor.ExpectClaims(now, c.Worker, nil)
	}
	assert.Equal(t, len(n.ownExecutor(now).Workers), len(workers))
	var before, after runtime.MemStats
	const events = 1000
	runtime.ReadMemStats(&before)
	for range events {
		n.update(func(time.Duration) {})
	}
	runtime.ReadMemStats(&after)
	each := (after.TotalAlloc - before.TotalAlloc) / events
	assert.Assert(t, each < 1000, "%d bytes per event", each)
}
