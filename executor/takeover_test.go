package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// takeOver makes the executor take over a worker that lists a run.
func takeOver(r *rig, id task.ID) {
	r.t.Helper()
	r.e.SetWorkers(r.now, []WorkerInfo{workerNamed("w1")})
	r.advance(25 * time.Millisecond)
	first := r.takeCall(CallPoll, "w1")
	assert.Equal(r.t, first.Deadline, int64(0), "the first poll must not extend leases of runs that no coordinator has claimed")
	r.answer(first, Answer{Verdict: OK, Running: listing(id, 3)})
	r.e.ExpectClaims(r.now, "w1", []member.Process{ownerA, ownerB})
	r.drain()
}

// A holder crashes while its worker runs a task. The successor asks coordinators to claim the run.
// The claimed run goes on, and its caller sees no delay.
func TestClaimedRunGoesOn(t *testing.T) {
	r := newRig(t)
	mine := testTask("j", 0)
	mine.Run = 3
	takeOver(r, mine.ID)
	assert.Equal(t, r.takeovers[0].Running[0].ID, mine.ID)
	r.e.HandleClaims(r.now, Claims{Owner: ownerB, Worker: "w1"})
	r.e.HandleClaims(r.now, Claims{Owner: ownerA, Worker: "w1", Tasks: []task.Task{mine}})
	assert.Equal(t, r.outcomes(ownerA, mine.ID), "started ")
	assert.Equal(t, r.e.WorkerCapacities(r.now)[0].Free.MilliCPU, int64(1000))
	assert.Assert(t, r.e.WorkerCapacities(r.now)[0].Open)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, mine.ID, 3, "done")}})
	assert.Equal(t, r.outcomes(ownerA, mine.ID), "started done ")
}

// An unclaimed run belongs to a lost coordinator, so the executor stops it. Until its completion is
// listed the worker must get no task, as the capacity that the run uses is unknown.
func TestUnclaimedRunIsStopped(t *testing.T) {
	r := newRig(t)
	id := testTask("j", 0).ID
	takeOver(r, id)
	r.e.HandleClaims(r.now, Claims{Owner: ownerA, Worker: "w1"})
	r.e.HandleClaims(r.now, Claims{Owner: ownerB, Worker: "w1"})
	stop := r.takeCall(CallStop, "w1")
	assert.Equal(t, stop.ID, id)
	assert.Equal(t, stop.Run, uint32(3))
	assert.Assert(t, !r.e.WorkerCapacities(r.now)[0].Open)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, id, 3, "stopped")}})
	r.advance(25 * time.Millisecond)
	assert.Assert(t, r.e.WorkerCapacities(r.now)[0].Open)
}

// A partition separates two daemons. One takes a worker over from the other. The other cannot reach
// the worker any more, and counts its run as over once the leases that it granted have expired. If
// the new holder extended the worker's lease meanwhile, for a run whose coordinator it cannot ask,
// that run would go on beside its second start.
func TestUnclaimedRunIsNotExtended(t *testing.T) {
	r := newRig(t)
	mine := testTask("j", 0)
	mine.Run = 3
	takeOver(r, mine.ID)
	c := r.takeCall(CallPoll, "w1")
	assert.Equal(t, c.Deadline, int64(0), "no coordinator has claimed the run yet")
	r.e.HandleClaims(r.now, Claims{Owner: ownerA, Worker: "w1"})
	r.answer(c, Answer{Verdict: OK, Running: listing(mine.ID, 3)})
	c = r.takeCall(CallPoll, "w1")
	assert.Equal(t, c.Deadline, int64(0))
	r.advance(claimTimeout + 50*time.Millisecond)
	assert.Equal(t, r.takeCall(CallStop, "w1").ID, mine.ID)
	r.answer(c, Answer{Verdict: OK, Running: listing(mine.ID, 3)})
	assert.Equal(t, r.takeCall(CallPoll, "w1").Deadline, int64(0), "the stop may be lost while polls pass")
}

