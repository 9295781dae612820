package executor

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/task"
)

func durableTask(job string, index uint32) task.Task {
	t := testTask(job, index)
	t.Durable = true
	return t
}

func runRefs(tasks ...task.Task) (runs []task.RunRef) {
	for _, t := range tasks {
		runs = append(runs, task.RunRef{ID: t.ID, Run: t.Run})
	}
	return runs
}

// endPoll answers the standing poll with an end.
func (r *rig) answerPoll(worker string, ends ...Completion) {
	r.t.Helper()
	r.answer(r.takeCall(CallPoll, worker), Answer{Verdict: OK, Completions: ends})
}

// All daemons lose power after a task is done and before that is stored. The worker still
// lists the end, as it was not acknowledged; without that the task would run again.
func TestCompletionIsAcknowledgedOnlyWhenStored(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.answerPoll("w", completionOf(1, k.ID, 1, "done"))
	assert.Equal(t, r.outcomes(ownerA, k.ID), "started done ")
	assert.Assert(t, !r.hasCall(CallPoll), "a poll would be answered at once, again and again")
	r.advance(unacknowledgedPollDelay)
	p := r.takeCall(CallPoll, "w")
	assert.Equal(t, p.Acknowledge, uint64(0))
	r.answer(p, Answer{Verdict: OK, Completions: []Completion{completionOf(1, k.ID, 1, "done")}})
	r.e.ConfirmStored(r.now, runRefs(k))
	assert.Equal(t, r.takeCall(CallPoll, "w").Acknowledge, uint64(1))
	assert.Equal(t, r.outcomes(ownerA, k.ID), "started done ", "told once")
}

// Two ends are listed, and the later one is settled first: the cursor can't pass the
// earlier one.
func TestCompletionsAreAcknowledgedInOrder(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	a, b := durableTask("a", 0), durableTask("b", 0)
	r.startTask(ownerA, a)
	r.startTask(ownerA, b)
	r.answerPoll("w", completionOf(1, a.ID, 1, "done"), completionOf(2, b.ID, 1, "failed"))
	r.e.ConfirmStored(r.now, runRefs(b))
	r.advance(unacknowledgedPollDelay)
	assert.Equal(t, r.takeCall(CallPoll, "w").Acknowledge, uint64(0))
	r.e.ConfirmStored(r.now, runRefs(a))
}

// A coordinator dies. Its other jobs are stopped at once, as their callers try again;
// what runs for a kept job goes on, and the heir claims it.
func TestDurableRunSurvivesItsCoordinator(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k, other := durableTask("a", 0), testTask("b", 0)
	r.startTask(ownerA, k)
	r.startTask(ownerA, other)
	r.e.HandleOwnerLost(r.now, ownerA)
	assert.Equal(t, r.takeCall(CallStop, "w").ID, other.ID)
	assert.Assert(t, !r.hasCall(CallStop))
	r.e.Reconcile(r.now, ownerB, []string{"a"})
	r.drain()
	told := r.takeovers[len(r.takeovers)-1]
	assert.Equal(t, told.To, ownerB)
	assert.Equal(t, len(told.Running), 2) // all that runs there: what is missing is over
	r.e.HandleClaims(r.now, Claims{Owner: ownerB, Worker: "w", Tasks: []task.Task{k}})
	r.advance(2 * OrphanTimeout)
	r.calls = nil
	r.e.stopOrphans(r.now, r.e.workers["w"])
	assert.Assert(t, !r.hasCall(CallStop))
	assert.Equal(t, r.outcomes(ownerB, k.ID), "started ")
}

// Nobody claims it: it is stopped, so that the task is safe to start again, and if it
// was done by then its end is kept for whoever asks.
func TestOrphanedRunIsStopped(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.e.HandleOwnerLost(r.now, ownerA)
	r.advance(OrphanTimeout - 50*time.Millisecond)
	assert.Assert(t, !r.hasCall(CallStop))
	r.advance(100 * time.Millisecond)
	r.takeCall(CallStop, "w")
	r.answerPoll("w", completionOf(1, k.ID, 1, "done"))
	r.e.Reconcile(r.now, ownerB, []string{"a"})
	r.drain()
	told := r.takeovers[len(r.takeovers)-1]
	assert.Equal(t, len(told.Completed), 1)
	assert.Assert(t, told.Completed[0].Done)
}

