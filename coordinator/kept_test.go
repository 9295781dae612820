package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

func durableJob(id string, tasks int) Job {
	j := testJob(id, tasks)
	j.Durable, j.Deadline = true, 0
	return j
}

// adopted is a job that an earlier coordinator has looked after, as it is in the store.
func takenOverJob(id string, progress ...Progress) Job {
	j := durableJob(id, len(progress))
	j.Progress = progress
	return j
}

func (r *rig) pass(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += 25 * time.Millisecond
		r.c.Tick(r.now)
	}
	r.drain()
}

func (r *rig) confirmedStored(p member.Process) (runs []task.RunRef) {
	r.drain()
	for _, m := range r.messages {
		if m.To == p {
			runs = append(runs, m.ConfirmStored...)
		}
	}
	return runs
}

func firstTask(job string) task.ID { return task.ID{Job: job} }

// There is no worker for a long time, then one comes: the job was accepted and waits,
// where the caller of another would be told to come back.
func TestDurableJobWaitsForCapacity(t *testing.T) {
	r := newRig(t)
	r.c.Submit(r.now, durableJob("a", 1))
	r.pass(time.Minute)
	assert.Equal(t, len(r.answers), 0)
	r.setExecutor(peerB, 1, "w", 1)
	r.pass(200 * time.Millisecond)
	offers := r.offers(peerB)
	assert.Equal(t, len(offers), 1)
	assert.Assert(t, offers[0].Durable)
	for range 30 { // however often it is given back
		r.report(peerB, offers[0], task.NotRun, "", executor.ReasonNoCapacity)
		offers = r.offers(peerB)
		assert.Equal(t, len(offers), 1)
	}
	r.report(peerB, offers[0], task.NotRun, "", executor.ReasonNoWorker)
	assert.Equal(t, len(r.offers(peerB)), 0, "the same executor would give it back at once")
	assert.Equal(t, len(r.answers), 0)
}

// A job that no worker can ever run, or that would be worth nothing by its turn, is better
// refused; one for which nothing is known yet is not.
func TestAdmissionOfDurableJobs(t *testing.T) {
	r := newRig(t)
	reason, _ := r.c.CheckAdmission(r.now, durableJob("a", 1))
	assert.Equal(t, reason, Reason(""))
	r.setExecutor(peerB, 1, "w", 4)
	reason, _ = r.c.CheckAdmission(r.now, durableJob("a", 8))
	assert.Equal(t, reason, Reason(""))
	huge := durableJob("a", 1)
	huge.Steps[0].Demand.MilliCPU = 1 << 30
	reason, _ = r.c.CheckAdmission(r.now, huge)
	assert.Equal(t, reason, ReasonNoWorkers)
	reason, _ = r.c.CheckAdmission(r.now, durableJob("a", 400))
	assert.Equal(t, reason, Reason("")) // its own work is no backlog
	h := r.c.executors.get(peerB)
	h.Backlog = backlogOf(1500) // 375 ms for four at a time
	reason, _ = r.c.CheckAdmission(r.now, durableJob("a", 1))
	assert.Equal(t, reason, Reason(""), "late, but worth something still")
	h.Backlog = backlogOf(100_000)
	reason, after := r.c.CheckAdmission(r.now, durableJob("a", 1))
	assert.Equal(t, reason, ReasonNoCapacity)
	assert.Assert(t, after >= minRetryAfter)
}

// A task ends. The executor may let the worker forget it only when that is stored, or
// the task would be started again after a power loss.
func TestCompletionsAreConfirmedOnceStored(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w", 4)
	r.c.Submit(r.now, durableJob("a", 2))
	offers := r.offers(peerB)
	r.report(peerB, offers[0], task.Started, "w", "")
	r.report(peerB, offers[0], task.Done, "w", "")
	version, tasks := r.c.Progress("a")
	assert.Assert(t, tasks[0].Done && !tasks[1].Done)
	assert.Equal(t, len(r.confirmedStored(peerB)), 0)
	r.report(peerB, offers[1], task.Done, "w", "") // after that version
	assert.Equal(t, r.answered().Status, Completed)
	r.c.HandlePersisted("a", version, false)
	assert.DeepEqual(t, r.confirmedStored(peerB), []task.RunRef{{ID: offers[0].ID, Run: 1}})
	r.c.HandlePersisted("a", version, true)
	assert.Equal(t, len(r.confirmedStored(peerB)), 2)
}

// A coordinator dies and its job is adopted. What ran may run on: nothing is started
// until it is told or surely over; a run that an executor shows is claimed.
func TestTakenOverJobIsNotStartedTwice(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w", 4)
	r.c.Submit(r.now, takenOverJob("a", Progress{LastRun: 1}, Progress{Done: true, LastRun: 1}, Progress{}))
	r.pass(orphanTimeout - 100*time.Millisecond)
	assert.Equal(t, len(r.offers(peerB)), 0)
	asked := false
	for _, m := range r.messages {
		asked = asked || len(m.Reconcile) > 0 && m.Reconcile[0] == "a"
	}
	assert.Assert(t, asked)
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{To: self, Worker: "w", Running: []task.RunningTask{{ID: firstTask("a"), Run: 2}}})
	r.drain()
	r.pass(200 * time.Millisecond)
	offers := r.offers(peerB)
	assert.Equal(t, len(offers), 1)
	assert.Equal(t, offers[0].ID.Index, uint32(2))
	assert.Assert(t, offers[0].Run > 1000, "above those that the earlier coordinator may have used")
	r.report(peerB, offers[0], task.Done, "w", "")
	r.c.HandleReport(r.now, peerB, task.Report{ID: firstTask("a"), Run: 2, Outcome: task.Done, Worker: "w"})
	assert.Equal(t, r.answered().Status, Completed)
}