// The executor extends the lease of a run once its coordinator has claimed it.
func TestClaimedRunIsExtended(t *testing.T) {
	r := newRig(t)
	mine := testTask("j", 0)
	mine.Run = 3
	takeOver(r, mine.ID)
	r.e.HandleClaims(r.now, Claims{Owner: ownerA, Worker: "w1", Tasks: []task.Task{mine}})
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Running: listing(mine.ID, 3)})
	assert.Assert(t, r.takeCall(CallPoll, "w1").Deadline > 0)
}

// A coordinator that does not answer must not keep the worker closed forever.
func TestClaimsTimeOut(t *testing.T) {
	r := newRig(t)
	id := testTask("j", 0).ID
	takeOver(r, id)
	r.advance(claimTimeout + 50*time.Millisecond)
	assert.Equal(t, r.takeCall(CallStop, "w1").ID, id)
}

// The executor answers a claim for a run that the worker does not list at once: the run is over,
// and its coordinator may start the task again.
func TestClaimOfUnlistedRunIsAnswered(t *testing.T) {
	r := newRig(t)
	takeOver(r, testTask("j", 0).ID)
	other := testTask("other", 0)
	r.e.HandleClaims(r.now, Claims{Owner: ownerA, Worker: "w1", Tasks: []task.Task{other}})
	assert.Equal(t, r.outcomes(ownerA, other.ID), "gone ")
}

// Another daemon takes a worker by a higher token, and the runs go on there. If this executor
// reported them as gone, their tasks would start a second time beside them.
func TestFencedHolderYields(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	c := r.startTask(ownerA, testTask("j", 0))
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Fenced})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started moved ")
	assert.Equal(t, len(r.e.WorkerCapacities(r.now)), 0)
	r.advance(yieldDelay / 2)
	assert.Assert(t, !r.hasCall(CallPoll), "two daemons whose views differ must not keep taking a worker from each other")
	r.advance(yieldDelay)
	assert.Assert(t, r.takeCall(CallPoll, "w1").Token > c.Token)
}

// A start that is refused for its token has not run. The task waits for another worker here.
func TestFencedStartIsRequeued(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1", "w2")
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	c := r.takeCall(CallStart, "")
	r.answer(c, Answer{Verdict: Fenced})
	again := r.takeCall(CallStart, "")
	assert.Assert(t, again.Worker != c.Worker)
	assert.Equal(t, again.ID, c.ID)
}

// A worker is assigned to another daemon while this one still uses it, and the other daemon takes
// it. If this one took it back, the two would take it from each other every 1.5 s forever.
func TestUnassignedWorkerIsNotTakenBack(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1", "w2")
	r.e.SetWorkers(r.now, []WorkerInfo{workerNamed("w2")})
	r.startTask(ownerA, testTask("j", 0))
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Fenced})
	r.advance(3 * yieldDelay)
	for _, c := range r.calls {
		assert.Assert(t, c.Worker != "w1", "an unassigned worker was taken back")
	}
}

// A start has no answer yet when its worker turns out to be taken. Its answer shows whether the
// worker obeyed it. If the worker refused it for its token, the task has not run and waits for
// another worker. A report of "moved" would make its coordinator wait for a run that does not
// exist.
func TestUnansweredStartOnTakenWorkerIsNotReportedMoved(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1", "w2")
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	c := r.takeCall(CallStart, "")
	r.answer(r.takeCall(CallPoll, c.Worker), Answer{Verdict: Fenced})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "")
	r.answer(c, Answer{Verdict: Fenced})
	assert.Assert(t, r.takeCall(CallStart, "").Worker != c.Worker)
	assert.Equal(t, r.outcomes(ownerA, c.ID), "")
}

// A coordinator claims a run that is being stopped as unclaimed. It has to get a report when the
// run is over, or it would wait forever.
func TestLateClaimIsAnswered(t *testing.T) {
	r := newRig(t)
	mine := testTask("j", 0)
	mine.Run = 3
	takeOver(r, mine.ID)
	r.e.HandleClaims(r.now, Claims{Owner: ownerA, Worker: "w1"})
	r.e.HandleClaims(r.now, Claims{Owner: ownerB, Worker: "w1"})
	r.e.HandleClaims(r.now, Claims{Owner: ownerA, Worker: "w1", Tasks: []task.Task{mine}})
	r.answer(r.takeCall(CallStop, "w1"), Answer{Verdict: OK})
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, mine.ID, 3, "stopped")}})
	assert.Equal(t, r.outcomes(ownerA, mine.ID), "gone ")
}

