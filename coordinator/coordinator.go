package coordinator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// lostTaskTimeout is how long a task whose executor is unreachable may stay unresolved. By then
	// a successor has taken over the executor's workers, or none will in time for the caller.
	lostTaskTimeout = 600 * time.Millisecond
	// takeoverRetention is how long a takeover without a token counts for a loss that this daemon
	// notices later. Daemons notice the same loss within one or two heartbeats of each other.
	takeoverRetention = 2 * time.Second
	// maxOffers bounds the number of offers of one task.
	maxOffers = 12
	// maxImmediateOffers is how many executors with free capacity, one after the other, are offered
	// a task for an immediate start before it queues at one of them. Each offer costs a round trip.
	maxImmediateOffers = 4
	// maxParkTime bounds how long a job waits for workers to become known. A quarter of the time to
	// its deadline bounds the wait too.
	maxParkTime = 700 * time.Millisecond
	// minCrashes is the least number of workers that have to crash while running a task before its
	// job is given up: one or two may crash by chance.
	minCrashes = 3
	// minRetryAfter is the shortest time after which a refused caller may retry (its Retry-After).
	minRetryAfter = 500 * time.Millisecond
)

// Message is addressed to one executor. One field beside To is set; Confirm belongs to Withdraw.
type Message struct {
	To member.Process
	// Offer hands tasks to the executor.
	Offer []task.Task
	// Withdraw takes tasks back. With Confirm, the executor reports each task once it holds and runs
	// nothing of it.
	Withdraw []task.ID
	Confirm  bool
	// Claims answers a takeover.
	Claims *executor.Claims
	// Reclaim asks for queued tasks: the executor reports each as not run.
	Reclaim []task.ID
	// WithdrawDurable takes back tasks of durable jobs. The executor still holds back the
	// acknowledgement of their completions, as that of other completions of durable jobs.
	WithdrawDurable []task.ID
	// Reserve asks the executor to reserve capacity for tasks that are queued elsewhere and to report
	// when it has some. Unreserve drops such requests and reservations.
	Reserve   []task.Task
	Unreserve []task.ID
	// ConfirmStored lists runs whose completions are stored: the executor may acknowledge them.
	ConfirmStored []task.RunRef
	// Superseded lists runs whose completions came too late: their tasks have been started again. The
	// executor lets these completions lapse and does not acknowledge them as stored.
	Superseded []task.RunRef
	// Reconcile lists durable jobs with lost tasks: the executor reports which of their runs it has.
	Reconcile []task.OwnedJob
}

// Output is what the embedder has to carry out. It has to deliver the messages to one executor in
// their order: a withdrawal that overtakes its offer would leave the task running.
type Output struct {
	Messages []Message
	Answers  []Answer
	Events   []executor.Event
	// ProgressChanged lists durable jobs whose progress has to be stored.
	ProgressChanged []string
	// Stopped lists jobs that ended here earlier and of which no run can be left on any executor.
	Stopped []string
}

// Coordinator runs the jobs of one daemon's callers. It is not safe for concurrent use.
type Coordinator struct {
	self      member.Process
	jobs      map[string]*job
	executors executors
	// trial is a copy of executors in which the placement of a job's tasks is simulated.
	trial executors
	out   Output
	// awaitingTakeover holds, for each lost executor, its workers that no successor has taken over
	// yet, with the fencing tokens of its holding epochs.
	awaitingTakeover map[member.Process]map[string]uint64
	// latestTakeovers holds the latest takeover of each worker.
	latestTakeovers map[string]takeover
	// durableStates holds the completions and withdrawals of durable jobs that wait for the job's
	// progress or end to be stored.
	durableStates map[string]*durableState
	// durablePaused: tasks of durable jobs are not offered, as this daemon may have lost the
	// ownership record of the jobs.
	durablePaused bool
	// retrySchedules spreads out the retries of refused callers, by service and band.
	retrySchedules map[band]*retrySchedule
	shares         shares
	// expectedWorkers is the number of workers, while executors have not reported most of them; else 0.
	expectedWorkers int
	// pendingTakeovers are takeovers whose answer waits for a report on a task.
	pendingTakeovers []pendingTakeover
	// stopping holds jobs that have ended here and whose runs may not have stopped, by job identifier.
	stopping map[string]stoppingJob
}

// New returns the coordinator of the process self.
func New(self member.Process) *Coordinator {
	return &Coordinator{self: self, jobs: make(map[string]*job), awaitingTakeover: make(map[member.Process]map[string]uint64), latestTakeovers: make(map[string]takeover), durableStates: make(map[string]*durableState), retrySchedules: make(map[band]*retrySchedule), stopping: make(map[string]stoppingJob)}
}

// Drain returns what the embedder has to carry out since the last call.
func (c *Coordinator) Drain() Output {
	o := c.out
	c.out = Output{}
	return o
}

// UpdateExecutor replaces what the executor reported of its workers before.
func (c *Coordinator) UpdateExecutor(h ExecutorState) { c.executors.update(h) }

