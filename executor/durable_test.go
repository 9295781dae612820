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

// answerPoll answers the standing poll of a worker with completions.
func (r *rig) answerPoll(worker string, completions ...Completion) {
	r.t.Helper()
	r.answer(r.takeCall(CallPoll, worker), Answer{Verdict: OK, Completions: completions})
}

// All daemons lose power after a task is done and before its completion is stored. If the completion
// had been acknowledged, the worker would no longer list it and the task would run again.
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
	assert.Equal(t, r.outcomes(ownerA, k.ID), "started done ", "reported once")
}

// The later of two completions is stored first. Were it acknowledged, the worker would forget the
// earlier one too, which is not stored yet.
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

// A coordinator crashes. The executor stops its other runs at once, as their callers retry. A durable
// job's run has to go on until the successor claims it.
func TestDurableRunSurvivesItsCoordinator(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k, other := durableTask("a", 0), testTask("b", 0)
	r.startTask(ownerA, k)
	r.startTask(ownerA, other)
	r.e.HandleOwnerLost(r.now, ownerA)
	assert.Equal(t, r.takeCall(CallStop, "w").ID, other.ID)
	assert.Assert(t, !r.hasCall(CallStop))
	r.e.Reconcile(r.now, ownerB, []task.OwnedJob{{ID: "a"}})
	r.drain()
	takeover := r.takeovers[len(r.takeovers)-1]
	assert.Equal(t, takeover.To, ownerB)
	assert.Equal(t, len(takeover.Running), 2) // all runs of the worker: a run that is missing counts as over
	r.e.HandleClaims(r.now, Claims{Owner: ownerB, Worker: "w", Tasks: []task.Task{k}})
	r.advance(2 * OrphanTimeout)
	r.calls = nil
	r.e.stopOrphans(r.now, r.e.workers["w"])
	assert.Assert(t, !r.hasCall(CallStop))
	assert.Equal(t, r.outcomes(ownerB, k.ID), "started ")
}

// No coordinator claims an orphaned run. The executor has to stop it, so that its task is safe to
// start again, and to keep its completion for a successor if the task was done by then.
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
	r.e.Reconcile(r.now, ownerB, []task.OwnedJob{{ID: "a"}})
	r.drain()
	takeover := r.takeovers[len(r.takeovers)-1]
	assert.Equal(t, len(takeover.Completed), 1)
	assert.Assert(t, takeover.Completed[0].Done)
}

// A coordinator withdraws a task of a durable job whose ownership record it has lost. The task's
// completion must not be acknowledged before the successor has stored it.
func TestCompletionOfWithdrawnDurableTaskIsHeld(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.e.WithdrawDurable(r.now, ownerA, []task.ID{k.ID})
	r.takeCall(CallStop, "w")
	r.answerPoll("w", completionOf(1, k.ID, 1, "done"))
	assert.Equal(t, r.e.workers["w"].acknowledgeable(), uint64(0))
	// The completion was not reported to ownerB, so ownerB may have started the task again.
	r.e.Withdraw(r.now, ownerB, []task.ID{k.ID}, false)
	assert.Equal(t, r.e.workers["w"].acknowledgeable(), uint64(0))
	r.e.Reconcile(r.now, ownerB, []task.OwnedJob{{ID: "a"}})
	r.e.Withdraw(r.now, ownerB, []task.ID{k.ID}, false) // the job has ended, and that is stored
	assert.Equal(t, r.e.workers["w"].acknowledgeable(), uint64(1))
}

// A worker lists completions at a takeover, and the executor does not know whether their jobs are
// durable. They must not be acknowledged before the store has shown which jobs have not ended.
func TestCompletionsFoundAtTakeoverAreLookedUp(t *testing.T) {
	r := newRig(t)
	r.e.SetWorkers(r.now, []WorkerInfo{workerNamed("w")})
	r.advance(25 * time.Millisecond)
	durableID, otherID := task.ID{Job: "kept"}, task.ID{Job: "other"}
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: OK, Completions: []Completion{completionOf(4, otherID, 1, "done"), completionOf(5, durableID, 1, "done"), completionOf(6, otherID, 2, "stopped")}})
	r.e.ExpectClaims(r.now, "w", nil)
	r.e.Tick(r.now)
	jobs := r.e.Drain().JobsToLookUp
	slices.Sort(jobs)
	assert.DeepEqual(t, jobs, []string{"kept", "other"})
	w := r.e.workers["w"]
	assert.Equal(t, w.acknowledgeable(), uint64(3))
	r.e.ApplyJobStates(r.now, r.now, func(job string) JobState { return map[string]JobState{"kept": JobOpen}[job] })
	assert.Equal(t, w.acknowledgeable(), uint64(4))
	r.e.Reconcile(r.now, ownerB, []task.OwnedJob{{ID: "kept"}})
	r.drain()
	assert.Equal(t, len(r.takeovers[len(r.takeovers)-1].Completed), 1)
	r.e.ConfirmStored(r.now, []task.RunRef{{ID: durableID, Run: 1}})
	assert.Equal(t, w.acknowledgeable(), uint64(6))
}