// A partition cut a failure domain off, with its daemons and workers. Daemons on the other side
// tried to take its workers over and did not reach them. After the partition a worker answers that
// it obeys its holder. It must be left to that holder until the daemons have reconnected. If it
// were taken at once, its runs would be stopped and their callers would wait in vain.
func TestWorkerIsLeftToHolderAfterPartition(t *testing.T) {
	r := newRig(t)
	r.e.SetWorkers(r.now, []WorkerInfo{workerNamed("w1")})
	r.advance(testStop)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Unsent})
	r.advance(acquireRetryDelay)
	probe := r.takeCall(CallPoll, "w1")
	assert.Equal(t, probe.Token, uint64(0), "a poll that is obeyed takes the worker")
	r.answer(probe, Answer{Verdict: Unknown})
	r.advance(acquireRetryDelay)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Fenced})
	r.advance(reconnectWait / 2)
	assert.Assert(t, !r.hasCall(CallPoll))
	r.e.SetWorkers(r.now, nil) // the daemons have reconnected
	r.advance(2 * reconnectWait)
	assert.Assert(t, !r.hasCall(CallPoll))
}

// A worker is reachable again, but its holder does not return. The executor has to take the worker.
func TestWorkerOfLostHolderIsTakenAfterWait(t *testing.T) {
	r := newRig(t)
	r.e.SetWorkers(r.now, []WorkerInfo{workerNamed("w1"), workerNamed("w2")})
	r.advance(testStop)
	for _, id := range []string{"w1", "w2"} {
		r.answer(r.takeCall(CallPoll, id), Answer{Verdict: Unsent})
	}
	r.advance(acquireRetryDelay)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Fenced})
	r.answer(r.takeCall(CallPoll, "w2"), Answer{Verdict: OK, Clock: r.clock()})
	r.advance(50 * time.Millisecond)
	assert.Assert(t, r.takeCall(CallPoll, "w2").Token > 0, "no other holder has it")
	r.advance(reconnectWait)
	c := r.takeCall(CallPoll, "w1")
	assert.Assert(t, c.Token > 0)
	r.answer(c, Answer{Verdict: OK, Clock: r.clock()})
	assert.Equal(t, len(r.e.WorkerCapacities(r.now)), 1)
}

// All daemons lost power and have restarted. A worker that one of them takes lists no runs, and
// coordinators have not answered the takeover, as they may still be starting. There is nothing to
// claim, so tasks have to start on the worker at once. On a worker with runs, the claims come
// first.
func TestWorkerWithoutRunsOpensAtOnce(t *testing.T) {
	r := newRig(t)
	r.e.SetWorkers(r.now, []WorkerInfo{workerNamed("free"), workerNamed("busy")})
	r.advance(25 * time.Millisecond)
	found := task.ID{Job: "earlier"}
	r.answer(r.takeCall(CallPoll, "free"), Answer{Verdict: OK})
	r.answer(r.takeCall(CallPoll, "busy"), Answer{Verdict: OK, Running: listing(found, 1)})
	for _, id := range []string{"free", "busy"} {
		r.e.ExpectClaims(r.now, id, []member.Process{ownerA, ownerB})
	}
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0), testTask("j", 1), testTask("j", 2)})
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "free")
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "free")
	assert.Assert(t, !r.hasCall(CallStart), "runs on the other worker may be claimed")
}

