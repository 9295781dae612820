package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/task"
)

// The caller gets its answer as soon as the worker lists the completion. The next poll acknowledges
// the completion, so that the worker may forget it.
func TestCompletionIsReportedAndAcknowledged(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	c := r.startTask(ownerA, testTask("j", 0))
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(7, c.ID, 1, "done")}})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started done ")
	assert.Equal(t, r.takeCall(CallPoll, "w1").Acknowledge, uint64(7))
	assert.Equal(t, r.e.WorkerCapacities(r.now)[0].Free.MilliCPU, int64(2000))
}

// The answer to a start is lost, but the task runs. The worker's list shows the run. If the
// executor started the task elsewhere, the caller's booking would run twice.
func TestRunWithLostStartAnswerIsNotRestarted(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1", "w2")
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	c := r.takeCall(CallStart, "")
	r.answer(c, Answer{Verdict: Unknown})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "")
	standing := r.takeCall(CallPoll, c.Worker)
	look := r.takeCall(CallPoll, c.Worker)
	r.answer(look, Answer{Verdict: OK, Running: listing(c.ID, 1)})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started ")
	r.answer(standing, Answer{Verdict: OK, Completions: []Completion{completionOf(1, c.ID, 1, "done")}})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started done ")
	assert.Assert(t, !r.hasCall(CallStart))
}

// A start gets no answer, and the worker does not list the run: the start may still be on its way.
// The list alone is no proof that the run is over. A later list is, after a confirmed stop that
// bars the run number.
func TestUnansweredStartIsStoppedBeforeItCountsAsTerminated(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	c := r.takeCall(CallStart, "w1")
	r.answer(c, Answer{Verdict: Unknown})
	r.takeCall(CallPoll, "w1")
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "", "a list is no proof while the start may come late")
	r.answer(r.takeCall(CallStop, "w1"), Answer{Verdict: OK})
	r.advance(testStop + 100*time.Millisecond)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "gone ")
}

// A worker rejects a start that reaches it after the start's deadline. A list from after the
// deadline that does not show the run proves that it never ran.
func TestStartPastItsDeadlineNeverRuns(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	c := r.takeCall(CallStart, "w1")
	r.answer(c, Answer{Verdict: Unknown})
	r.takeCall(CallPoll, "w1")
	look := r.takeCall(CallPoll, "w1")
	r.now += testLease + 10*time.Millisecond
	r.answer(look, Answer{Verdict: OK})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "gone ")
}

// A worker with a run becomes unreachable. Its lease runs on the worker's clock, which may be 2%
// slow. Until the lease has expired the task may run on unobserved, and a second start would run it
// twice.
func TestRunsOfUnreachableWorkerEndWithLease(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	c := r.startTask(ownerA, testTask("j", 0))
	granted := r.now
	for r.now < granted+testLease-200*time.Millisecond {
		poll := r.takeCall(CallPoll, "w1")
		if r.now > granted+400*time.Millisecond {
			assert.Equal(t, poll.Deadline, int64(0), "the lease of an unreachable worker must not be extended")
		}
		r.answer(poll, Answer{Verdict: Unknown})
		assert.Equal(t, r.outcomes(ownerA, c.ID), "started ")
		r.advance(extraPollInterval + 30*time.Millisecond)
	}
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started ")
	r.advance(testLease)
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started gone ")
}

// A refused connection proves nothing: a partition may refuse it while the worker runs on. The
// executor has to wait for the lease to expire, as without any answer.
func TestRefusedConnectionIsNoProof(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	c := r.startTask(ownerA, testTask("j", 0))
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Unsent})
	r.advance(200 * time.Millisecond)
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started ")
}

// Another incarnation answers at the worker's address. The old one has crashed, and all its runs
// are over at once.
func TestNewIncarnationProvesTheEnd(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	c := r.startTask(ownerA, testTask("j", 0))
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Replaced})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started gone ")
}

// Answers on different connections overtake each other. A list that was made before the start was
// carried out does not show the run and must not end it.
func TestOlderListDoesNotEndARun(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	older := r.clock()
	r.now += 10 * time.Millisecond
	c := r.startTask(ownerA, testTask("j", 0))
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Clock: older})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started ")
}

