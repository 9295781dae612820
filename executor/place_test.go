package executor

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/task"
)

// A worker must never be overfilled. Capacity is a vector and stays in use until the completion is
// listed.
func TestCapacityIsInUseUntilCompletionIsListed(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0), testTask("j", 1), testTask("j", 2)})
	a, b := r.takeCall(CallStart, "w1"), r.takeCall(CallStart, "w1")
	assert.Assert(t, !r.hasCall(CallStart))
	r.answer(a, Answer{Verdict: OK})
	r.answer(b, Answer{Verdict: OK})
	r.e.Withdraw(r.now, ownerA, []task.ID{a.ID}, false)
	r.answer(r.takeCall(CallStop, "w1"), Answer{Verdict: OK})
	assert.Assert(t, !r.hasCall(CallStart), "a run that is being stopped still uses capacity")
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Running: listing(b.ID, 1), Completions: []Completion{completionOf(1, a.ID, 1, "stopped")}})
	assert.Assert(t, r.hasCall(CallStart))
}

// A draining worker gets no new task, and its runs go on.
func TestDrainingWorkerGetsNoNewTask(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	i := workerNamed("w1")
	i.Draining = true
	r.e.SetWorkers(r.now, []WorkerInfo{i})
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	assert.Assert(t, !r.hasCall(CallStart))
	assert.Equal(t, r.outcomes(ownerA, testTask("j", 0).ID), "not_run ", "returned at once: no worker here will run it")
}

// A task that finds no free capacity by its last useful start is returned as not run.
func TestTaskWithoutCapacityInTimeIsReturned(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.startTask(ownerA, testTask("a", 0))
	r.startTask(ownerA, testTask("a", 1))
	late := testTask("b", 0)
	late.StartBy = r.now + 200*time.Millisecond
	r.e.Offer(r.now, ownerB, []task.Task{late})
	r.advance(300 * time.Millisecond)
	assert.Equal(t, r.outcomes(ownerB, late.ID), "not_run ")
}

// A worker fails each run while its health check passes. After three failures in a row it has to
// get no task for a while, or it would draw every task to itself.
func TestFailingWorkerIsEjected(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	for i := range uint32(failuresToEject) {
		c := r.startTask(ownerA, testTask("j", i))
		r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(uint64(i+1), c.ID, 1, "failed")}})
	}
	assert.Assert(t, !r.e.WorkerCapacities(r.now)[0].Open)
	r.advance(unhealthyPause + 50*time.Millisecond)
	assert.Assert(t, r.e.WorkerCapacities(r.now)[0].Open)
}

// A worker lists a run forever without progress. The executor has to stop it, or its caller would
// wait until its deadline.
func TestStalledRunIsStopped(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	c := r.startTask(ownerA, testTask("j", 0))
	for range 10 {
		r.advance(100 * time.Millisecond)
		if r.hasCall(CallStop) {
			break
		}
		r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Running: listing(c.ID, 1)})
	}
	r.answer(r.takeCall(CallStop, "w1"), Answer{Verdict: OK})
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, c.ID, 1, "stopped")}})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started gone ")
}

// Another daemon had run the same task on this worker, so its run number is outdated. The worker
// accepts a higher number, as the earlier run is over.
func TestOutdatedRunNumberIsRaised(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	r.answer(r.takeCall(CallStart, "w1"), Answer{Verdict: Outdated})
	c := r.takeCall(CallStart, "w1")
	assert.Equal(t, c.Run, uint32(2))
	r.answer(c, Answer{Verdict: OK})
	assert.Equal(t, r.reports[len(r.reports)-1].Run, uint32(2))
}

