package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/fleet"
)

// A worker comes from another cell, with tasks on it that nobody here can claim. It is taken
// when those have had time to end, without further news.
func TestWorkerOfAnotherCellIsTakenLater(t *testing.T) {
	f := newFleetView()
	f.settled = true
	w := executor.WorkerInfo{ID: "w"}
	f.workers["w"] = &knownWorker{info: w}
	at := 20 * time.Second
	f.taken(at, nil)
	at += time.Second
	assert.Equal(t, len(f.taken(at, []executor.WorkerInfo{w})), 0)
	assert.Equal(t, f.divideAt, at+fleet.CellHandoverDelay)
	assert.Equal(t, len(f.taken(f.divideAt, []executor.WorkerInfo{w})), 1)
	assert.Equal(t, f.divideAt, time.Duration(0))
}

// The number of cells changes: most workers change theirs, and were each left to its former
// cell nothing could be served for a while.
func TestNewCellsTakeTheirWorkersAtOnce(t *testing.T) {
	f := newFleetView()
	f.settled = true
	w := executor.WorkerInfo{ID: "w"}
	f.workers["w"] = &knownWorker{info: w}
	f.taken(20*time.Second, nil)
	f.forgetStays()
	assert.Equal(t, len(f.taken(21*time.Second, []executor.WorkerInfo{w})), 1)
}
