package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/task"
)

// A takeover is answered late, after its worker has started another task in a later epoch. Its old
// list does not show that run and must not count as evidence that the run is over.
func TestPendingTakeoverDoesNotEndLaterRun(t *testing.T) {
	const old, later = 10, 20 // fencing tokens of the holding epochs
	r := newRig(t)
	r.setExecutor(peerB, 1, "w2", 2)
	r.c.Submit(r.now, testJob("unheard", 1))
	y := r.offers(peerB)[0]
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2", Token: old, Running: []task.RunningTask{{ID: y.ID, Run: y.Run}}})
	r.now += 10 * time.Millisecond
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{Worker: "w2", Token: later})
	r.c.Submit(r.now, testJob("later", 1))
	x := r.offers(peerB)[0]
	for _, o := range []task.Outcome{task.Started, task.Moved} {
		r.c.HandleReport(r.now, peerB, task.Report{ID: x.ID, Run: x.Run, Outcome: o, Worker: "w2", Token: later})
		r.now += 10 * time.Millisecond
	}
	r.setExecutor(self, 0, "w1", 2)
	r.now += startReportTimeout
	r.c.Tick(r.now)
	for _, again := range r.offers(self) {
		assert.Assert(t, again.ID != x.ID, "run %d of the task may still be on the worker", x.Run)
	}
}
