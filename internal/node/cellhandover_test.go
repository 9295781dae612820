package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/fleet"
)

// A worker comes from another cell with runs that no coordinator here can claim. It must be taken
// over only after the time for these to end, and then without any further change.
func TestWorkerFromAnotherCellIsTakenOverAfterDelay(t *testing.T) {
	f := newFleetView()
	f.settled = true
	w := executor.WorkerInfo{ID: "w"}
	f.workers["w"] = &knownWorker{info: w}
	at := 20 * time.Second
	f.readyForTakeover(at, nil)
	at += time.Second
	assert.Equal(t, len(f.readyForTakeover(at, []executor.WorkerInfo{w})), 0)
	assert.Equal(t, f.reassignAt, at+fleet.CellHandoverDelay)
	assert.Equal(t, len(f.readyForTakeover(f.reassignAt, []executor.WorkerInfo{w})), 1)
	assert.Equal(t, f.reassignAt, time.Duration(0))
}

// The number of cells changes, and most workers change cells. If each were left to its former cell,
// nothing could be served for a while.
func TestResizedCellsTakeOverWorkersAtOnce(t *testing.T) {
	f := newFleetView()
	f.settled = true
	w := executor.WorkerInfo{ID: "w"}
	f.workers["w"] = &knownWorker{info: w}
	f.readyForTakeover(20*time.Second, nil)
	f.resetCellMemberships()
	assert.Equal(t, len(f.readyForTakeover(21*time.Second, []executor.WorkerInfo{w})), 1)
}
