package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/task"
)

// Workers answer within milliseconds. An order without an answer has to time out soon, to be looked
// into. Where answers are slow, as the daemon or its link is busy, the time-out has to be longer,
// or the executor would ask about each order a second time.
func TestOrderTimeoutFollowsLatency(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	completions := uint64(0)
	start := func(job string, latency time.Duration) Call {
		r.e.Offer(r.now, ownerA, []task.Task{testTask(job, 0)})
		c := r.takeCall(CallStart, "w1")
		r.now += latency
		r.answer(c, Answer{Verdict: OK})
		r.e.Withdraw(r.now, ownerA, []task.ID{c.ID}, false)
		stop := r.takeCall(CallStop, "w1")
		assert.Equal(t, stop.Timeout, r.e.orderLatency.timeout())
		r.answer(stop, Answer{Verdict: OK})
		completions++
		r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{{Number: completions, RunningTask: task.RunningTask{ID: c.ID, Run: c.Run}, Result: "stopped"}}})
		return c
	}
	assert.Equal(t, start("first", 4*time.Millisecond).Timeout, maxOrderTimeout)
	for range 10 {
		start("quick", 4*time.Millisecond)
	}
	assert.Equal(t, start("j", 4*time.Millisecond).Timeout, minOrderTimeout)
	for range 30 {
		start("slow", 60*time.Millisecond)
	}
	assert.Assert(t, start("k", 60*time.Millisecond).Timeout > minOrderTimeout)
}

// quickWorker makes the executor hold a worker that has answered orders within 4 ms.
func quickWorker(t *testing.T) *rig {
	r := newRig(t)
	r.holdWorkers("w1")
	for range 10 {
		r.e.orderLatency.observe(4 * time.Millisecond)
	}
	return r
}

// A worker does not answer a start and may carry it out seconds later. If the executor looked into
// it only after the start's time-out, the caller's job of some tens of ms would be late. It polls
// while it still waits for the answer. A stop then bars the run, and the list after it proves that
// it never ran. The task starts elsewhere while the caller is on time.
func TestUnansweredStartIsPolledBeforeTimeout(t *testing.T) {
	r := quickWorker(t)
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	startedAt := r.now
	c := r.takeCall(CallStart, "w1")
	r.takeCall(CallPoll, "w1") // the standing poll
	r.advance(minSuspicionDelay + 10*time.Millisecond)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "", "it may still be on its way")
	r.answer(r.takeCall(CallStop, "w1"), Answer{Verdict: OK})
	r.now += 2 * time.Millisecond
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "gone ")
	assert.Assert(t, r.now-startedAt < minOrderTimeout, "%s", r.now-startedAt)
	r.answer(c, Answer{Verdict: Unknown})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "gone ")
}

// Only the answer to a start is lost or late. The worker's list shows the run, so nothing may be
// stopped.
func TestStartWithLateAnswerIsNotStopped(t *testing.T) {
	r := quickWorker(t)
	c := r.e
	c.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	start := r.takeCall(CallStart, "w1")
	r.takeCall(CallPoll, "w1")
	r.advance(minSuspicionDelay + 10*time.Millisecond)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Running: listing(start.ID, 1)})
	assert.Equal(t, r.outcomes(ownerA, start.ID), "started ")
	assert.Assert(t, !r.hasCall(CallStop))
	r.answer(start, Answer{Verdict: OK})
	assert.Equal(t, r.outcomes(ownerA, start.ID), "started ")
}

// A list that was requested before a stop was carried out does not show the run, and arrives after
// the stop's answer. It is no proof: the start may have arrived in between, and its run is only now
// ending. A second list is proof.
func TestListFromBeforeTheStopIsNoProof(t *testing.T) {
	r := quickWorker(t)
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	c := r.takeCall(CallStart, "w1")
	standing := r.takeCall(CallPoll, "w1")
	r.advance(minSuspicionDelay + 10*time.Millisecond)
	early := r.clock()
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Clock: early})
	r.now += 5 * time.Millisecond
	r.answer(r.takeCall(CallStop, "w1"), Answer{Verdict: OK})
	r.answer(standing, Answer{Verdict: OK, Clock: early})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "")
	r.now += 2 * time.Millisecond
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Running: listing(c.ID, 1)})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started ", "the run was there when the stop came, and is ending")
	r.advance(testStop)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, c.ID, 1, "stopped")}})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started gone ")
}

// A worker answers neither a start nor the stop that bars it. Without a second stop the task would
// wait until the start's lease has expired, and its caller would be late.
func TestStopOfAnUnansweredStartIsRepeated(t *testing.T) {
	r := quickWorker(t)
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	c := r.takeCall(CallStart, "w1")
	r.takeCall(CallPoll, "w1")
	r.advance(minSuspicionDelay + 10*time.Millisecond)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK})
	r.answer(r.takeCall(CallStop, "w1"), Answer{Verdict: Unknown})
	r.answer(c, Answer{Verdict: Unknown})
	r.advance(extraPollInterval + 25*time.Millisecond)
	r.answer(r.takeCall(CallStop, "w1"), Answer{Verdict: OK})
	r.now += 2 * time.Millisecond
	for r.hasCall(CallPoll) {
		r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK})
	}
	assert.Equal(t, r.outcomes(ownerA, c.ID), "gone ")
}

// A worker's machine is busy, and a start takes 25 ms to arrive. If the executor looked into it
// sooner, the worker would not list the run yet, the stop would bar it a moment later, and the task
// would start a second time needlessly.
func TestSlowStartIsNotStopped(t *testing.T) {
	r := quickWorker(t)
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	c := r.takeCall(CallStart, "w1")
	r.takeCall(CallPoll, "w1")
	r.advance(25 * time.Millisecond)
	assert.Assert(t, !r.hasCall(CallPoll) && !r.hasCall(CallStop))
	r.answer(c, Answer{Verdict: OK})
	r.advance(25 * time.Millisecond)
	assert.Assert(t, !r.hasCall(CallStop))
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started ")
}
