package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// A peer dies with a task running on its worker. Its successor lists the task; it is
// claimed and goes on, and the caller sees no delay.
func TestRunIsClaimedFromSuccessor(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w2", 1)
	r.c.Submit(r.now, testJob("j", 1))
	x := r.offers(peerB)[0]
	r.report(peerB, x, task.Started, "w2", "")
	r.c.HandleExecutorLost(r.now, peerB)
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2", Running: []task.RunningTask{{ID: x.ID, Run: x.Run}}})
	r.drain()
	claims := r.messages[len(r.messages)-1].Claims
	assert.Equal(t, len(claims.Tasks), 1)
	r.report(peerC, x, task.Done, "w2", "")
	assert.Equal(t, r.answered().Status, Completed)
}

// The worker has ended the task before the successor came: the end counts.
func TestCompletionBeforeTakeoverCounts(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w2", 1)
	r.c.Submit(r.now, testJob("j", 1))
	x := r.offers(peerB)[0]
	r.report(peerB, x, task.Started, "w2", "")
	r.c.HandleExecutorLost(r.now, peerB)
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2", Completed: []task.RunningTask{{ID: x.ID, Run: x.Run, Done: true}}})
	assert.Equal(t, r.answered().Status, Completed)
}

// A peer dies before it said whether it had started a task. Only when all its workers
// were taken over and none lists the task is it safe to start it again.
func TestUnknownStartWaitsForAllWorkers(t *testing.T) {
	r := newRig(t)
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: []executor.WorkerCapacity{workerWith("w2", 1), workerWith("w3", 0)}})
	r.c.Submit(r.now, testJob("j", 1))
	x := r.offers(peerB)[0]
	r.c.HandleExecutorLost(r.now, peerB)
	r.setExecutor(self, 0, "w1", 1)
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2"})
	assert.Equal(t, len(r.offers(self)), 0, "it may run on the other worker")
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w3"})
	again := r.offers(self)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run, x.Run+1)
}

// No successor comes: the caller is not held to the deadline, and is told that the job
// may have run.
func TestUnresolvedTaskIsGivenUp(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w2", 1)
	r.c.Submit(r.now, testJob("j", 1))
	r.offers(peerB)
	r.c.HandleExecutorLost(r.now, peerB)
	r.now += lostTaskTimeout
	r.c.Tick(r.now)
	a := r.answered()
	assert.Equal(t, a.Status, GivenUp)
	assert.Equal(t, a.Reason, ReasonExecutorLost)
}

// Reports of an executor that has lost the task to another one don't count: its word is
// older than the successor's.
func TestReportOfAFormerHolderIsIgnored(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w2", 1)
	r.c.Submit(r.now, testJob("j", 1))
	x := r.offers(peerB)[0]
	r.report(peerB, x, task.Started, "w2", "")
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2", Running: []task.RunningTask{{ID: x.ID, Run: x.Run}}})
	r.report(peerB, x, task.Moved, "w2", "worker_taken")
	r.report(peerB, x, task.Terminated, "w2", "")
	assert.Equal(t, len(r.offers(self))+len(r.offers(peerB))+len(r.offers(peerC)), 0)
	r.report(peerC, x, task.Done, "w2", "")
	assert.Equal(t, r.answered().Status, Completed)
}

// The successor's question comes before the news that the task had run on its worker.
// The task is claimed late, where giving up would fail the caller though it runs on.
func TestRunIsClaimedIfItsMoveIsReportedLate(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w2", 1)
	r.setExecutor(peerC, 1, "w3", 1)
	r.c.Submit(r.now, testJob("j", 1))
	x := r.offers(peerB)[0]
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2", Running: []task.RunningTask{{ID: x.ID, Run: x.Run}}})
	r.report(peerB, x, task.Moved, "w2", "worker_taken")
	claims := r.messages[len(r.messages)-1].Claims
	assert.Equal(t, len(claims.Tasks), 1)
	r.report(peerC, x, task.Done, "w2", "")
	assert.Equal(t, r.answered().Status, Completed)
}