// The earlier coordinator's run has ended as failed, and it may have started another
// since: the failure counts, once, but is no leave to start.
func TestFailureOfTaskOfTakenOverJob(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w", 4)
	r.c.Submit(r.now, takenOverJob("a", Progress{LastRun: 1}))
	failed := executor.Takeover{To: self, Worker: "w", Completed: []task.RunningTask{{ID: firstTask("a"), Run: 1, Failed: true}}}
	for range 3 { // told at each question
		r.c.HandleTakeover(r.now, peerB, failed)
	}
	r.drain()
	assert.Equal(t, len(r.offers(peerB)), 0)
	_, tasks := r.c.Progress("a")
	assert.DeepEqual(t, tasks[0].FailedRuns, []uint32{1})
	r.c.HandleTakeover(r.now, peerB, executor.Takeover{To: self, Worker: "w", Completed: []task.RunningTask{{ID: firstTask("a"), Run: 2, Done: true}}})
	assert.Equal(t, r.answered().Status, Completed)
}

// A task was started again and its first run turns out to be done: the job goes on with
// the second, and the first end may count for nothing.
func TestCompletionAfterRestartIsSuperseded(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w", 4)
	r.c.Submit(r.now, takenOverJob("a", Progress{LastRun: 1}))
	r.pass(orphanTimeout + 50*time.Millisecond)
	assert.Equal(t, len(r.offers(peerB)), 1)
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{To: self, Worker: "v", Completed: []task.RunningTask{{ID: firstTask("a"), Run: 1, Done: true}}})
	r.drain()
	assert.Equal(t, len(r.answers), 0)
	disregarded := 0
	for _, m := range r.messages {
		disregarded += len(m.Superseded)
	}
	assert.Equal(t, disregarded, 1)
	assert.Equal(t, len(r.confirmedStored(peerC)), 0)
}

// A later step's tasks of an adopted job are not started before the earlier step's, whose
// ends are out of sight.
func TestStepsOfTakenOverJobKeepTheirOrder(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w", 4)
	j := takenOverJob("a", Progress{LastRun: 1}, Progress{})
	j.Steps = []Step{{Count: 1, Demand: j.Steps[0].Demand}, {Count: 1, Demand: j.Steps[0].Demand, After: []int{0}}}
	r.c.Submit(r.now, j)
	r.pass(orphanTimeout + 50*time.Millisecond)
	offers := r.offers(peerB)
	assert.Equal(t, len(offers), 1)
	assert.Equal(t, offers[0].ID.Step, uint32(0))
	r.report(peerB, offers[0], task.Done, "w", "")
	offers = r.offers(peerB)
	assert.Equal(t, len(offers), 1)
	assert.Equal(t, offers[0].ID.Step, uint32(1))
}

// While this daemon can't prove that it still owns its jobs, nothing of them is started:
// an heir may have done so. When it can again it asks first what ended meanwhile.
func TestPausedDurableTasksAreNotOffered(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w", 4)
	r.c.Submit(r.now, durableJob("a", 1))
	first := r.offers(peerB)[0]
	r.c.PauseDurable(r.now, true)
	r.c.HandleExecutorLost(r.now, peerB)
	r.setExecutor(peerC, 1, "v", 4)
	r.c.Submit(r.now, durableJob("b", 1))
	r.pass(2 * orphanTimeout)
	assert.Equal(t, len(r.offers(peerC)), 0)
	r.c.PauseDurable(r.now, false)
	r.pass(200 * time.Millisecond)
	offers := r.offers(peerC)
	assert.Equal(t, len(offers), 1) // the one that never ran
	assert.Equal(t, offers[0].ID.Job, "b")
	r.pass(resumeWait)
	offers = r.offers(peerC)
	assert.Equal(t, len(offers), 1)
	assert.Equal(t, offers[0].ID, first.ID)
}

// For too long it could not be told whether the jobs are still this daemon's: what runs
// for them is stopped, as an heir starts them soon, but their ends are kept for it.
func TestWithdrawnDurableTasksRetainCompletions(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w", 4)
	r.c.Submit(r.now, durableJob("a", 2))
	r.c.Submit(r.now, testJob("b", 1))
	r.offers(peerB)
	r.c.WithdrawDurable(r.now)
	assert.Equal(t, r.withdrawn(peerB), 0)
	relinquished := 0
	for _, m := range r.messages {
		relinquished += len(m.WithdrawDurable)
	}
	assert.Equal(t, relinquished, 2)
	r.c.DropJob("a")
	r.pass(2 * orphanTimeout)
	assert.Equal(t, len(r.offers(peerB)), 0)
	assert.Equal(t, len(r.answers), 1) // of job b, at its deadline
}