// The estimate of the worker's clock is wrong, for instance after the worker was suspended. The
// worker refuses the start as late, and the answer states its clock. The next start has to be in
// time.
func TestLateStartCorrectsTheClock(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.e.Offer(r.now, ownerA, []task.Task{testTask("j", 0)})
	c := r.takeCall(CallStart, "w1")
	r.answer(c, Answer{Verdict: Late, Clock: c.Deadline + 5000})
	again := r.takeCall(CallStart, "w1")
	assert.Equal(t, again.Deadline, c.Deadline+5000+testLease.Milliseconds())
}

// A worker leaves for good. The executor has to forget it once nothing runs there.
func TestWorkerThatLeftIsDropped(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	c := r.startTask(ownerA, testTask("j", 0))
	gone := func(string) bool { return true }
	r.e.Remove(r.now, gone)
	assert.Equal(t, len(r.e.Drain().DroppedWorkers), 0, "its entry may have expired while it runs on")
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, c.ID, 1, "done")}})
	assert.Equal(t, r.outcomes(ownerA, c.ID), "started done ")
	r.e.Remove(r.now, gone)
	assert.DeepEqual(t, r.e.Drain().DroppedWorkers, []string{"w1"})
}

// A coordinator offers a task for capacity that another coordinator has taken meanwhile. The
// executor has to return the task at once, so that the coordinator can try elsewhere, instead of
// letting it wait here.
func TestNoWaitTaskIsReturnedWhenCapacityIsTaken(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.startTask(ownerA, testTask("a", 0))
	r.startTask(ownerA, testTask("a", 1))
	late := testTask("b", 0)
	late.NoWait = true
	r.e.Offer(r.now, ownerB, []task.Task{late})
	assert.Equal(t, r.outcomes(ownerB, late.ID), "not_run ")
	_, waiting := r.e.Load()
	assert.Equal(t, waiting, 0)
}

// A coordinator has found capacity elsewhere for a task that waits here, and reclaims it. The
// executor returns it as not run. A task that has started meanwhile goes on without a report.
func TestReclaimReturnsWaitingTask(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	first := r.startTask(ownerA, testTask("a", 0))
	r.startTask(ownerA, testTask("a", 1))
	waits := testTask("b", 0)
	r.e.Offer(r.now, ownerA, []task.Task{waits})
	r.e.Reclaim(r.now, ownerB, []task.ID{waits.ID})
	assert.Equal(t, r.outcomes(ownerA, waits.ID), "", "another coordinator must not get the task back")
	r.e.Reclaim(r.now, ownerA, []task.ID{waits.ID, first.ID})
	assert.Equal(t, r.outcomes(ownerA, waits.ID), "not_run ")
	assert.Equal(t, r.outcomes(ownerA, first.ID), "started ")
	assert.Assert(t, !r.hasCall(CallStop))
}

// A task does not wait for work that may start later than it, but it waits for work that is late.
func TestBacklogAheadOfATask(t *testing.T) {
	var b Backlog
	dueIn := func(d time.Duration) *task.Task {
		n := testTask("j", 0)
		n.Due = time.Second + d
		return &n // 100 core-ms
	}
	for _, d := range []time.Duration{50, 130, 250, 450, 1000} {
		b.Add(time.Second, dueIn(d*time.Millisecond))
	}
	assert.Equal(t, b.Ahead(time.Second, dueIn(0)), int64(100))
	assert.Equal(t, b.Ahead(time.Second, dueIn(140*time.Millisecond)), int64(200))
	assert.Equal(t, b.Ahead(time.Second, dueIn(2*time.Second)), int64(500))
}

