package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// reclaimed returns how many tasks an executor was asked to give back since the last call.
func (r *rig) reclaimed(p member.Process) (n int) {
	r.drain()
	rest := r.messages[:0]
	for _, m := range r.messages {
		if m.To == p && m.Reclaim != nil {
			n += len(m.Reclaim)
			continue
		}
		rest = append(rest, m)
	}
	r.messages = rest
	return n
}

func (r *rig) notRun(p member.Process, t task.Task, reason string) {
	r.c.HandleReport(r.now, p, task.Report{ID: t.ID, Run: t.Run, Outcome: task.NotRun, Reason: reason})
}

// Another coordinator has used the capacity that an executor reported. The task goes to the next
// executor with free capacity, and no further task to the first until its next heartbeat.
func TestTakenCapacityIsNotTriedAgain(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w1", 2)
	r.setExecutor(peerC, 2, "w2", 2)
	r.c.Submit(r.now, testJob("j", 1))
	first := r.offers(peerB)[0]
	assert.Assert(t, first.NoWait)
	r.notRun(peerB, first, executor.ReasonCapacityTaken)
	assert.Equal(t, len(r.offers(peerC)), 1)
	r.c.Submit(r.now, testJob("k", 1))
	assert.Equal(t, len(r.offers(peerB)), 0)
	assert.Equal(t, len(r.offers(peerC)), 1)
}

// A task is queued at a full executor while another executor gets free capacity. It must be reclaimed
// once, and offered to the other executor when it is given back.
func TestQueuedTaskMovesToFreeCapacity(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w1", 0)
	r.c.Submit(r.now, testJob("j", 1))
	waits := r.offers(peerB)[0]
	assert.Assert(t, !waits.NoWait)
	r.c.Tick(r.now)
	assert.Equal(t, r.reclaimed(peerB), 0)
	r.setExecutor(peerC, 2, "w2", 1)
	r.c.Tick(r.now)
	assert.Equal(t, r.reclaimed(peerB), 1)
	r.c.Tick(r.now)
	assert.Equal(t, r.reclaimed(peerB), 0)
	r.setExecutor(peerC, 2, "w2", 1) // peerC's next heartbeat
	r.notRun(peerB, waits, executor.ReasonReclaimed)
	moved := r.offers(peerC)
	assert.Equal(t, len(moved), 1)
	assert.Assert(t, moved[0].Run > waits.Run)
	assert.Equal(t, len(r.answers), 0)
}

// A task starts at the moment at which it is reclaimed. It must stay where it runs.
func TestStartedTaskDoesNotMove(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w1", 0)
	r.c.Submit(r.now, testJob("j", 1))
	waits := r.offers(peerB)[0]
	r.setExecutor(peerC, 2, "w2", 1)
	r.c.Tick(r.now)
	r.c.HandleReport(r.now, peerB, task.Report{ID: waits.ID, Run: waits.Run, Outcome: task.Started, Worker: "w1"})
	r.c.Tick(r.now)
	assert.Equal(t, len(r.offers(peerC)), 0)
	r.c.HandleReport(r.now, peerB, task.Report{ID: waits.ID, Run: waits.Run, Outcome: task.Done, Worker: "w1"})
	r.drain()
	assert.Equal(t, r.answers[0].Status, Completed)
}

// A queued task must stop moving before its offers are used up, or its job would be given up.
func TestMovesAreBounded(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w1", 0)
	r.c.Submit(r.now, testJob("j", 1))
	at, to := peerB, peerC
	moves := 0
	for range 2 * maxOffers {
		offers := r.offers(at)
		if len(offers) == 0 {
			break
		}
		r.setExecutor(at, 1, "w1", 0)
		r.setExecutor(to, 2, "w2", 1)
		r.c.Tick(r.now)
		if r.reclaimed(at) == 0 {
			break
		}
		r.setExecutor(to, 2, "w2", 0) // another coordinator used it
		r.notRun(at, offers[0], executor.ReasonReclaimed)
		if len(r.offers(at)) > 0 {
			break // the task is queued at the same executor again
		}
		at, to = to, at
		moves++
	}
	assert.Assert(t, moves <= maxMoves)
	assert.Equal(t, len(r.answers), 0, "the task is still queued")
}

