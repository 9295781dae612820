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

// reclaimed returns how many tasks an executor was asked for since the last call.
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

// Two coordinators were told of the same room, and the other one took it. The task goes to
// the next executor with room, and no more to the first until its next heartbeat.
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

// A task waits at an executor that is full while room appears at another. It is asked back,
// once, and goes there when it is given back.
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
	r.setExecutor(peerC, 2, "w2", 1) // its next heartbeat
	r.notRun(peerB, waits, executor.ReasonReclaimed)
	moved := r.offers(peerC)
	assert.Equal(t, len(moved), 1)
	assert.Assert(t, moved[0].Run > waits.Run)
	assert.Equal(t, len(r.answers), 0)
}

// A task that was asked back has started at the same moment: it goes on where it is.
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

// A task that no executor has room for stops moving before it has used up its offers.
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
		r.setExecutor(to, 2, "w2", 0) // taken by another
		r.notRun(at, offers[0], executor.ReasonReclaimed)
		if len(r.offers(at)) > 0 {
			break // it waits at the same executor again
		}
		at, to = to, at
		moves++
	}
	assert.Assert(t, moves <= maxMoves)
	assert.Equal(t, len(r.answers), 0, "it still waits")
}

// A job of several tasks ends with its last, which waits longer than the work before it lasts
// on average. One that would be in time by the mean alone is refused, at once; with room for its
// tasks it never is, whatever waits elsewhere.
func TestRefusalPredictsWaitOfLastTask(t *testing.T) {
	r := newRig(t)
	told := func(copies, backlog int64) {
		r.c.UpdateExecutor(ExecutorState{Process: self, Workers: []executor.WorkerCapacity{workerWith("w1", copies)}, Backlog: backlogOf(backlog)})
	}
	told(0, backlogFor(r, 0.6))
	r.c.Submit(r.now, testJob("in-time", 1))
	assert.Equal(t, len(r.answers), 0)
	told(0, backlogFor(r, 0.8))
	r.c.Submit(r.now, testJob("too-late", 1))
	r.drain()
	assert.Equal(t, len(r.answers), 1)
	assert.Equal(t, r.answers[0].Job, "too-late")
	assert.Equal(t, r.answers[0].Reason, ReasonNoCapacity)
	told(1, backlogFor(r, 0.8))
	r.c.Submit(r.now, testJob("room", 1))
	r.drain()
	assert.Equal(t, len(r.answers), 1, "with room a job is never refused")
}

// backlogFor is the core-ms for which a task of testJob waits a part of the time that it can.
func backlogFor(r *rig, part float64) int64 {
	j := newJob(r.now, testJob("probe", 1))
	copies := j.tasks[0].Demand.FitCount(workerWith("w1", 0).Total, maxFitCount)
	slack := j.due - r.now - longestChain(j.Steps)
	return int64(part * slack.Seconds() * float64(int64(copies)*j.tasks[0].Demand.MilliCPU))
}

// Tasks of one kind wait far longer than was foreseen, as more urgent ones come after them. That
// says nothing of a job of another kind: what is in time by its own wait is taken.
func TestLongWaitsOfOtherJobsDoNotRefuseAJob(t *testing.T) {
	r := newRig(t)
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: []executor.WorkerCapacity{workerWith("w1", 0)}, Backlog: backlogOf(backlogFor(r, 0.3))})
	patient := testJob("patient", 3)
	patient.Target = time.Minute
	patient.Deadline = time.Hour
	r.c.Submit(r.now, patient)
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

// One service is overloaded. Jobs of another are judged by its own load.
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

// A best-effort job that is wider than the fleet runs in waves; its own work is no reason to
// refuse it.
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

// A daemon that has most room falls silent. Before it is given up it gets nothing new, and
// its room is not counted on: tasks offered there would be lost to their callers.
func TestOverdueExecutorIsOfferedNothing(t *testing.T) {
	r := newRig(t)
	room := []executor.WorkerCapacity{workerWith("w1", 4)}
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: room, ReportedAt: r.now})
	r.now += defaultReportInterval + overdueTolerance
	r.c.Submit(r.now, testJob("in-time", 1))
	assert.Equal(t, len(r.offers(peerB)), 1)
	r.now += time.Millisecond
	r.c.UpdateExecutor(ExecutorState{Process: peerC, Distance: 2, Workers: []executor.WorkerCapacity{workerWith("w2", 0)}, ReportedAt: r.now})
	r.c.Submit(r.now, testJob("late", 1))
	assert.Equal(t, len(r.offers(peerB)), 0)
	assert.Equal(t, len(r.offers(peerC)), 1)
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: room, ReportedAt: r.now})
	r.c.Submit(r.now, testJob("again", 1))
	assert.Equal(t, len(r.offers(peerB)), 1)
}

// Many callers are refused at once. Each is told to come back after those before it, as far
// apart as their work takes, and none later than maxRetryAfter.
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
	assert.Assert(t, r.answers[40].RetryAfter < 2*time.Second, "the callers of a minute ago have been here")
}

// All daemons have lost power. Callers come back all at once, when one worker of eight is
// known; the others are taken over within some hundred ms. Jobs that find no room wait for
// those, rather than being refused by the room of the first; one that is asked for all that
// there are is refused as ever.
func TestJobWaitsForExpectedWorkers(t *testing.T) {
	r := newRig(t)
	r.c.ExpectWorkers(8)
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: []executor.WorkerCapacity{workerWith("w1", 0)}, Backlog: backlogOf(2000)})
	r.c.Submit(r.now, testJob("j", 3))
	assert.Equal(t, len(r.offers(peerB)), 0)
	assert.Equal(t, len(r.answers), 0)
	var rooms []executor.WorkerCapacity
	for _, w := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		rooms = append(rooms, workerWith(w, 1))
	}
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: rooms})
	r.c.Tick(r.now)
	assert.Equal(t, len(r.offers(peerB)), 3)

	for i := range rooms {
		rooms[i].Free = capacity.Vector{}
	}
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: rooms, Backlog: backlogOf(20000)})
	r.c.Submit(r.now, testJob("k", 3))
	r.drain()
	assert.Equal(t, r.answers[0].Reason, ReasonNoCapacity)
}

// The workers that are expected don't come: the job waits where there are some, and no
// longer for others.
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

// Whether tasks have room is tried out by taking it: none of it may be missing afterwards.
func TestSimulatedPlacementChangesNothing(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w1", 3)
	for range 5 {
		r.c.Submit(r.now, testJob("wide", 4)) // the fourth task has no room
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
