package coordinator

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

var (
	self  = member.Process{Address: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1}
	peerB = member.Process{Address: netip.MustParseAddrPort("10.0.0.2:80"), Incarnation: 2}
	peerC = member.Process{Address: netip.MustParseAddrPort("10.0.0.3:80"), Incarnation: 3}
)

// rig drives a Coordinator step by step and collects its messages and answers.
type rig struct {
	t        *testing.T
	c        *Coordinator
	now      time.Duration
	messages []Message
	answers  []Answer
	// progressChanged lists the durable jobs whose progress was to be stored.
	progressChanged []string
}

func newRig(t *testing.T) *rig { return &rig{t: t, c: New(self), now: time.Second} }

// setExecutor reports an executor with one worker that has free capacity for n tasks of testJob.
func (r *rig) setExecutor(p member.Process, distance int, worker string, n int64) {
	r.c.UpdateExecutor(ExecutorState{
		Process: p, Distance: distance,
		Workers: []executor.WorkerCapacity{workerWith(worker, n)},
	})
}

func workerWith(worker string, n int64) executor.WorkerCapacity {
	return executor.WorkerCapacity{
		Worker: worker, Service: "quotes", Open: true, Usable: true,
		Free: capacity.Vector{MilliCPU: 1000 * n, MemoryMB: 1000}, Total: capacity.Vector{MilliCPU: 4000, MemoryMB: 1000},
	}
}

// backlogOf returns work in core-ms that has to start at once.
func backlogOf(work int64) map[string]executor.Backlog {
	return map[string]executor.Backlog{"quotes": {0, work}}
}

func testJob(id string, tasks int) Job {
	return Job{
		ID: id, Service: "quotes", Attempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond, Deadline: 4 * time.Second,
		Steps: []Step{{Count: tasks, Demand: capacity.Vector{MilliCPU: 1000, MemoryMB: 10}, ExpectedRunTime: 100 * time.Millisecond}},
	}
}

func (r *rig) drain() {
	o := r.c.Drain()
	r.messages = append(r.messages, o.Messages...)
	r.answers = append(r.answers, o.Answers...)
	r.progressChanged = append(r.progressChanged, o.ProgressChanged...)
}

// offers returns the tasks offered to an executor since the last call.
func (r *rig) offers(p member.Process) []task.Task {
	r.drain()
	var tasks []task.Task
	rest := r.messages[:0]
	for _, m := range r.messages {
		if m.To == p && m.Offer != nil {
			tasks = append(tasks, m.Offer...)
			continue
		}
		rest = append(rest, m)
	}
	r.messages = rest
	return tasks
}

// withdrawn returns the number of tasks that were withdrawn from an executor so far.
func (r *rig) withdrawn(p member.Process) int {
	r.drain()
	n := 0
	for _, m := range r.messages {
		if m.To == p {
			n += len(m.Withdraw)
		}
	}
	return n
}

func (r *rig) report(from member.Process, t task.Task, o task.Outcome, worker, reason string) {
	r.c.HandleReport(r.now, from, task.Report{ID: t.ID, Run: t.Run, Outcome: o, Worker: worker, Reason: reason})
	r.drain()
}

// answered returns the answer, and fails the test if there is not exactly one.
func (r *rig) answered() Answer {
	r.t.Helper()
	r.drain()
	assert.Equal(r.t, len(r.answers), 1, "a job ends in exactly one answer")
	return r.answers[0]
}

// A job must not be answered before all its tasks are done.
func TestAnswerWaitsForAllTasks(t *testing.T) {
	r := newRig(t)
	r.setExecutor(self, 0, "w1", 2)
	r.c.Submit(r.now, testJob("j", 2))
	tasks := r.offers(self)
	assert.Equal(t, len(tasks), 2)
	for _, x := range tasks {
		r.report(self, x, task.Started, "w1", "")
		assert.Equal(t, len(r.answers), 0)
		r.report(self, x, task.Done, "w1", "")
	}
	assert.Equal(t, r.answered().Status, Completed)
}

// Tasks that do not fit on the daemon's own workers are offered to peers with free capacity.
func TestOverflowGoesToPeers(t *testing.T) {
	r := newRig(t)
	r.setExecutor(self, 0, "w1", 1)
	r.setExecutor(peerB, 1, "w2", 1)
	r.setExecutor(peerC, 2, "w3", 1)
	r.c.Submit(r.now, testJob("j", 3))
	assert.Equal(t, len(r.offers(self)), 1)
	assert.Equal(t, len(r.offers(peerB)), 1)
	assert.Equal(t, len(r.offers(peerC)), 1)
}

// Tasks of a step must not be offered before the steps that it depends on are done.
func TestStepWaitsForEarlierStep(t *testing.T) {
	r := newRig(t)
	r.setExecutor(self, 0, "w1", 4)
	j := testJob("j", 1)
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	r.c.Submit(r.now, j)
	first := r.offers(self)
	assert.Equal(t, len(first), 1)
	r.report(self, first[0], task.Done, "w1", "")
	second := r.offers(self)
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].ID.Step, uint32(1))
	r.report(self, second[0], task.Done, "w1", "")
	assert.Equal(t, r.answered().Status, Completed)
}