// A job ends with its last task, which waits longer than the mean. A job that would be in time by the
// mean alone must be refused at once. A job whose tasks have free capacity must never be refused,
// whatever is queued elsewhere.
func TestRefusalPredictsWaitOfLastTask(t *testing.T) {
	r := newRig(t)
	report := func(copies, backlog int64) {
		r.c.UpdateExecutor(ExecutorState{Process: self, Workers: []executor.WorkerCapacity{workerWith("w1", copies)}, Backlog: backlogOf(backlog)})
	}
	report(0, backlogFor(r, 0.6))
	r.c.Submit(r.now, testJob("in-time", 1))
	assert.Equal(t, len(r.answers), 0)
	report(0, backlogFor(r, 0.8))
	r.c.Submit(r.now, testJob("too-late", 1))
	r.drain()
	assert.Equal(t, len(r.answers), 1)
	assert.Equal(t, r.answers[0].Job, "too-late")
	assert.Equal(t, r.answers[0].Reason, ReasonNoCapacity)
	report(1, backlogFor(r, 0.8))
	r.c.Submit(r.now, testJob("room", 1))
	r.drain()
	assert.Equal(t, len(r.answers), 1, "a job with free capacity is never refused")
}

// backlogFor returns the core-ms for which a task of testJob waits the given part of its spare time.
func backlogFor(r *rig, part float64) int64 {
	j := newJob(r.now, testJob("probe", 1))
	copies := j.tasks[0].Demand.FitCount(workerWith("w1", 0).Total, maxFitCount)
	slack := j.due - r.now - longestChain(j.Steps)
	return int64(part * slack.Seconds() * float64(int64(copies)*j.tasks[0].Demand.MilliCPU))
}

// Tasks of one job wait far longer than predicted, as more urgent ones are queued after them. A job
// of another kind must not be refused for that: its own predicted wait decides.
func TestLongWaitsOfOtherJobsDoNotRefuseAJob(t *testing.T) {
	r := newRig(t)
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: []executor.WorkerCapacity{workerWith("w1", 0)}, Backlog: backlogOf(backlogFor(r, 0.3))})
	slow := testJob("patient", 3)
	slow.Target = time.Minute
	slow.Deadline = time.Hour
	r.c.Submit(r.now, slow)
	waits := r.offers(peerB)
	assert.Equal(t, len(waits), 3)
	r.now += 20 * time.Second
	for _, w := range waits {
		r.c.HandleReport(r.now, peerB, task.Report{ID: w.ID, Run: w.Run, Outcome: task.Started, Worker: "w1"})
	}
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: []executor.WorkerCapacity{workerWith("w1", 0)}, Backlog: backlogOf(backlogFor(r, 0.3))})
	quick := testJob("quick", 1)
	quick.Deadline = r.now + time.Second
	r.c.Submit(r.now, quick)
	r.drain()
	assert.Equal(t, len(r.answers), 0)
	assert.Equal(t, len(r.offers(peerB)), 1)
}

// One service is overloaded. Jobs of another service must not be refused for it.
func TestOverloadOfOneServiceDoesNotRefuseAnother(t *testing.T) {
	r := newRig(t)
	other := workerWith("w2", 0)
	other.Service = "reports"
	r.c.UpdateExecutor(ExecutorState{Process: self, Workers: []executor.WorkerCapacity{workerWith("w1", 0), other}, Backlog: map[string]executor.Backlog{"quotes": {0, 4000}, "reports": {0, 200}}})
	report := testJob("report", 1)
	report.Service = "reports"
	r.c.Submit(r.now, testJob("quote", 1))
	r.c.Submit(r.now, report)
	r.drain()
	assert.Equal(t, len(r.answers), 1)
	assert.Equal(t, r.answers[0].Job, "quote")
}

// A best-effort job with more tasks than the fleet can run at a time runs in waves. It must not be
// refused for its own work.
func TestWideJobIsAdmitted(t *testing.T) {
	r := newRig(t)
	r.c.UpdateExecutor(ExecutorState{Process: self, Workers: []executor.WorkerCapacity{workerWith("w1", 4)}})
	r.c.Submit(r.now, testJob("wide", 40))
	r.drain()
	assert.Equal(t, len(r.answers), 0)
	huge := testJob("huge", 1)
	huge.Steps[0].Demand = capacity.Vector{MilliCPU: 1 << 30}
	r.c.Submit(r.now, huge)
	r.drain()
	r.now += time.Second
	r.c.Tick(r.now)
	r.drain()
	assert.Equal(t, r.answers[0].Status, Refused)
}

