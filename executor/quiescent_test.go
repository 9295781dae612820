package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A run that has to be stopped is left to another holder. The executor must not report that nothing
// of it is left.
func TestLeftRunIsNotQuiescent(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.startTask(ownerA, testTask("j", 0))
	r.e.HandleOwnerLost(r.now, ownerA)
	r.takeCall(CallStop, "w1") // it gets no answer
	assert.Assert(t, !r.e.QuiescentAfterReturn(r.now, ownerA))
	// Another holder has taken the worker, and lists the run as unclaimed.
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Fenced})
	assert.Assert(t, !r.e.QuiescentAfterReturn(r.now, ownerA))
}

// The answer to a takeover is lost. The two holders must not both report that nothing is left on
// the worker.
func TestUnansweredTakeoverIsNotQuiescent(t *testing.T) {
	earlier, later := newRig(t), newRig(t)
	earlier.holdWorkers("w1")
	earlier.startTask(ownerA, testTask("j", 0))
	earlier.e.HandleOwnerLost(earlier.now, ownerA)
	later.e.SetWorkers(later.now, []WorkerInfo{workerNamed("w1")})
	later.advance(25 * time.Millisecond)
	takeover := later.takeCall(CallPoll, "w1") // the worker obeys it
	assert.Assert(t, !earlier.e.Quiescent(earlier.now, ownerA) && !later.e.Quiescent(later.now, ownerA))
	earlier.answer(earlier.takeCall(CallPoll, "w1"), Answer{Verdict: Fenced})
	later.answer(takeover, Answer{Verdict: Unknown})
	assert.Assert(t, !earlier.e.Quiescent(earlier.now, ownerA) || !later.e.Quiescent(later.now, ownerA), "the run may go on until its lease has expired")
}