// A worker's capacity shrinks below what runs there and grows again. Its runs go on, nothing starts
// beside them meanwhile, and regained capacity is used at once.
func TestCapacityShrinksAndGrows(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	one, two := testTask("job", 0), testTask("job", 1)
	r.startTask(ownerA, one)
	small := workerNamed("w")
	small.Capacity.MilliCPU = 500
	r.e.SetWorkers(r.now, []WorkerInfo{small})
	capacities := r.e.WorkerCapacities(r.now)
	assert.Equal(t, capacities[0].Free.MilliCPU, int64(-500))
	assert.Equal(t, capacities[0].Total.MilliCPU, int64(500))
	two.NoWait = true
	r.e.Offer(r.now, ownerA, []task.Task{two})
	assert.Equal(t, r.outcomes(ownerA, two.ID), "not_run ", "no worker has capacity for it now")
	assert.Assert(t, !r.hasCall(CallStop) && !r.hasCall(CallStart))
	r.e.SetWorkers(r.now, []WorkerInfo{workerNamed("w")})
	two.Run = 2
	r.e.Offer(r.now, ownerA, []task.Task{two})
	r.takeCall(CallStart, "w")
}

// A worker is handed to daemons that cannot claim its runs. Its runs have to end here, and nothing
// may start that those daemons would stop.
func TestDepartingWorkerFinishesItsRuns(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w")
	one, two := testTask("job", 0), testTask("job", 1)
	r.startTask(ownerA, one)
	r.e.SetDeparting(func(string) bool { return true })
	r.e.SetWorkers(r.now, nil)
	r.e.Offer(r.now, ownerA, []task.Task{two})
	assert.Equal(t, r.outcomes(ownerA, two.ID), "not_run ")
	r.answer(r.takeCall(CallPoll, "w"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, one.ID, 1, "done")}})
	assert.Equal(t, r.outcomes(ownerA, one.ID), "started done ")
	assert.Assert(t, !r.e.WorkerCapacities(r.now)[0].Usable)
}

// Two thirds of the workers are fast, and one third takes two and a half times as long. Long tasks
// are late on the slow workers, short ones are on time. Each task has to go where it can be on
// time, however often slow workers get tasks. Declared times are off by half.
func TestLongTasksGoToFastWorkers(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("fast", "fast too", "slow")
	slowdowns := map[string]float64{"fast": 0.7, "fast too": 0.7, "slow": 1.7}
	n := uint32(0)
	run := func(expected, due time.Duration) string {
		n++
		one := testTask(fmt.Sprint("job", n), 0)
		one.ExpectedRunTime, one.Due = expected, r.now+due
		r.e.Offer(r.now, ownerA, []task.Task{one})
		c := r.takeCall(CallStart, "")
		r.answer(c, Answer{Verdict: OK})
		factor := []float64{0.67, 1.5}[n/3%2]
		r.now += time.Duration(factor * slowdowns[c.Worker] * float64(expected))
		r.calls = slices.DeleteFunc(r.calls, func(c Call) bool { return c.Kind != CallPoll })
		poll := r.takeCall(CallPoll, c.Worker)
		r.answer(poll, Answer{Verdict: OK, Completions: []Completion{completionOf(uint64(n), one.ID, 1, "done")}})
		return c.Worker
	}
	only := func(worker string) {
		for id, w := range r.e.workers {
			w.pausedUntil = 0
			if id != worker {
				w.pausedUntil = time.Hour
			}
		}
	}
	for range 6 {
		// Each one is the only open worker at that time.
		for _, id := range []string{"fast", "fast too", "slow", "slow", "slow"} {
			only(id)
			run(100*time.Millisecond, time.Second)
		}
	}
	for _, w := range r.e.workers {
		w.pausedUntil = 0
	}
	assert.Assert(t, run(800*time.Millisecond, 1340*time.Millisecond) != "slow")
	r.e.workers["slow"].info.Capacity.MilliCPU--
	assert.Equal(t, run(60*time.Millisecond, 156*time.Millisecond), "slow", "it is on time there, with the least free capacity")
	only("slow")
	last := testTask("last", 0)
	last.ExpectedRunTime, last.Due = 800*time.Millisecond, r.now+1300*time.Millisecond
	r.e.Offer(r.now, ownerA, []task.Task{last})
	assert.Assert(t, !r.hasCall(CallStart), "it may still be on time on the other workers")
	r.advance(950 * time.Millisecond)
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "slow", "late is better than never")
}