// A list of 500 completions may be incomplete. A run that it does not show may have ended after the
// last one listed, and its result would be lost if the run counted as gone.
func TestFullListIsIncomplete(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	c := r.startTask(ownerA, testTask("j", 0))
	completions := make([]Completion, completionListLimit)
	for i := range completions {
		completions[i] = completionOf(uint64(i+1), task.ID{Job: "other", Index: uint32(i)}, 1, "done")
	}
	r.now += 10 * time.Millisecond
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: completions})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started ")
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(501, c.ID, 1, "done")}})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started done ")
}

// A withdrawn task is stopped, and the stop gets no answer. The executor has to repeat the stop
// until the completion is listed, or the task would run on after its caller has gone.
func TestStopIsRepeated(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	c := r.startTask(ownerA, testTask("j", 0))
	r.e.Withdraw(r.now, ownerA, []task.ID{c.ID}, false)
	r.answer(r.takeCall(CallStop, "w1"), Answer{Verdict: Unknown})
	r.advance(2 * extraPollInterval)
	r.answer(r.takeCall(CallStop, "w1"), Answer{Verdict: OK})
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, c.ID, 1, "stopped")}})
	assert.Equal(t, r.e.WorkerCapacities(r.now)[0].Free.MilliCPU, int64(2000))
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started ", "no coordinator waits for a report")
}

// Guards against confirming a withdrawn task while its run goes on, and against never confirming it.
func TestWithdrawnTasksAreConfirmed(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	c := r.startTask(ownerA, testTask("j", 0))
	waits, unknown := testTask("j", 1), testTask("j", 2)
	waits.Demand.MilliCPU = 2000
	r.e.Offer(r.now, ownerA, []task.Task{waits})
	r.e.Withdraw(r.now, ownerA, []task.ID{c.ID, waits.ID, unknown.ID}, true)
	assert.Equal(t, r.outcomes(ownerA, waits.ID), "not_run ")
	assert.Equal(t, r.outcomes(ownerA, unknown.ID), "not_run ")
	r.answer(r.takeCall(CallStop, "w1"), Answer{Verdict: OK})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started ", "the stop is under way")
	r.now += testStop
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, c.ID, 1, "stopped")}})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started gone ")
}

// A coordinator crashes. Its caller submits the job again elsewhere after 1.3 s. Until then the
// executor has to stop the coordinator's runs and drop its waiting tasks.
func TestRunsOfLostCoordinatorAreStopped(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	a := r.startTask(ownerA, testTask("a", 0))
	b := r.startTask(ownerB, testTask("b", 0))
	r.e.Offer(r.now, ownerA, []task.Task{testTask("a", 1)})
	r.e.HandleOwnerLost(r.now, ownerA)
	assert.Equal(t, r.takeCall(CallStop, "w1").ID, a.ID)
	assert.Assert(t, !r.hasCall(CallStop), "other owners' tasks run on")
	_, waiting := r.e.Load()
	assert.Equal(t, waiting, 0)
	assert.Equal(t, r.outcomes(ownerB, b.ID), "started ")
}

// A worker refuses connections, so polls fail at once. Without a delay the polls would take the
// processor from all callers, and a planned stop would never end.
func TestFailedPollsAreDelayed(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Unsent})
	assert.Assert(t, r.e.WorkerCapacities(r.now)[0].Open, "one lost poll must not close a worker")
	r.advance(25 * time.Millisecond)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Unsent})
	assert.Assert(t, !r.e.WorkerCapacities(r.now)[0].Open)
	r.advance(extraPollInterval / 2)
	assert.Assert(t, !r.hasCall(CallPoll))
	r.advance(extraPollInterval + 50*time.Millisecond)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK})
	assert.Assert(t, r.e.WorkerCapacities(r.now)[0].Open)
}

// A start cannot be sent, as there is no connection. That shows nothing of the worker's other runs.
// The task has not run and waits for another worker.
func TestUnsentStartEndsNoOtherRun(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	c := r.startTask(ownerA, testTask("a", 0))
	r.e.Offer(r.now, ownerB, []task.Task{testTask("b", 0)})
	r.answer(r.takeCall(CallStart, "w1"), Answer{Verdict: Unsent})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started ")
	_, waiting := r.e.Load()
	assert.Equal(t, waiting, 1)
}

// A worker in use starts to drain. Waiting tasks have to start elsewhere, and running tasks go on.
func TestDrainWhileTasksWait(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1", "w2")
	i := workerNamed("w1")
	i.Draining = true
	r.e.Update(r.now, i)
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0), testTask("j", 1), testTask("j", 2)})
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "w2")
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "w2")
	assert.Assert(t, !r.hasCall(CallStart))
}