// A run is found at a takeover and ends before its coordinator claims it. If the claim were answered
// with "gone" instead of how the run ended, the task would run again.
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

// A task was started again elsewhere before its completion was known. The completion counts for
// nothing once the worker's lease has expired. Until then it must not be acknowledged, and new runs
// must not extend the lease.
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

// A coordinator does not confirm a completion in time, though the job has not ended. Another
// coordinator may own the job, so the completion has to become late.
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

// A coordinator lost contact with this executor and reconciles its tasks. Tasks that wait here must
// be returned and must not start any more.
func TestReconcileReturnsWaitingTasks(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	for i := range uint32(3) {
		r.e.Offer(r.now, ownerA, []task.Task{durableTask("a", i)})
	}
	r.e.Reconcile(r.now, ownerA, []task.OwnedJob{{ID: "a"}})
	assert.Equal(t, r.outcomes(ownerA, task.ID{Job: "a", Index: 2}), "not_run ")
	_, waiting := r.e.Load()
	assert.Equal(t, waiting, 0)
}

// A step may have one task on each worker. Its other tasks wait though the worker has capacity.
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

// If a reconciliation list does not show a run, the coordinator takes that run as over. The list
// has to contain all completions of the worker, also those of jobs that the coordinator did not ask
// for.
func TestReconcileListsAllCompletions(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	a, b := durableTask("a", 0), durableTask("b", 0)
	r.startTask(ownerA, a)
	r.startTask(ownerA, b)
	r.answerPoll("w", completionOf(1, a.ID, 1, "done"), completionOf(2, b.ID, 1, "done"))
	r.e.Reconcile(r.now, ownerA, []task.OwnedJob{{ID: "a"}})
	r.drain()
	assert.Equal(t, len(r.takeovers[len(r.takeovers)-1].Completed), 2)
}

// Another holder takes the worker and reads the unacknowledged completions from its list. A late
// confirmation to this executor must not make it acknowledge anything.
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

// An executor with an unacknowledged completion is cut off from its coordinator. The coordinator
// starts the task again elsewhere and ends the job, and the partition ends. If the completion were
// acknowledged then, that second run would be one of a task that was done.
func TestCompletionOfLostCoordinatorBecomesLate(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.startTask(ownerB, testTask("b", 0)) // its run keeps the lease from expiring
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

// The same, but the run ends after its coordinator has become unreachable.
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

// A worker is taken over with a completion of a durable job that has ended since. Another
// coordinator may have started the task again in between, so the completion must not be
// acknowledged within the lease.
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

// A job has ended elsewhere by a second run of its task. The first run's completion must not be
// acknowledged within the worker's lease.
func TestCompletionOfWithdrawnDurableTaskBecomesLate(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	r.startTask(ownerB, testTask("b", 0)) // its run keeps the lease from expiring
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

// The store no longer has a job's state. A completion of the job must not count as one of a job
// that was never durable.
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

// A successor stores a late completion. It must not be acknowledged at once, as an earlier
// successor may have started the task again.
func TestStoredLateCompletionWaitsForLeaseExpiry(t *testing.T) {
	for name, store := range map[string]func(*rig, task.Task){
		"stored":    func(r *rig, k task.Task) { r.e.ConfirmStored(r.now, runRefs(k)) },
		"withdrawn": func(r *rig, k task.Task) { r.e.Withdraw(r.now, ownerB, []task.ID{k.ID}, false) },
	} {
		r := newRig(t)
		r.holdWorkers("w")
		k := durableTask("a", 0)
		r.startTask(ownerA, k)
		r.startTask(ownerB, testTask("b", 0)) // its run keeps the lease from expiring
		r.answer(r.takeCall(CallPoll, "w"), Answer{
			Verdict: OK, Completions: []Completion{completionOf(1, k.ID, 1, "done")}, Running: listing(task.ID{Job: "b"}, 1),
		})
		r.e.HandleOwnerLost(r.now, ownerA)
		r.advance(lostOwnerTimeout + 25*time.Millisecond)
		w := r.e.workers["w"]
		assert.Assert(t, w.awaitsLeaseExpiry(), name)
		r.e.Reconcile(r.now, ownerB, []task.OwnedJob{{ID: "a"}})
		store(r, k)
		assert.Equal(t, w.acknowledgeable(), uint64(0), name)
	}
}
