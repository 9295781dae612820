package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/task"
)

// bornAs is workerNamed with a birth.
func withIncarnation(id string, incarnation int64) WorkerInfo {
	i := workerNamed(id)
	i.Incarnation = incarnation
	return i
}

// holdBorn makes the executor hold a worker of a known life.
func (r *rig) holdIncarnation(id string, incarnation int64) {
	r.t.Helper()
	r.e.SetWorkers(r.now, []WorkerInfo{withIncarnation(id, incarnation)})
	r.advance(25 * time.Millisecond)
	r.answer(r.takeCall(CallPoll, id), Answer{Verdict: OK, Incarnation: incarnation})
}

// A start without an answer reaches the worker's next life, which has seen no token, after the
// first list of that life was read: were the list taken for proof, the task would run twice.
func TestUnansweredStartMayReachNextIncarnation(t *testing.T) {
	r := newRig(t)
	r.holdIncarnation("w", 1000)
	one := testTask("job", 0)
	r.e.Offer(r.now, ownerA, []task.Task{one})
	r.answer(r.takeCall(CallStart, "w"), Answer{Verdict: Unknown})
	old := r.takeCall(CallPoll, "w")
	r.calls = nil
	r.answer(old, Answer{Verdict: OK, Incarnation: 2000, Clock: 500})
	assert.Equal(t, r.outcomes(ownerA, one.ID), "", "the new life may still begin it")
	taking := r.takeCall(CallPoll, "w")
	assert.Assert(t, taking.Token > old.Token, "orders to the old life are to be refused")
	r.answer(taking, Answer{Verdict: OK, Incarnation: 2000, Clock: 530})
	assert.Equal(t, r.outcomes(ownerA, one.ID), "gone ")
}

// The start did reach the next life before that was taken over. It goes on there.
func TestUnansweredStartRunsInNextIncarnation(t *testing.T) {
	r := newRig(t)
	r.holdIncarnation("w", 1000)
	one := testTask("job", 0)
	r.e.Offer(r.now, ownerA, []task.Task{one})
	start := r.takeCall(CallStart, "w")
	r.calls = nil
	r.answer(start, Answer{Verdict: OK, Clock: 400}) // a clock can't go back: another life answers
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: OK, Incarnation: 2000, Clock: 430, Running: listing(one.ID, start.Run)})
	assert.Equal(t, r.outcomes(ownerA, one.ID), "started ")
	assert.Equal(t, r.e.workers["w"].used.MilliCPU, one.Demand.MilliCPU, "it takes room once")
}

// What the old life had confirmed is over with it, and is started again at once.
func TestConfirmedRunEndsWithItsIncarnation(t *testing.T) {
	r := newRig(t)
	r.holdIncarnation("w", 1000)
	one := testTask("job", 0)
	r.startTask(ownerA, one)
	r.e.Update(r.now, withIncarnation("w", 2000))
	assert.Equal(t, r.outcomes(ownerA, one.ID), "started gone ")
}

// A worker is back under its ID and lists an end under a number that its old life had used. An
// acknowledgement told to the old life must not reach the new one, which would forget that end.
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
	assert.Equal(t, r.takeCall(CallPoll, "w").Acknowledge, uint64(0), "57 was acknowledged")
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

// A list of the old life, on its way when the new one was learned of, proves nothing; nor does
// an entry of the old life that is read late.
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