// An orphan of the caller's first try bears the same name and number as our run, which
// another executor is about to start. Claiming it would let both run.
func TestOrphanOfAnEarlierAttemptIsNotClaimed(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w2", 1)
	r.c.Submit(r.now, testJob("j", 1))
	x := r.offers(peerB)[0]
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w9", Running: []task.RunningTask{{ID: x.ID, Run: x.Run}}})
	r.drain()
	for _, m := range r.messages {
		assert.Assert(t, m.Claims == nil || len(m.Claims.Tasks) == 0)
	}
}

// The successor has lost the worker again and says so. Asking it once more would have the
// two answer each other without end, which keeps the processor from everything else.
func TestSuccessorThatLostTheWorkerIsNotAsked(t *testing.T) {
	r := newRig(t)
	r.setExecutor(self, 0, "w2", 1)
	r.c.Submit(r.now, testJob("j", 1))
	x := r.offers(self)[0]
	r.report(self, x, task.Started, "w2", "")
	r.c.HandleTakeover(r.now, self, executor.Takeover{Worker: "w2"})
	r.drain()
	r.messages = nil
	r.report(self, x, task.Moved, "w2", "not_held")
	for _, m := range r.messages {
		assert.Assert(t, m.Claims == nil)
	}
}

// A peer that had a task dies, its workers are taken over, and no room is left to start
// the task again. It may have run at the peer: "not run" would be untrue.
func TestJobIsNotRefusedAfterATakeover(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w2", 1)
	r.c.Submit(r.now, testJob("j", 1))
	r.offers(peerB)
	r.c.HandleExecutorLost(r.now, peerB)
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2"})
	assert.Equal(t, r.answered().Status, GivenUp)
}

// Another daemon notices the loss of a holder sooner than this one: its questions about the
// workers come before our own notice. They count all the same; waiting for them to come
// again would fail the callers though all is known.
func TestTakeoverBeforeTheLossIsNoticed(t *testing.T) {
	r := newRig(t)
	r.c.UpdateExecutor(ExecutorState{Process: peerB, Distance: 1, Workers: []executor.WorkerCapacity{workerWith("w2", 1), workerWith("w3", 1)}})
	r.setExecutor(peerC, 2, "w4", 2) // farther, so that both tasks go to the nearer one
	r.c.Submit(r.now, testJob("j", 2))
	tasks := r.offers(peerB)
	assert.Equal(t, len(tasks), 2)
	// The first runs on w2, though we were not told; of the second nobody knows.
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2", Running: []task.RunningTask{{ID: tasks[0].ID, Run: tasks[0].Run}}})
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w3"})
	r.drain()
	r.messages = nil
	r.now += 100 * time.Millisecond
	r.c.HandleExecutorLost(r.now, peerB)
	r.drain()
	claimed := 0
	for _, m := range r.messages {
		if m.Claims != nil {
			claimed += len(m.Claims.Tasks)
			assert.Equal(t, m.Claims.Tasks[0].ID, tasks[0].ID)
		}
	}
	assert.Equal(t, claimed, 1, "what a successor listed is claimed: it may still run")
	again := r.offers(peerC)
	assert.Equal(t, len(again), 1, "what none listed is started again")
	assert.Equal(t, again[0].ID, tasks[1].ID)
}

// A holder took one more worker after its last heartbeat and is lost then. A task of
// unknown whereabouts may run on that worker too.
func TestWorkerTakenAfterTheLastHeartbeat(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w2", 1)
	r.setExecutor(self, 0, "w1", 0)
	r.c.Submit(r.now, testJob("j", 1))
	assert.Equal(t, len(r.offers(peerB)), 1)
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{Worker: "w9"})
	r.c.HandleExecutorLost(r.now, peerB)
	r.setExecutor(self, 0, "w1", 1)
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2"})
	assert.Equal(t, len(r.offers(self)), 0)
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w9"})
	assert.Equal(t, len(r.offers(self)), 1)
}