// A task of a coordinator that has lost its title is taken back: it is stopped, and an
// end that comes first is held for the heir.
func TestCompletionOfWithdrawnDurableTaskIsHeld(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.e.WithdrawDurable(r.now, ownerA, []task.ID{k.ID})
	r.takeCall(CallStop, "w")
	r.answerPoll("w", completionOf(1, k.ID, 1, "done"))
	assert.Equal(t, r.e.workers["w"].acknowledgeable(), uint64(0))
	r.e.Withdraw(r.now, ownerB, []task.ID{k.ID}, false) // it wasn't told of the end, and may have started the task again
	assert.Equal(t, r.e.workers["w"].acknowledgeable(), uint64(0))
	r.e.Reconcile(r.now, ownerB, []string{"a"})
	r.e.Withdraw(r.now, ownerB, []task.ID{k.ID}, false) // the job's end is stored
	assert.Equal(t, r.e.workers["w"].acknowledgeable(), uint64(1))
}

// A worker is taken over and lists ends of which nobody here knows whether they are of
// kept jobs: they are held until the store has told which jobs have not ended.
func TestCompletionsFoundAtTakeoverAreLookedUp(t *testing.T) {
	r := newRig(t)
	r.e.SetWorkers(r.now, []WorkerInfo{workerNamed("w")})
	r.advance(25 * time.Millisecond)
	keptID, otherID := task.ID{Job: "kept"}, task.ID{Job: "other"}
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: OK, Completions: []Completion{completionOf(4, otherID, 1, "done"), completionOf(5, keptID, 1, "done"), completionOf(6, otherID, 2, "stopped")}})
	r.e.ExpectClaims(r.now, "w", nil)
	r.e.Tick(r.now)
	asked := r.e.Drain().JobsToLookUp
	slices.Sort(asked)
	assert.DeepEqual(t, asked, []string{"kept", "other"})
	w := r.e.workers["w"]
	assert.Equal(t, w.acknowledgeable(), uint64(3))
	r.e.ApplyJobStates(r.now, r.now, func(job string) JobState { return map[string]JobState{"kept": JobOpen}[job] })
	assert.Equal(t, w.acknowledgeable(), uint64(4))
	r.e.Reconcile(r.now, ownerB, []string{"kept"})
	r.drain()
	assert.Equal(t, len(r.takeovers[len(r.takeovers)-1].Completed), 1)
	r.e.ConfirmStored(r.now, []task.RunRef{{ID: keptID, Run: 1}})
	assert.Equal(t, w.acknowledgeable(), uint64(6))
}

// A run is found at a takeover and ends before its coordinator claims it: the claim is
// answered by how it ended, and not by "gone", or the task would run again.
func TestCompletionBeforeClaimIsReported(t *testing.T) {
	r := newRig(t)
	r.e.SetWorkers(r.now, []WorkerInfo{workerNamed("w")})
	r.advance(25 * time.Millisecond)
	k := durableTask("a", 0)
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: OK, Running: listing(k.ID, 1)})
	r.advance(25 * time.Millisecond)
	r.answerPoll("w", completionOf(1, k.ID, 1, "done"))
	r.e.HandleClaims(r.now, Claims{Owner: ownerA, Worker: "w", Tasks: []task.Task{k}})
	assert.Equal(t, r.outcomes(ownerA, k.ID), "done ")
	assert.Equal(t, r.e.workers["w"].acknowledgeable(), uint64(0))
}

// A task was started again elsewhere before its end was known. The end counts for nothing
// once the worker's lease has lapsed, so that is let happen first; new runs would prolong it.
func TestSupersededCompletionWaitsForLeaseExpiry(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.answerPoll("w", completionOf(1, k.ID, 1, "done"))
	r.e.MarkSuperseded(runRefs(k))
	r.e.Offer(r.now, ownerB, []task.Task{testTask("b", 0)})
	assert.Assert(t, !r.hasCall(CallStart))
	w := r.e.workers["w"]
	for r.clock() <= w.grantedUntil {
		assert.Equal(t, w.acknowledgeable(), uint64(0))
		r.advance(25 * time.Millisecond)
		if r.hasCall(CallPoll) {
			p := r.takeCall(CallPoll, "w")
			assert.Equal(t, p.Deadline, int64(0))
			r.answer(p, Answer{Verdict: OK, Completions: []Completion{completionOf(1, k.ID, 1, "done")}})
		}
	}
	r.advance(50 * time.Millisecond)
	assert.Equal(t, w.acknowledgeable(), uint64(1))
	assert.Assert(t, r.hasCall(CallStart))
}

