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
	// lostWait is how long a task whose executor is gone may stay unresolved: by then a
	// successor has taken its workers over, or none will in time for the caller.
	lostTaskTimeout = 600 * time.Millisecond
	// successionMemory is how long a takeover without a token counts as news of a loss that this
	// daemon notices later: daemons notice the same silence within a heartbeat or two of each other.
	takeoverRetention = 2 * time.Second
	// maxOffers bounds the tries to place one task.
	maxOffers = 12
	// maxRoomOffers is how often a task is offered to executors that told of room for it, one
	// after the other, before it waits at one of them. Each costs a round trip.
	maxImmediateOffers = 4
	// maxPark bounds the wait of a job for any worker at all; a quarter of its time does too.
	maxParkTime = 700 * time.Millisecond
	// minCrashes is how many workers have to go down with a task at least before its job is
	// given up: one or two may by chance.
	minCrashes = 3
	// minRetryAfter is the least time after which a refused caller is told to come back.
	minRetryAfter = 500 * time.Millisecond
)

// Message is for an executor: one of its fields is set.
type Message struct {
	To member.Process
	// Offer hands over tasks.
	Offer []task.Task
	// Withdraw takes tasks back; with Confirm, the executor reports each when it is over.
	Withdraw []task.ID
	Confirm  bool
	// Claims answers a takeover.
	Claims *executor.Claims
	// Reclaim asks for tasks that still wait: each is reported as not run.
	Reclaim []task.ID
	// WithdrawDurable takes tasks of kept jobs back, but ends are held until they are settled.
	WithdrawDurable []task.ID
	// Reserve asks to be told of room for tasks that wait elsewhere; Unreserve takes that back.
	Reserve   []task.Task
	Unreserve []task.ID
	// ConfirmStored lists ends that are stored.
	ConfirmStored []task.RunRef
	// Superseded lists ends that came too late: their tasks have been started again.
	Superseded []task.RunRef
	// Reconcile lists kept jobs of which tasks are out of sight.
	Reconcile []string
}

// Output is what the embedder has to carry out. Messages to one executor have to arrive
// in their order: a withdrawal that overtakes its offer would leave the task running.
type Output struct {
	Messages []Message
	Answers  []Answer
	Events   []executor.Event
	// ProgressChanged lists kept jobs whose progress has to be stored.
	ProgressChanged []string
	// Stopped lists jobs that have ended here before, and of which surely nothing runs any more.
	Stopped []string
}

// Coordinator brings jobs to their answers. It is not safe for concurrent use.
type Coordinator struct {
	self      member.Process
	jobs      map[string]*job
	executors executors
	// plan is a copy of the rooms that each job without room is tried out in.
	trial executors
	out   Output
	// takenOver holds, for a lost executor, its workers that no successor has taken over yet,
	// with the tokens of its tenures.
	awaitingTakeover map[member.Process]map[string]uint64
	// successors holds the latest takeover of each worker.
	latestTakeovers map[string]takeover
	// histories holds what is to be settled of kept jobs, until their ends are stored.
	durableStates map[string]*durableState
	// held: tasks of kept jobs are not offered, as this daemon may have lost its title to them.
	durablePaused bool
	// pressures is what was done about the load, by service and band.
	retrySchedules map[band]*retrySchedule
	shares         shares
	// expected is how many workers there are while executors have not told of most; else 0.
	expectedWorkers int
	// undecided are takeovers that wait for news of a task.
	pendingTakeovers []pendingTakeover
	// endings are jobs that are over here, by identifier.
	stopping map[string]stoppingJob
}

// New returns a coordinator of the given process.
func New(self member.Process) *Coordinator {
	return &Coordinator{self: self, jobs: make(map[string]*job), awaitingTakeover: make(map[member.Process]map[string]uint64), latestTakeovers: make(map[string]takeover), durableStates: make(map[string]*durableState), retrySchedules: make(map[band]*retrySchedule), stopping: make(map[string]stoppingJob)}
}