// The executor with most free capacity stops reporting. Before it counts as lost it is offered nothing
// new, and its capacity does not count: tasks offered to it would be lost to their callers.
func TestOverdueExecutorIsOfferedNothing(t *testing.T) {
	r := newRig(t)
	workers := []executor.WorkerCapacity{workerWith("w1", 4)}
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: workers, ReportedAt: r.now})
	r.now += defaultReportInterval + overdueTolerance
	r.c.Submit(r.now, testJob("in-time", 1))
	assert.Equal(t, len(r.offers(peerB)), 1)
	r.now += time.Millisecond
	r.c.UpdateExecutor(ExecutorState{Process: peerC, Distance: 2, Workers: []executor.WorkerCapacity{workerWith("w2", 0)}, ReportedAt: r.now})
	r.c.Submit(r.now, testJob("late", 1))
	assert.Equal(t, len(r.offers(peerB)), 0)
	assert.Equal(t, len(r.offers(peerC)), 1)
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: workers, ReportedAt: r.now})
	r.c.Submit(r.now, testJob("again", 1))
	assert.Equal(t, len(r.offers(peerB)), 1)
}

// Many callers are refused at once. Each must get a later retry time than those before it, spread by
// the time that their work takes, and none later than maxRetryAfter: or their retries come as a burst.
func TestRetriesOfRefusedCallersAreSpread(t *testing.T) {
	r := newRig(t)
	r.c.UpdateExecutor(ExecutorState{Process: self, Workers: []executor.WorkerCapacity{workerWith("w1", 0)}, Backlog: backlogOf(4000)})
	var last time.Duration
	for i := range 40 {
		r.c.Submit(r.now, testJob(string(rune('a'+i)), 1))
		r.drain()
		after := r.answers[i].RetryAfter
		assert.Equal(t, r.answers[i].Reason, ReasonNoCapacity)
		assert.Assert(t, after > last || after == maxRetryAfter, "%s after %s", after, last)
		last = after
	}
	assert.Equal(t, last, min(last, maxRetryAfter))
	r.now += time.Minute
	r.c.Submit(r.now, testJob("later", 1))
	r.drain()
	assert.Assert(t, r.answers[40].RetryAfter < 2*time.Second, "the callers of a minute ago have retried already")
}

// All daemons lost power, and all callers retry at once. One worker of eight is known; the others are
// taken over within some hundred ms. Jobs without capacity must wait for those, and not be refused by
// the capacity of the first. Once the workers are known, jobs are refused as usual.
func TestJobWaitsForExpectedWorkers(t *testing.T) {
	r := newRig(t)
	r.c.ExpectWorkers(8)
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: []executor.WorkerCapacity{workerWith("w1", 0)}, Backlog: backlogOf(2000)})
	r.c.Submit(r.now, testJob("j", 3))
	assert.Equal(t, len(r.offers(peerB)), 0)
	assert.Equal(t, len(r.answers), 0)
	var workers []executor.WorkerCapacity
	for _, w := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		workers = append(workers, workerWith(w, 1))
	}
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: workers})
	r.c.Tick(r.now)
	assert.Equal(t, len(r.offers(peerB)), 3)

	for i := range workers {
		workers[i].Free = capacity.Vector{}
	}
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: workers, Backlog: backlogOf(20000)})
	r.c.Submit(r.now, testJob("k", 3))
	r.drain()
	assert.Equal(t, r.answers[0].Reason, ReasonNoCapacity)
}

// The expected workers do not appear. A parked job must be queued at the known workers after
// maxParkTime, and not wait any longer.
func TestExpectedWorkersThatDoNotAppear(t *testing.T) {
	r := newRig(t)
	r.c.ExpectWorkers(8)
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: []executor.WorkerCapacity{workerWith("w1", 0)}, Backlog: backlogOf(20000)})
	r.c.Submit(r.now, testJob("j", 3))
	r.now += 100 * time.Millisecond
	r.c.Tick(r.now)
	assert.Equal(t, len(r.offers(peerB)), 0)
	r.now += maxParkTime
	r.c.Tick(r.now)
	assert.Equal(t, len(r.offers(peerB)), 3)
}

// A simulated placement subtracts capacity and restores it: none may be missing afterwards.
func TestSimulatedPlacementChangesNothing(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w1", 3)
	for range 5 {
		r.c.Submit(r.now, testJob("wide", 4)) // there is no capacity for the fourth task
		r.c.Cancel(r.now, "wide")
		r.setExecutor(peerB, 1, "w1", 3)
	}
	r.offers(peerB)
	r.setExecutor(peerB, 1, "w1", 3)
	j := newJob(r.now, testJob("j", 3))
	for range 3 {
		assert.Assert(t, r.c.executors.fitsAll(r.now, j.readyTasks()))
	}
}
