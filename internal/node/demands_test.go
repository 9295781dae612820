package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/task"
)

// Demands, bands of the backlog or the surplus mark that get lost on the wire: shares would be
// each daemon's own, and others' surplus jobs would be served before those within their share.
func TestSharesOnTheWire(t *testing.T) {
	work := executor.Backlog{1, 2}
	work.Surplus()[3] = 7
	h := holderFromPulse(peer(2).Process, farDomain, &schema.Pulse{
		Demands:  []*schema.Demand{{Service: "s", Queue: "q", MilliCpu: 5}},
		Backlogs: []*schema.Backlog{{Service: "s", CoreMs: work.Within(), SurplusCoreMs: surplusToWire(work.Surplus())}},
	})
	assert.DeepEqual(t, h.Demands, []coordinator.Demand{{Service: "s", Queue: "q", MilliCPU: 5}})
	assert.Equal(t, h.Backlog["s"], work)
	assert.Assert(t, surplusToWire(new(executor.Backlog).Surplus()) == nil)
	for _, surplus := range []bool{false, true} {
		got := tasksFromWire(time.Second, tasksToWire(time.Second, []task.Task{{Surplus: surplus}}))
		assert.Equal(t, got[0].Surplus, surplus)
	}
}
