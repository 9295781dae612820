package node

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/task"
)

// Demands, parts of the backlog or the over-share mark get lost in the encoding. Each daemon would
// compute shares from its own demand only, and serve peers' jobs over the share before those within
// it.
func TestSharesSurviveEncoding(t *testing.T) {
	backlog := executor.Backlog{1, 2}
	backlog.OverShare()[3] = 7
	state := executorFromHeartbeat(peer(2).Process, otherDomain, &schema.Pulse{
		Demands:  []*schema.Demand{{Service: "s", Queue: "q", MilliCpu: 5}},
		Backlogs: []*schema.Backlog{{Service: "s", CoreMs: backlog.WithinShare(), SurplusCoreMs: overShareToWire(backlog.OverShare())}},
	})
	assert.DeepEqual(t, state.Demands, []coordinator.Demand{{Service: "s", Queue: "q", MilliCPU: 5}})
	assert.Equal(t, state.Backlog["s"], backlog)
	assert.Assert(t, overShareToWire(new(executor.Backlog).OverShare()) == nil)
	for _, overShare := range []bool{false, true} {
		got := tasksFromWire(time.Second, tasksToWire(time.Second, []task.Task{{OverShare: overShare}}))
		assert.Equal(t, got[0].OverShare, overShare)
	}
}

// A queue that the coordinator no longer reports stays in the metrics with its last demand.
func TestRemovedQueueLeavesTheMetrics(t *testing.T) {
	m := newMetricSet()
	old, used := coordinator.ShareState{Service: "s", Queue: "old", Demand: 5}, coordinator.ShareState{Service: "s", Queue: "used"}
	m.publishShares([]coordinator.ShareState{old, used})
	assert.Equal(t, len(m.set.ListMetricNames()), 8)
	m.publishShares([]coordinator.ShareState{used})
	names := m.set.ListMetricNames()
	assert.Equal(t, len(names), 4, "%v", names)
	for _, n := range names {
		assert.Assert(t, !strings.Contains(n, "old"), n)
	}
}