// An end that its coordinator has not settled for long, though the job has not ended, is
// late too: another coordinator may look after the job.
func TestUnconfirmedCompletionBecomesLate(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.answerPoll("w", completionOf(1, k.ID, 1, "done"))
	w := r.e.workers["w"]
	for range 2 {
		assert.Assert(t, !w.awaitsLeaseExpiry())
		r.now += confirmTimeout
		r.e.ApplyJobStates(r.now, r.now, func(string) JobState { return JobOpen })
	}
	assert.Assert(t, w.awaitsLeaseExpiry())
}

// A coordinator has lost sight of this executor and asks for its tasks. What waits here
// is given back, and none of it starts any more.
func TestReconcileReturnsWaitingTasks(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	for i := range uint32(3) {
		r.e.Offer(r.now, ownerA, []task.Task{durableTask("a", i)})
	}
	r.e.Reconcile(r.now, ownerA, []string{"a"})
	assert.Equal(t, r.outcomes(ownerA, task.ID{Job: "a", Index: 2}), "not_run ")
	_, waiting := r.e.Load()
	assert.Equal(t, waiting, 0)
}

// A step may have one task on each worker; others wait though there is room.
func TestPerWorkerLimit(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	a, b := testTask("a", 0), testTask("a", 1)
	a.PerWorker, b.PerWorker = 1, 1
	r.startTask(ownerA, a)
	r.e.Offer(r.now, ownerA, []task.Task{b, testTask("c", 0)})
	assert.Equal(t, r.takeCall(CallStart, "w").ID.Job, "c")
	assert.Assert(t, !r.hasCall(CallStart))
	r.answerPoll("w", completionOf(1, a.ID, 1, "done"))
	assert.Equal(t, r.takeCall(CallStart, "w").ID, b.ID)
}

// Of a worker that is told about, all ends are told, also those of jobs that were not asked
// for: the coordinator takes what is not in the lists as over.
func TestReconcileListsAllCompletions(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	a, b := durableTask("a", 0), durableTask("b", 0)
	r.startTask(ownerA, a)
	r.startTask(ownerA, b)
	r.answerPoll("w", completionOf(1, a.ID, 1, "done"), completionOf(2, b.ID, 1, "done"))
	r.e.Reconcile(r.now, ownerA, []string{"a"})
	r.drain()
	assert.Equal(t, len(r.takeovers[len(r.takeovers)-1].Completed), 2)
}

// Another holder takes the worker: it finds the ends on the list, and settling them is its
// business. An older settlement must not make this one acknowledge anything.
func TestTakenWorkerHasNoUnacknowledgedCompletions(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.answerPoll("w", completionOf(1, k.ID, 1, "done"))
	r.advance(unacknowledgedPollDelay)
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: Fenced})
	assert.Equal(t, len(r.e.workers["w"].unacknowledged), 0)
	assert.Assert(t, !r.e.workers["w"].awaitsLeaseExpiry())
}

// An executor is cut off from a coordinator while it holds an end. The coordinator starts
// the task again elsewhere and ends the job; then the cut heals. Acknowledged now, the end
// would make that a second run of a task that was done.
func TestCompletionOfLostCoordinatorBecomesLate(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.startTask(ownerB, testTask("b", 0)) // keeps the lease alive
	other := listing(task.ID{Job: "b"}, 1)
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, k.ID, 1, "done")}, Running: other})
	r.e.HandleOwnerLost(r.now, ownerA)
	w := r.e.workers["w"]
	r.advance(lostOwnerTimeout - 50*time.Millisecond)
	assert.Assert(t, !w.awaitsLeaseExpiry())
	r.advance(75 * time.Millisecond)
	assert.Assert(t, w.awaitsLeaseExpiry())
	r.now += confirmTimeout
	r.e.ApplyJobStates(r.now, r.now, func(string) JobState { return JobEnded })
	assert.Equal(t, w.acknowledgeable(), uint64(0))
}