// Drain returns what the embedder has to carry out since the last call.
func (c *Coordinator) Drain() Output {
	o := c.out
	c.out = Output{}
	return o
}

// UpdateExecutor takes what an executor tells of its workers.
func (c *Coordinator) UpdateExecutor(h ExecutorState) { c.executors.update(h) }

// JobCount returns the number of jobs without an answer.
func (c *Coordinator) JobCount() int { return len(c.jobs) }

// Has reports whether the job is under way here.
func (c *Coordinator) Has(id string) bool { return c.jobs[id] != nil }

// Submit takes a job. Its answer comes through Drain, at once where it is refused.
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

// admit releases a job or refuses it. Without any worker, or while most are not known yet,
// it is parked for a moment: after a restart of the fleet workers are taken over within
// some hundred ms, and a refused caller doesn't come back.
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

// release offers the tasks whose turn has come.
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

// offer places one task.
func (c *Coordinator) offer(now time.Duration, j *job, t *jobTask) {
	if j.Durable {
		if c.durablePaused {
			c.postpone(now, t)
			return
		}
		t.StartBy = now + durableOfferTimeout
	}
	t.OverShare = j.overShare && !j.mayHaveRun // what has begun is finished, or the work is lost
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
	t.waiting, t.reclaiming = !hasCapacity, false
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

// HandleReport takes an executor's report.
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
	t.Run = r.Run // an executor may raise the number where a worker has seen it
	c.recordCompletion(j, from, r)
	switch r.Outcome {
	case task.Started:
		c.markStarted(j)
		j.mayHaveRun, t.worker, t.token = true, r.Worker, r.Token
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
		if r.Token > 0 || r.Worker != t.worker { // who doesn't hold it can't tell
			t.worker, t.token = r.Worker, r.Token
		}
		c.markLost(now, t)
		c.claimFromSuccessor(now, from, t)
	}
}

func (c *Coordinator) taskDone(now time.Duration, j *job, t *jobTask) {
	j.mayHaveRun = true
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
	t.state, j.mayHaveRun = blocked, true
	if c.countFailure(now, j, t, r.Run) {
		return
	}
	t.Avoid = append(t.Avoid, r.Worker)
	c.restart(now, j, t, r)
}

// restart offers a task again whose run is proved over, unless it can't end in time.
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

// crashed counts a run that went down with its worker, and gives the job up with the last that
// the queue allows: a task that brings down whatever runs it would take one worker after the
// other. A kept job is tried on, as such ends don't count as its failures.
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
				h.markUnavailable() // it would give it back again, until its next word
			}
		}
	}
	c.event("task_offered_again", t, r.Reason)
	if j.Durable && r.Reason != executor.ReasonNoCapacity {
		c.postpone(now, t) // the same executor would give it back at once
		return
	}
	c.offer(now, j, t)
}

func (c *Coordinator) event(name string, t *jobTask, detail string) {
	c.out.Events = append(c.out.Events, executor.Event{Name: name, ID: t.ID, Run: t.Run, Worker: t.worker, Detail: detail})
}

// lose marks a task whose run nobody known looks after.
func (c *Coordinator) markLost(now time.Duration, t *jobTask) {
	t.state = lost
	t.lostDeadline = now + lostTaskTimeout
	if t.Durable {
		t.lostDeadline = now + orphanTimeout
	}
}

func (c *Coordinator) lookup(id task.ID) *jobTask {
	if j := c.jobs[id.Job]; j != nil {
		return j.find(id)
	}
	return nil
}

// Tick lets time pass: deadlines and lost tasks.
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

// sorted returns the jobs in a repeatable order.
func (c *Coordinator) sortedJobs() []*job {
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Or(cmp.Compare(a.submittedAt, b.submittedAt), cmp.Compare(a.ID, b.ID)) })
	return list
}