// A failed task is run again under a higher run number, avoiding its worker. When its attempts are
// used up the job fails, and the job's other runs are withdrawn.
func TestFailedTaskIsRetriedUpToItsAttempts(t *testing.T) {
	r := newRig(t)
	r.setExecutor(self, 0, "w1", 4)
	r.c.Submit(r.now, testJob("j", 2))
	x := r.offers(self)[0]
	r.report(self, x, task.Failed, "w1", "failed")
	again := r.offers(self)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run, x.Run+1)
	assert.DeepEqual(t, again[0].Avoid, []string{"w1"})
	r.report(self, again[0], task.Failed, "w1", "failed")
	assert.Equal(t, r.answered().Status, TaskFailed)
	assert.Equal(t, r.withdrawn(self), 1)
}

// A job that finds no workers must be refused soon, with a time to retry.
func TestRefusedWithoutWorkers(t *testing.T) {
	r := newRig(t)
	r.c.Submit(r.now, testJob("j", 2))
	r.now += maxParkTime
	r.c.Tick(r.now)
	a := r.answered()
	assert.Equal(t, a.Status, Refused)
	assert.Equal(t, a.Reason, ReasonNoWorkers)
	assert.Assert(t, a.RetryAfter > 0)
}

// A job that the backlog would make late is refused at once, before any of its tasks is offered.
func TestRefusedForBacklog(t *testing.T) {
	r := newRig(t)
	r.c.UpdateExecutor(ExecutorState{Process: self, Workers: []executor.WorkerCapacity{workerWith("w1", 0)}, Backlog: backlogOf(40_000)})
	r.c.Submit(r.now, testJob("j", 1))
	assert.Equal(t, r.answered().Status, Refused)
	assert.Equal(t, len(r.offers(self)), 0)
}

// A job may be answered as refused only if certainly none of its tasks has started. Otherwise the
// caller would retry work that may have run.
func TestRefusedOnlyIfNothingStarted(t *testing.T) {
	r := newRig(t)
	r.setExecutor(self, 0, "w1", 1)
	r.c.Submit(r.now, testJob("never", 1))
	r.report(self, r.offers(self)[0], task.NotRun, "", executor.ReasonNoCapacity)
	assert.Equal(t, r.answered().Status, Refused)

	r = newRig(t)
	r.setExecutor(self, 0, "w1", 2)
	r.c.Submit(r.now, testJob("perhaps", 2))
	tasks := r.offers(self)
	r.report(self, tasks[0], task.Started, "w1", "")
	r.report(self, tasks[1], task.NotRun, "", executor.ReasonNoCapacity)
	assert.Equal(t, r.answered().Status, GivenUp)
	assert.Equal(t, r.withdrawn(self), 1, "the started task of a given-up job is withdrawn")
}

// The caller disconnects: its tasks must be withdrawn, and no answer is emitted.
func TestCanceledJobIsWithdrawn(t *testing.T) {
	r := newRig(t)
	r.setExecutor(self, 0, "w1", 2)
	r.c.Submit(r.now, testJob("j", 2))
	r.c.Cancel(r.now, "j")
	assert.Equal(t, r.withdrawn(self), 2)
	assert.Equal(t, len(r.answers), 0)
	assert.Equal(t, r.c.JobCount(), 0)
}

// A task whose run was lost too late to be restarted in time: its job is given up at once.
func TestTooLateToRestart(t *testing.T) {
	r := newRig(t)
	r.setExecutor(self, 0, "w1", 1)
	r.c.Submit(r.now, testJob("j", 1))
	x := r.offers(self)[0]
	r.now = 3990 * time.Millisecond
	r.report(self, x, task.Terminated, "w1", "lease_lapsed")
	assert.Equal(t, r.answered().Reason, ReasonTooLate)
}

// A task that crashes each worker it runs on could take down all workers. Its job is given up after
// minCrashes workers, but not after fewer, which may have crashed by chance.
func TestTaskThatCrashesWorkers(t *testing.T) {
	r := newRig(t)
	r.setExecutor(self, 0, "w1", 1)
	r.c.Submit(r.now, testJob("j", 1))
	for _, reason := range []string{executor.ReasonWorkerDied, executor.ReasonWorkerRestarted, executor.ReasonWorkerRemoved} {
		assert.Equal(t, len(r.answers), 0)
		offers := r.offers(self)
		r.report(self, offers[len(offers)-1], task.Terminated, "w1", reason)
		r.setExecutor(self, 0, "w1", 1)
	}
	assert.Equal(t, r.answered().Reason, ReasonWorkersCrashed)
}

// A job must end at its deadline even if no executor reports anything.
func TestDeadlineEndsJob(t *testing.T) {
	r := newRig(t)
	r.setExecutor(self, 0, "w1", 1)
	r.c.Submit(r.now, testJob("j", 1))
	r.now = 4 * time.Second
	r.c.Tick(r.now)
	assert.Equal(t, r.answered().Reason, ReasonDeadline)
	assert.Equal(t, r.withdrawn(self), 1)
}

// All daemons have just restarted and hold no workers yet. A job waits for the first worker: a
// refused caller may not retry.
func TestJobWaitsForFirstWorkerAfterRestart(t *testing.T) {
	r := newRig(t)
	r.c.Submit(r.now, testJob("j", 1))
	r.now += maxParkTime / 2
	r.setExecutor(self, 0, "w1", 1)
	r.c.Tick(r.now)
	assert.Equal(t, len(r.offers(self)), 1)
}