// The same, and the run ends after its coordinator is out of sight.
func TestCompletionOfOrphanedRunBecomesLate(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.startTask(ownerB, testTask("b", 0))
	r.e.HandleOwnerLost(r.now, ownerA)
	r.advance(time.Second)
	r.answer(r.takeCall(CallPoll, "w"), Answer{
		Verdict: OK, Completions: []Completion{completionOf(1, k.ID, 1, "done")}, Running: listing(task.ID{Job: "b"}, 1),
	})
	r.advance(lostOwnerTimeout - 900*time.Millisecond)
	assert.Assert(t, r.e.workers["w"].awaitsLeaseExpiry())
}

// A worker is taken over with the end of a job that was kept and has ended since: someone
// may have started the task again in between.
func TestCompletionFoundForEndedJobIsLate(t *testing.T) {
	r := newRig(t)
	r.e.SetWorkers(r.now, []WorkerInfo{workerNamed("w")})
	r.advance(25 * time.Millisecond)
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: OK, Completions: []Completion{completionOf(4, task.ID{Job: "a"}, 1, "done")}})
	r.e.ApplyJobStates(r.now, r.now, func(string) JobState { return JobEnded })
	w := r.e.workers["w"]
	assert.Assert(t, w.awaitsLeaseExpiry())
	assert.Equal(t, w.acknowledgeable(), uint64(3))
}

// A job has ended elsewhere by a second run: the first run's end would be acknowledged within its lease.
func TestCompletionOfWithdrawnDurableTaskBecomesLate(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.startTask(ownerB, testTask("b", 0)) // keeps the lease alive
	r.answer(r.takeCall(CallPoll, "w"), Answer{
		Verdict: OK, Completions: []Completion{completionOf(1, k.ID, 1, "done")}, Running: listing(task.ID{Job: "b"}, 1),
	})
	r.e.WithdrawDurable(r.now, ownerA, []task.ID{k.ID})
	for _, state := range []JobState{JobOpen, JobEnded} {
		r.now += confirmTimeout
		r.e.ApplyJobStates(r.now, r.now, func(string) JobState { return state })
		assert.Equal(t, r.e.workers["w"].acknowledgeable(), uint64(0), "%d", state)
	}
	assert.Assert(t, r.e.workers["w"].awaitsLeaseExpiry())
}

// The store has forgotten a job's state: a held end of it would count as one of a job that was never kept.
func TestCompletionOfJobMissingFromStoreIsLate(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.answerPoll("w", completionOf(1, k.ID, 1, "done"))
	r.now += confirmTimeout
	r.e.ApplyJobStates(r.now, r.now, func(string) JobState { return JobNotDurable })
	assert.Equal(t, r.e.workers["w"].acknowledgeable(), uint64(0))
}

// An heir stores a late end: it would be acknowledged at once, though an earlier heir may have started the task again.
func TestStoredLateCompletionWaitsForLeaseExpiry(t *testing.T) {
	for name, settle := range map[string]func(*rig, task.Task){
		"stored":    func(r *rig, k task.Task) { r.e.ConfirmStored(r.now, runRefs(k)) },
		"withdrawn": func(r *rig, k task.Task) { r.e.Withdraw(r.now, ownerB, []task.ID{k.ID}, false) },
	} {
		r := newRig(t)
		r.holdWorkers("w")
		k := durableTask("a", 0)
		r.startTask(ownerA, k)
		r.startTask(ownerB, testTask("b", 0)) // keeps the lease alive
		r.answer(r.takeCall(CallPoll, "w"), Answer{
			Verdict: OK, Completions: []Completion{completionOf(1, k.ID, 1, "done")}, Running: listing(task.ID{Job: "b"}, 1),
		})
		r.e.HandleOwnerLost(r.now, ownerA)
		r.advance(lostOwnerTimeout + 25*time.Millisecond)
		w := r.e.workers["w"]
		assert.Assert(t, w.awaitsLeaseExpiry(), name)
		r.e.Reconcile(r.now, ownerB, []string{"a"})
		settle(r, k)
		assert.Equal(t, w.acknowledgeable(), uint64(0), name)
	}
}