// A worker with an unacknowledged completion is taken and taken back. If the completion counted as
// read, it would be acknowledged before it is stored.
func TestUnacknowledgedCompletionOfWorkerTakenBack(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	k := durableTask("a", 0)
	r.startTask(ownerA, k)
	end := completionOf(1, k.ID, 1, "done")
	r.answerPoll("w", end)
	r.advance(unacknowledgedPollDelay)
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: Fenced})
	r.advance(yieldDelay + 25*time.Millisecond)
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: OK, Completions: []Completion{end}})
	assert.Equal(t, len(r.takeovers[len(r.takeovers)-1].Completed), 1, "another coordinator may own the job by now")
	r.e.ExpectClaims(r.now, "w", nil)
	r.calls = nil
	r.advance(unacknowledgedPollDelay)
	assert.Equal(t, r.takeCall(CallPoll, "w").Acknowledge, uint64(0))
	r.e.Reconcile(r.now, ownerB, []task.OwnedJob{{ID: "a"}})
	r.drain()
	assert.Equal(t, len(r.takeovers[len(r.takeovers)-1].Completed), 1)
	r.e.ConfirmStored(r.now, runRefs(k))
	assert.Equal(t, r.e.workers["w"].acknowledgeable(), uint64(1))
}

// A coordinator that was cut off has lost its jobs to a successor and can't read so in the store. Its claim of
// the successor's run must be refused: the run would be stopped when it learns of its loss, and the successor
// not be told.
func TestClaimOfEarlierOwnerIsRefused(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	earlier, later := durableTask("a", 0), durableTask("a", 0)
	earlier.OwnedSince, later.OwnedSince, later.Run = 5, 9, 2
	r.startTask(ownerB, later)
	r.e.Reconcile(r.now, ownerA, []task.OwnedJob{{ID: "a", OwnedSince: earlier.OwnedSince}})
	earlier.Run = later.Run // as listed
	r.e.HandleClaims(r.now, Claims{Owner: ownerA, Worker: "w", Tasks: []task.Task{earlier}})
	r.e.WithdrawDurable(r.now, ownerA, []task.ID{earlier.ID})
	assert.Assert(t, !r.hasCall(CallStop))
	r.answerPoll("w", completionOf(1, later.ID, later.Run, "done"))
	assert.Equal(t, r.outcomes(ownerB, later.ID), "started done ")
	assert.Equal(t, r.outcomes(ownerA, later.ID), "")
}

// A coordinator that does not know yet that a successor owns its job has claimed the job's run. The
// successor's claim must prevail, and the end of the run go to it, in whichever order they claim.
func TestClaimOfLaterOwnerPrevails(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	earlier, later := durableTask("a", 0), durableTask("a", 0)
	earlier.OwnedSince, later.OwnedSince = 5, 9
	r.startTask(ownerA, earlier)
	r.e.HandleClaims(r.now, Claims{Owner: ownerB, Worker: "w", Tasks: []task.Task{later}})
	r.e.HandleClaims(r.now, Claims{Owner: ownerA, Worker: "w", Tasks: []task.Task{earlier}})
	r.e.WithdrawDurable(r.now, ownerA, []task.ID{earlier.ID})
	assert.Assert(t, !r.hasCall(CallStop))
	r.answerPoll("w", completionOf(1, later.ID, 1, "done"))
	assert.Equal(t, r.outcomes(ownerB, later.ID), "started done ")
}

// A coordinator that has lost its jobs asks for their runs again and again. The successor's tasks that wait
// must stay, and its completions stay its own.
func TestReconcileOfEarlierOwnerTakesNothing(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	ended, waits := durableTask("a", 0), durableTask("a", 1)
	ended.OwnedSince, waits.OwnedSince = 9, 9
	r.startTask(ownerB, ended)
	r.answerPoll("w", completionOf(1, ended.ID, 1, "done"))
	waits.Service = "another"
	r.e.enqueue(&queuedTask{task: &waits, owner: ownerB})
	r.e.Reconcile(r.now, ownerA, []task.OwnedJob{{ID: "a", OwnedSince: 5}})
	_, waiting := r.e.Load()
	assert.Equal(t, waiting, 1)
	assert.Equal(t, r.e.workers["w"].unacknowledged[1].owner, ownerB)
	r.e.Reconcile(r.now, ownerA, []task.OwnedJob{{ID: "a", OwnedSince: 12}})
	_, waiting = r.e.Load()
	assert.Equal(t, waiting, 0, "it owns the job again")
	assert.Equal(t, r.e.workers["w"].unacknowledged[1].owner, ownerA)
}
