package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/task"
)

// withIncarnation is workerNamed with an incarnation.
func withIncarnation(id string, incarnation int64) WorkerInfo {
	i := workerNamed(id)
	i.Incarnation = incarnation
	return i
}

// holdIncarnation makes the executor hold a worker of a known incarnation.
func (r *rig) holdIncarnation(id string, incarnation int64) {
	r.t.Helper()
	r.e.SetWorkers(r.now, []WorkerInfo{withIncarnation(id, incarnation)})
	r.advance(25 * time.Millisecond)
	r.answer(r.takeCall(CallPoll, id), Answer{Verdict: OK, Incarnation: incarnation})
}

// A start without an answer reaches the worker's next incarnation, which has seen no token, after
// the executor has read that incarnation's first list. If the list counted as proof, the task would
// run twice.
func TestUnansweredStartMayReachNextIncarnation(t *testing.T) {
	r := newRig(t)
	r.holdIncarnation("w", 1000)
	one := testTask("job", 0)
	r.e.Offer(r.now, ownerA, []task.Task{one})
	r.answer(r.takeCall(CallStart, "w"), Answer{Verdict: Unknown})
	old := r.takeCall(CallPoll, "w")
	r.calls = nil
	r.answer(old, Answer{Verdict: OK, Incarnation: 2000, Clock: 500})
	assert.Equal(t, r.outcomes(ownerA, one.ID), "", "the new incarnation may still start it")
	taking := r.takeCall(CallPoll, "w")
	assert.Assert(t, taking.Token > old.Token, "the worker must refuse orders to the old incarnation")
	r.answer(taking, Answer{Verdict: OK, Incarnation: 2000, Clock: 530})
	assert.Equal(t, r.outcomes(ownerA, one.ID), "gone ")
}

// The start reached the next incarnation before the executor took that over. The run goes on there.
func TestUnansweredStartRunsInNextIncarnation(t *testing.T) {
	r := newRig(t)
	r.holdIncarnation("w", 1000)
	one := testTask("job", 0)
	r.e.Offer(r.now, ownerA, []task.Task{one})
	start := r.takeCall(CallStart, "w")
	r.calls = nil
	r.answer(start, Answer{Verdict: OK, Clock: 400}) // a clock cannot go back: another incarnation answers
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: OK, Incarnation: 2000, Clock: 430, Running: listing(one.ID, start.Run)})
	assert.Equal(t, r.outcomes(ownerA, one.ID), "started ")
	assert.Equal(t, r.e.workers["w"].used.MilliCPU, one.Demand.MilliCPU, "it must use capacity once")
}

// Runs that the old incarnation had confirmed are over with it, and their tasks start again at once.
func TestConfirmedRunEndsWithItsIncarnation(t *testing.T) {
	r := newRig(t)
	r.holdIncarnation("w", 1000)
	one := testTask("job", 0)
	r.startTask(ownerA, one)
	r.e.Update(r.now, withIncarnation("w", 2000))
	assert.Equal(t, r.outcomes(ownerA, one.ID), "started gone ")
}

// A worker restarts under its ID and lists a completion by a number that its old incarnation had
// used. An acknowledgement meant for the old incarnation must not reach the new one, which would
// forget that completion.
func TestUnreadCompletionsOfNextIncarnationAreNotAcknowledged(t *testing.T) {
	r := newRig(t)
	r.holdIncarnation("w", 1000)
	one := testTask("job", 0)
	r.startTask(ownerA, one)
	poll := r.takeCall(CallPoll, "w")
	r.answer(poll, Answer{Verdict: OK, Incarnation: 1000, Completions: []Completion{completionOf(57, one.ID, 1, "done")}})
	poll = r.takeCall(CallPoll, "w")
	assert.Equal(t, poll.Acknowledge, uint64(57))
	r.answer(poll, Answer{Verdict: OK, Incarnation: 1000})
	assert.Equal(t, r.takeCall(CallPoll, "w").Acknowledge, uint64(0), "number 57 was acknowledged before")
	r.e.Update(r.now, withIncarnation("w", 2000))
	r.advance(25 * time.Millisecond)
	poll = r.takeCall(CallPoll, "w")
	assert.Equal(t, poll.Acknowledge, uint64(0))
	r.answer(poll, Answer{Verdict: OK, Incarnation: 2000, Clock: 300})
	two := testTask("job", 1)
	r.startTask(ownerA, two)
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: OK, Incarnation: 2000, Clock: 400, Completions: []Completion{completionOf(1, two.ID, 1, "done")}})
	assert.Equal(t, r.outcomes(ownerA, two.ID), "started done ")
}

// A list of the old incarnation was under way when the executor learned of the new one: it proves
// nothing. Nor does an entry of the old incarnation that is read late.
func TestMessagesOfEarlierIncarnationAreIgnored(t *testing.T) {
	r := newRig(t)
	r.holdIncarnation("w", 1000)
	late := r.takeCall(CallPoll, "w")
	r.advance(25 * time.Millisecond)
	r.e.Update(r.now, withIncarnation("w", 2000))
	r.advance(25 * time.Millisecond)
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: OK, Incarnation: 2000, Clock: 300})
	one := testTask("job", 0)
	r.startTask(ownerA, one)
	r.answer(late, Answer{Verdict: OK, Incarnation: 1000, Clock: 200_000})
	stale := withIncarnation("w", 1000)
	stale.Capacity = capacity.Vector{}
	r.e.Update(r.now, stale)
	r.advance(100 * time.Millisecond)
	assert.Equal(t, r.outcomes(ownerA, one.ID), "started ")
	assert.Equal(t, r.e.workers["w"].info.Incarnation, int64(2000))
}