// JobCount returns the number of jobs that have no answer yet.
func (c *Coordinator) JobCount() int { return len(c.jobs) }

// Has reports whether the coordinator runs the job and has not answered it yet.
func (c *Coordinator) Has(id string) bool { return c.jobs[id] != nil }

// Submit starts a job, parks it or refuses it. Drain returns its answer, in the next call if the job is
// refused at once.
func (c *Coordinator) Submit(now time.Duration, j Job) {
	n := newJob(now, j)
	c.jobs[j.ID] = n
	if j.Durable {
		c.submitDurable(now, n)
		return
	}
	c.checkShare(now, n)
	n.parkedUntil = now + min(maxParkTime, (j.Deadline-now)/4)
	c.admit(now, n)
}

// admit starts a job or refuses it. It parks the job for a moment while no worker is known, or while
// most expected workers are not known yet: after a restart of the fleet daemons take the workers
// over within some hundred ms, and a refused caller may not retry.
func (c *Coordinator) admit(now time.Duration, j *job) {
	v := c.checkCapacity(now, j)
	j.parked = now < j.parkedUntil && (v.reason == ReasonNoWorkers || v.reason == ReasonNoCapacity && c.awaitingWorkers(now))
	switch {
	case j.parked:
	case v.reason != "":
		c.answer(now, j, Refused, c.refusalReason(j, v.reason), c.retryAfter(now, j, v))
	default:
		c.release(now, j)
	}
}

// release offers the tasks whose preceding steps are done.
func (c *Coordinator) release(now time.Duration, j *job) {
	for _, t := range j.tasks {
		if t.state == blocked && j.ready(t.ID.Step) {
			c.offer(now, j, t)
			if j.ended {
				return
			}
		}
	}
}

// offer offers one task to an executor, or postpones it, or gives its job up.
func (c *Coordinator) offer(now time.Duration, j *job, t *jobTask) {
	if j.Durable {
		if c.durablePaused {
			c.postpone(now, t)
			return
		}
		t.StartBy = now + durableOfferTimeout
	}
	// Tasks of a started job do not wait behind others: the job's finished work would be lost.
	t.OverShare = j.overShare && !j.mayHaveRun
	h, hasCapacity := c.chooseExecutor(now, t)
	switch {
	case h == nil && j.Durable:
		c.postpone(now, t)
		return
	case h == nil:
		c.giveUp(now, j, ReasonNoWorkers)
		return
	case t.offers >= maxOffers && !j.Durable:
		c.giveUp(now, j, ReasonNoCapacity)
		return
	}
	t.queued, t.reclaiming = !hasCapacity, false
	t.previousStarted, t.notStarted = t.latestStarted(), false
	t.Run++
	t.offers++
	t.NoWait = hasCapacity && t.offers <= maxImmediateOffers && !j.Durable
	t.unknownRuns = false
	t.MaxEpoch = h.maxEpoch
	t.state, t.holder, t.worker, t.token = offered, h.Process, "", 0
	c.sendOffer(now, t, h, hasCapacity)
	if !hasCapacity {
		c.reserve(now, t)
	}
}

func (c *Coordinator) sendOffer(now time.Duration, t *jobTask, h *ExecutorState, hasCapacity bool) {
	c.out.Events = append(c.out.Events, executor.Event{
		Name: "task_offered", ID: t.ID, Run: t.Run, Detail: fmt.Sprintf("to=%s room=%t", h.Process.Address, hasCapacity), Age: now - h.ReportedAt,
	})
	m := c.messageTo(h.Process, func(m *Message) bool { return m.Offer != nil })
	m.Offer = append(m.Offer, t.Task)
}

// HandleReport handles an executor's report on a task.
func (c *Coordinator) HandleReport(now time.Duration, from member.Process, r task.Report) {
	if len(c.pendingTakeovers) > 0 {
		defer c.answerPending(now)
	}
	if r.Reason == executor.ReasonReserved {
		c.handleReservedCapacity(from, r)
		return
	}
	c.handleStopReport(now, from, r)
	j := c.jobs[r.ID.Job]
	if j == nil {
		return
	}
	t := j.find(r.ID)
	if t == nil || t.state != offered || t.holder != from || r.Run < t.Run {
		c.handleLateReport(now, from, j, t, r)
		return
	}
	t.Run = r.Run // an executor raises the number if a worker has seen it already
	c.recordCompletion(j, from, r)
	switch r.Outcome {
	case task.Started:
		c.markStarted(j)
		t.worker, t.token = r.Worker, r.Token
		c.taskStarted(t)
	case task.Done:
		c.taskDone(now, j, t)
	case task.Failed:
		c.taskFailed(now, j, t, r)
	case task.Terminated:
		c.restart(now, j, t, r)
	case task.NotRun:
		c.taskNotRun(now, j, t, r)
	case task.Moved:
		j.mayHaveRun = true
		if r.Token > 0 || r.Worker != t.worker { // only the worker's holder can report that
			t.worker, t.token = r.Worker, r.Token
		}
		c.markLost(now, t)
		c.claimFromSuccessor(now, from, t)
	}
}