// A worker changes hands a moment after a task was started there, and the new holder lists a
// run of which its coordinator has not heard yet. Were it not claimed, it would be stopped
// and the task started a second time; the earlier holder's report tells that it is ours.
func TestListedRunIsClaimedWhenItsStartIsReported(t *testing.T) {
	for _, news := range []task.Outcome{task.Started, task.Moved} {
		r := newRig(t)
		r.setExecutor(peerB, 1, "w2", 1)
		r.c.Submit(r.now, testJob("j", 1))
		offer := r.offers(peerB)[0]
		r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2", Running: []task.RunningTask{{ID: offer.ID, Run: offer.Run}}})
		assert.Equal(t, r.claims(peerC), -1, "not answered yet")
		r.setExecutor(peerC, 1, "w2", 1)
		r.c.HandleReport(r.now, peerB, task.Report{ID: offer.ID, Run: offer.Run, Outcome: news, Worker: "w2"})
		assert.Assert(t, r.claims(peerC) > 0, "%s", news) // once more than needed after a move
		assert.Equal(t, len(r.offers(peerC)), 0)
		r.c.HandleReport(r.now, peerC, task.Report{ID: offer.ID, Run: offer.Run, Outcome: task.Done, Worker: "w2"})
		assert.Equal(t, r.answered().Status, Completed)
	}
}

// The listed run is that of an earlier try of the caller; ours has started elsewhere, or
// nothing is heard of it for a while. It is not claimed, and the worker is not kept closed.
func TestListedRunOfAnEarlierAttempt(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w2", 1)
	r.c.Submit(r.now, testJob("j", 1))
	offer := r.offers(peerB)[0]
	listed := executor.Takeover{Worker: "w9", Running: []task.RunningTask{{ID: offer.ID, Run: offer.Run}}}
	r.c.HandleTakeover(r.now, peerC, listed)
	r.c.HandleReport(r.now, peerB, task.Report{ID: offer.ID, Run: offer.Run, Outcome: task.Started, Worker: "w2"})
	assert.Equal(t, r.claims(peerC), 0)

	r = newRig(t)
	r.setExecutor(peerB, 1, "w2", 1)
	r.c.Submit(r.now, testJob("j", 1))
	r.offers(peerB)
	r.c.HandleTakeover(r.now, peerC, listed)
	r.now += startReportTimeout - time.Millisecond
	r.c.Tick(r.now)
	assert.Equal(t, r.claims(peerC), -1)
	r.now += time.Millisecond
	r.c.Tick(r.now)
	assert.Equal(t, r.claims(peerC), 0)
}

// claims returns how many tasks were claimed from an executor since the last call; -1: it
// was not answered.
func (r *rig) claims(p member.Process) int {
	r.drain()
	n := -1
	rest := r.messages[:0]
	for _, m := range r.messages {
		if m.To == p && m.Claims != nil {
			n = max(n, 0) + len(m.Claims.Tasks)
			continue
		}
		rest = append(rest, m)
	}
	r.messages = rest
	return n
}

// An executor gives a task back for want of a worker, and is lost: its workers would not be asked for another task.
func TestWorkersOfAnExecutorThatGaveATaskBack(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w2", 2)
	r.c.Submit(r.now, testJob("j", 2))
	tasks := r.offers(peerB)
	assert.Equal(t, len(tasks), 2)
	r.setExecutor(peerC, 2, "w3", 2)
	r.report(peerB, tasks[0], task.NotRun, "", executor.ReasonNoWorker)
	again := r.offers(peerC)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].ID, tasks[0].ID)
	r.c.HandleExecutorLost(r.now, peerB)
	assert.Equal(t, len(r.offers(peerC)), 0, "the other task may run")
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{Worker: "w2"})
	assert.Equal(t, len(r.offers(peerC)), 1)
}