// A task fails for the last time while others run. They are stopped at once, and their
// executors may forget them when the job's end is stored.
func TestFailedDurableJobIsStoppedAtOnce(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w", 4)
	r.c.Submit(r.now, durableJob("a", 2))
	offers := r.offers(peerB)
	r.report(peerB, offers[0], task.Failed, "w", "")
	again := r.offers(peerB)
	assert.Equal(t, len(again), 1)
	r.report(peerB, again[0], task.Failed, "w", "")
	assert.Equal(t, r.answered().Status, TaskFailed)
	assert.Equal(t, r.withdrawn(peerB), 0)
	r.c.HandlePersisted("a", 2, true)
	assert.Equal(t, r.withdrawn(peerB), 1)
}

// An executor gives a waiting task back that this coordinator had lost sight of: it has
// not run, and there is nothing to wait for.
func TestLostDurableTaskIsReportedNotRun(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w", 4)
	r.c.Submit(r.now, durableJob("a", 1))
	first := r.offers(peerB)[0]
	r.c.HandleExecutorLost(r.now, peerB)
	r.setExecutor(peerB, 1, "w", 4)
	r.report(peerB, first, task.NotRun, "", executor.ReasonReconciled)
	r.pass(2 * postponeTime)
	assert.Equal(t, len(r.offers(peerB)), 1)
}

// disregarded returns the ends that executors were told to let lapse.
func (r *rig) superseded() (runs []task.RunRef) {
	r.drain()
	for _, m := range r.messages {
		runs = append(runs, m.Superseded...)
	}
	return runs
}

// The first run turns out done after the second was: settled too, it would make that a run of a done task.
func TestEarlierRunCompletesAfterLaterRun(t *testing.T) {
	for name, tell := range map[string]func(r *rig, id task.ID){
		"listed": func(r *rig, id task.ID) {
			r.c.HandleTakeover(r.now, peerC, executor.Takeover{To: self, Worker: "v", Completed: []task.RunningTask{{ID: id, Run: 1, Done: true}}})
		},
		"reported": func(r *rig, id task.ID) {
			r.c.HandleReport(r.now, peerC, task.Report{ID: id, Run: 1, Worker: "v", Outcome: task.Done})
		},
	} {
		r := newRig(t)
		r.setExecutor(peerB, 1, "w", 4)
		r.c.Submit(r.now, takenOverJob("a", Progress{LastRun: 1}, Progress{LastRun: 1}))
		r.pass(orphanTimeout + 50*time.Millisecond)
		offers := r.offers(peerB)
		assert.Equal(t, len(offers), 2)
		r.report(peerB, offers[0], task.Started, "w", "")
		r.report(peerB, offers[0], task.Done, "w", "")
		tell(r, offers[0].ID)
		version, _ := r.c.Progress("a")
		r.c.HandlePersisted("a", version, false)
		assert.Equal(t, len(r.confirmedStored(peerC)), 0, name)
		assert.DeepEqual(t, r.superseded(), []task.RunRef{{ID: offers[0].ID, Run: 1}})
		assert.Equal(t, len(r.confirmedStored(peerB)), 1, "the one that counted")
	}
}

// The first run turns out done while the second is out of sight: the end may be of before the second start.
func TestEarlierRunCompletesWhileLaterRunIsLost(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w", 4)
	r.c.Submit(r.now, takenOverJob("a", Progress{LastRun: 1}))
	r.pass(orphanTimeout + 50*time.Millisecond)
	again := r.offers(peerB)[0]
	r.report(peerB, again, task.Started, "w", "")
	r.c.HandleExecutorLost(r.now, peerB)
	ended := func(p member.Process, worker string, run uint32) {
		r.c.HandleTakeover(r.now, p, executor.Takeover{To: self, Worker: worker, Completed: []task.RunningTask{{ID: again.ID, Run: run, Done: true}}})
		r.drain()
	}
	ended(peerC, "v", 1)
	assert.DeepEqual(t, r.superseded(), []task.RunRef{{ID: again.ID, Run: 1}})
	assert.Equal(t, len(r.answers), 0)
	ended(peerC, "w", again.Run)
	assert.Equal(t, r.answered().Status, Completed)
}

// What was offered after the run that is done has surely not run: the task is done.
func TestEarlierRunCompletesBeforeLaterRunStarts(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w", 4)
	r.c.Submit(r.now, durableJob("a", 1))
	first := r.offers(peerB)[0]
	r.report(peerB, first, task.Started, "w", "")
	r.report(peerB, first, task.Moved, "w", "")
	r.pass(orphanTimeout + 50*time.Millisecond)
	r.report(peerB, r.offers(peerB)[0], task.NotRun, "", executor.ReasonNoWorker)
	r.c.HandleTakeover(r.now, peerC, executor.Takeover{To: self, Worker: "w", Completed: []task.RunningTask{{ID: first.ID, Run: 1, Done: true}}})
	assert.Equal(t, r.answered().Status, Completed)
}