func (c *Coordinator) taskDone(now time.Duration, j *job, t *jobTask) {
	c.markStarted(j)
	t.state = done
	j.remaining[t.ID.Step]--
	for _, n := range j.remaining {
		if n > 0 {
			c.release(now, j)
			return
		}
	}
	c.answer(now, j, Completed, "", 0)
}

func (c *Coordinator) taskFailed(now time.Duration, j *job, t *jobTask, r task.Report) {
	t.state = blocked
	c.markStarted(j)
	if c.countFailure(now, j, t, r.Run) {
		return
	}
	t.Avoid = append(t.Avoid, r.Worker)
	c.restart(now, j, t, r)
}

// restart offers a task again whose last run is proved over. It gives the job up if the task can no
// longer complete in time.
func (c *Coordinator) restart(now time.Duration, j *job, t *jobTask, r task.Report) {
	t.state, j.mayHaveRun = blocked, true
	c.event("task_restarted", t, fmt.Sprintf("outcome=%s reason=%s failures=%d", r.Outcome, r.Reason, t.failures))
	if now >= t.StartBy && !j.Durable {
		c.giveUp(now, j, ReasonTooLate)
		return
	}
	if c.countCrash(now, j, t, r) {
		return
	}
	if r.Outcome == task.Terminated && r.Worker != "" {
		t.Avoid = append(t.Avoid, r.Worker)
	}
	c.offer(now, j, t)
}

// countCrash counts a run that ended because its worker crashed, and reports whether it gave the job
// up. It does so when the count reaches the attempts that the queue allows, or minCrashes if those are
// fewer: a task that crashes every worker that runs it would otherwise take down one worker after the
// other. It does not give up durable jobs, as such ends do not count as failures of their tasks.
func (c *Coordinator) countCrash(now time.Duration, j *job, t *jobTask, r task.Report) bool {
	switch r.Reason {
	case executor.ReasonWorkerDied, executor.ReasonWorkerRestarted, executor.ReasonWorkerRemoved:
		t.crashes++
	}
	if j.Durable || t.crashes < max(j.Attempts, minCrashes) {
		return false
	}
	c.giveUp(now, j, ReasonWorkersCrashed)
	return true
}

func (c *Coordinator) taskNotRun(now time.Duration, j *job, t *jobTask, r task.Report) {
	t.state, t.notStarted = blocked, true
	if !j.Durable && (r.Reason == executor.ReasonNoCapacity || now >= t.StartBy) {
		c.giveUp(now, j, ReasonNoCapacity)
		return
	}
	if h := c.executors.get(t.holder); h != nil {
		switch r.Reason {
		case executor.ReasonNoWorker:
			h.markUnavailable()
		case executor.ReasonCapacityTaken:
			h.markFull(&t.Task)
		case executor.ReasonLaterEpoch:
			if h.maxEpoch <= t.MaxEpoch {
				h.markUnavailable() // it would give the task back again until its next report
			}
		}
	}
	c.event("task_offered_again", t, r.Reason)
	if j.Durable && r.Reason != executor.ReasonNoCapacity {
		c.postpone(now, t) // if offered at once, the same executor would give it back again
		return
	}
	c.offer(now, j, t)
}

func (c *Coordinator) event(name string, t *jobTask, detail string) {
	c.out.Events = append(c.out.Events, executor.Event{Name: name, ID: t.ID, Run: t.Run, Worker: t.worker, Detail: detail})
}

// markLost marks a task as lost: no known executor holds the worker of its run.
func (c *Coordinator) markLost(now time.Duration, t *jobTask) {
	t.state = lost
	t.lostDeadline = now + lostTaskTimeout
	if t.Durable {
		t.lostDeadline = now + OrphanTimeout
	}
}

func (c *Coordinator) lookup(id task.ID) *jobTask {
	if j := c.jobs[id.Job]; j != nil {
		return j.find(id)
	}
	return nil
}

// Tick checks deadlines, lost tasks and pending takeovers, and moves queued tasks to free capacity.
func (c *Coordinator) Tick(now time.Duration) {
	for _, j := range c.sortedJobs() {
		if j.parked {
			c.admit(now, j)
			continue
		}
		if j.Durable {
			c.tickDurable(now, j)
			continue
		}
		if now >= j.Deadline {
			c.giveUp(now, j, ReasonDeadline)
			continue
		}
		for _, t := range j.tasks {
			if !j.ended && t.state == lost && now >= t.lostDeadline {
				c.giveUp(now, j, ReasonExecutorLost)
			}
		}
	}
	c.tickStopping(now)
	c.answerPending(now)
	c.rebalance(now)
}

// sortedJobs returns the jobs in a reproducible order: by submission time, then by identifier.
func (c *Coordinator) sortedJobs() []*job {
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Or(cmp.Compare(a.submittedAt, b.submittedAt), cmp.Compare(a.ID, b.ID)) })
	return list
}
