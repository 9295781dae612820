package coordinator

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// OrphanTimeout is how long after this daemon lost contact with a run, or took its job over, the
	// run is certainly over if no executor has reported it. The run's executor notices within a second
	// that its coordinator is unreachable, keeps the run for executor.OrphanTimeout in case it is
	// claimed, and its lease ends within another second. An earlier owner of the job that is only cut
	// off withdraws its runs when the node's last confirmation of the ownership record is older than
	// maxConfirmationAge; the lease of its runs ends after that.
	OrphanTimeout = 3200 * time.Millisecond
	// reconcileInterval is the time between two requests to executors for lost tasks.
	reconcileInterval = 500 * time.Millisecond
	// resumeWait is the time for two reconciliation requests and their replies.
	resumeWait = 2*reconcileInterval + 100*time.Millisecond
	// durableOfferTimeout is how long a task of a durable job is queued at one executor before it is
	// offered again: another executor may have free capacity by then.
	durableOfferTimeout = time.Second
	// postponeTime is the delay until a durable task that no executor could take is offered again.
	postponeTime = 100 * time.Millisecond
	// takeoverRunGap is added to the number of the last stored run of a task when its job is taken
	// over: the earlier coordinator may have started further runs that are not stored.
	takeoverRunGap = 1000
	// durableWaitFactor bounds the wait before a durable job starts, in multiples of the time within
	// which its answer is on time: a later answer is worth nothing.
	durableWaitFactor = 2
)

// Progress is the stored progress of one task of a durable job.
type Progress struct {
	Done bool
	// FailedRuns are the numbers of the runs that failed.
	FailedRuns []uint32
	// LastRun is the number of the last run.
	LastRun uint32
}

// durableState is what waits for the progress or the end of a durable job to be stored.
type durableState struct {
	// version counts the changes of the progress.
	version     uint64
	completions []unacknowledgedCompletion
	// withdrawals take back what executors have of a job that has ended. They are sent when the end
	// is stored.
	withdrawals []Message
}

// unacknowledgedCompletion is a completion that an executor does not acknowledge to the worker
// before it is stored.
type unacknowledgedCompletion struct {
	holder  member.Process
	run     task.RunRef
	version uint64
}

// CheckAdmission decides whether to refuse a job before it is stored as durable. It returns the
// reason and the time after which the caller may retry; no reason admits the job.
func (c *Coordinator) CheckAdmission(now time.Duration, j Job) (Reason, time.Duration) {
	n := newJob(now, j)
	wait, ok := c.queueWait(now, n)
	maxWait := durableWaitFactor * (n.due - now)
	switch {
	case !ok && c.executors.hasService(j.Service):
		return ReasonNoWorkers, minRetryAfter // the service has workers, but none that may run a task of the job
	case wait > maxWait:
		return ReasonNoCapacity, max(wait-maxWait, minRetryAfter)
	default:
		return "", 0
	}
}

// submitDurable starts a stored job. Tasks that an earlier coordinator may have started are lost at
// first.
func (c *Coordinator) submitDurable(now time.Duration, j *job) {
	c.durableStates[j.ID] = &durableState{}
	if j.TakenOver {
		c.resumeTasks(now, j)
		if c.answerIfDone(now, j) {
			return
		}
	}
	c.release(now, j)
}

// resumeTasks sets the tasks of a job that was taken over to their stored progress.
func (c *Coordinator) resumeTasks(now time.Duration, j *job) {
	j.mayHaveRun, j.started = true, len(j.Progress) > 0
	for i, t := range j.tasks {
		if j.started {
			p := j.Progress[i]
			t.failedRuns, t.failures, t.Run = p.FailedRuns, len(p.FailedRuns), p.LastRun
			if p.Done {
				t.state = done
				j.remaining[t.ID.Step]--
				continue
			}
		}
		c.markLost(now, t)
		t.unknownRuns = true
	}
}

// answerIfDone answers a job all of whose tasks are done, and reports whether it did.
func (c *Coordinator) answerIfDone(now time.Duration, j *job) bool {
	for _, n := range j.remaining {
		if n > 0 {
			return false
		}
	}
	c.answer(now, j, Completed, "", 0)
	return true
}

// postpone defers a durable task: Tick offers it again after postponeTime.
func (c *Coordinator) postpone(now time.Duration, t *jobTask) {
	t.state, t.offerAt, t.holder = deferred, now+postponeTime, member.Process{}
}

// tickDurable offers the deferred tasks of a durable job, restarts lost tasks whose runs are
// certainly over, and asks executors for the other lost tasks.
func (c *Coordinator) tickDurable(now time.Duration, j *job) {
	missing := false
	for _, t := range j.tasks {
		switch {
		case t.state == deferred && now >= t.offerAt:
			c.offer(now, j, t)
		case t.state == lost && now >= t.lostDeadline && !j.ready(t.ID.Step):
			t.state = blocked
		case t.state == lost && now >= t.lostDeadline && !c.durablePaused:
			if t.unknownRuns {
				t.Run += takeoverRunGap
			}
			c.restart(now, j, t, task.Report{ID: t.ID, Run: t.Run, Worker: t.worker, Outcome: task.Terminated, Reason: "surely_over"})
		case t.state == lost:
			missing = true
		}
	}
	if missing && now >= j.reconcileAt {
		j.reconcileAt = now + reconcileInterval
		c.reconcile(j)
	}
}

// reconcile asks all executors for their runs of a job.
func (c *Coordinator) reconcile(j *job) {
	for _, h := range c.executors.list {
		m := c.messageTo(h.Process, func(m *Message) bool { return m.Reconcile != nil })
		m.Reconcile = append(m.Reconcile, task.OwnedJob{ID: j.ID, OwnedSince: j.OwnedSince})
	}
}

// progressChanged asks the embedder to store the job's progress.
func (c *Coordinator) progressChanged(j *job) {
	if d := c.durableStates[j.ID]; d != nil {
		d.version++
		c.out.ProgressChanged = append(c.out.ProgressChanged, j.ID)
	}
}

// markStarted notes that a worker has started a task of the job. The first start of a durable job is
// stored: by the stored progress, callers and successors know whether the job still waits.
func (c *Coordinator) markStarted(j *job) {
	if j.Durable && !j.started {
		c.out.ProgressChanged = append(c.out.ProgressChanged, j.ID)
	}
	j.mayHaveRun, j.started = true, true
}

// recordCompletion remembers a completion that its executor holds back until it is stored.
func (c *Coordinator) recordCompletion(j *job, from member.Process, r task.Report) {
	if !j.Durable || r.Outcome != task.Done && r.Outcome != task.Failed {
		return
	}
	c.progressChanged(j)
	d := c.durableStates[j.ID]
	d.completions = append(d.completions, unacknowledgedCompletion{from, task.RunRef{ID: r.ID, Run: r.Run}, d.version})
}

// handleLateReport handles a report on a task that, as far as is known, is not at that executor any
// more.
func (c *Coordinator) handleLateReport(now time.Duration, from member.Process, j *job, t *jobTask, r task.Report) {
	switch {
	case t == nil || !t.Durable:
	case t.state == done && r.Outcome == task.Done && r.Run < t.latestStarted():
		c.supersede(from, r.ID, r.Run)
	case t.state == done && r.Outcome == task.Done:
		c.recordCompletion(j, from, r) // a completion that was known before is confirmed with the others
	case t.state == lost && t.holder == from && t.Run == r.Run && r.Outcome == task.NotRun:
		c.taskNotRun(now, j, t, r)
	}
}

// supersede tells an executor that a later run of a task may have started since a run that
// completed. The completion must count for nothing: otherwise the later run would be a run of a task
// that is already done.
func (c *Coordinator) supersede(from member.Process, id task.ID, run uint32) {
	c.out.Messages = append(c.out.Messages, Message{To: from, Superseded: []task.RunRef{{ID: id, Run: run}}})
}

// handleDurableCompletion handles a completion that a worker recorded for an earlier holder or an
// earlier coordinator.
func (c *Coordinator) handleDurableCompletion(now time.Duration, from member.Process, t *jobTask, workerID string, r task.RunningTask) {
	j := c.jobs[r.ID.Job]
	c.markStarted(j)
	report := task.Report{ID: r.ID, Run: r.Run, Worker: workerID, Outcome: task.Terminated, Reason: "ended_out_of_sight"}
	switch {
	case r.Done:
		report.Outcome = task.Done
	case r.Failed:
		report.Outcome = task.Failed
	}
	mine := t.state == lost && r.Run >= t.Run || t.state == offered && t.worker == workerID && r.Run == t.Run
	switch {
	case r.Done && (r.Run < t.latestStarted() || t.state == offered && !mine):
		c.supersede(from, r.ID, r.Run)
	case t.state == done && r.Done:
		c.recordCompletion(j, from, report)
	case r.Done:
		t.Run, t.notStarted = r.Run, false
		c.recordCompletion(j, from, report)
		c.taskDone(now, j, t)
	case t.unknownRuns:
		// The earlier coordinator may have started a later run: the task may not be restarted.
		if r.Failed {
			c.recordCompletion(j, from, report)
			c.countFailure(now, j, t, r.Run)
		}
	case !mine:
	case r.Failed:
		t.Run = r.Run
		c.recordCompletion(j, from, report)
		c.taskFailed(now, j, t, report)
	default:
		t.Run = r.Run
		c.restart(now, j, t, report)
	}
}

// countFailure counts a failed run; a durable task's run counts once, however often it is reported.
// It ends the job with the last attempt and reports whether it did.
func (c *Coordinator) countFailure(now time.Duration, j *job, t *jobTask, run uint32) (ended bool) {
	if j.Durable && slices.Contains(t.failedRuns, run) {
		return false
	}
	t.failedRuns = append(t.failedRuns, run)
	t.failures++
	if t.failures >= j.Attempts {
		c.answer(now, j, TaskFailed, "", 0)
	}
	return j.ended
}

// Progress returns the version of a durable job's progress and the progress of its tasks; no tasks
// when the job has ended.
func (c *Coordinator) Progress(id string) (version uint64, tasks []Progress) {
	if d := c.durableStates[id]; d != nil {
		version = d.version
	}
	j := c.jobs[id]
	if j == nil {
		return version, nil
	}
	for _, t := range j.tasks {
		tasks = append(tasks, Progress{Done: t.state == done, FailedRuns: t.failedRuns, LastRun: t.Run})
	}
	return version, tasks
}

// withdrawRetaining takes back what executors have of a durable job that has ended or is not to run
// here any more. Executors drop its queued tasks and stop its runs, but retain the completion
// records, as another coordinator may have to read them.
func (c *Coordinator) withdrawRetaining(j *job) {
	first := len(c.out.Messages)
	c.withdraw(0, j) // for durable jobs the time is not used
	for i := first; i < len(c.out.Messages); i++ {
		m := &c.out.Messages[i]
		m.WithdrawDurable, m.Withdraw = m.Withdraw, nil
		if d := c.durableStates[j.ID]; d != nil {
			d.withdrawals = append(d.withdrawals, Message{To: m.To, Withdraw: m.WithdrawDurable})
		}
	}
}

// HandlePersisted handles the confirmation that the progress of a durable job is stored up to a
// version and, if ended, that its end is stored too. Executors may then acknowledge the completions.
func (c *Coordinator) HandlePersisted(id string, version uint64, ended bool) {
	d := c.durableStates[id]
	if d == nil {
		return
	}
	rest := d.completions[:0]
	for _, e := range d.completions {
		if !ended && e.version > version {
			rest = append(rest, e)
			continue
		}
		m := c.messageTo(e.holder, func(m *Message) bool { return m.ConfirmStored != nil })
		m.ConfirmStored = append(m.ConfirmStored, e.run)
	}
	d.completions = rest
	if ended {
		c.out.Messages = append(c.out.Messages, d.withdrawals...)
		delete(c.durableStates, id)
	}
}

// DropJob drops a durable job that another daemon owns now. It stops the job's runs; their completion
// records stay for the new owner.
func (c *Coordinator) DropJob(id string) {
	delete(c.durableStates, id)
	if j := c.jobs[id]; j != nil {
		c.withdrawRetaining(j)
		c.drop(j)
	}
}

// DropDurableJobs drops all durable jobs and leaves their runs to the daemons that take the jobs over.
func (c *Coordinator) DropDurableJobs() {
	for _, j := range c.sortedJobs() {
		if j.Durable {
			delete(c.durableStates, j.ID)
			c.drop(j)
		}
	}
}

// PauseDurable pauses the offering of durable tasks while it is uncertain whether this daemon still
// owns their jobs, and resumes it. After the pause executors are asked first for the lost tasks: these
// may have been lost for all that time, with completions that were not reported.
func (c *Coordinator) PauseDurable(now time.Duration, paused bool) {
	resumed := c.durablePaused && !paused
	c.durablePaused = paused
	if !resumed {
		return
	}
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if t.Durable && t.state == lost {
				t.lostDeadline = max(t.lostDeadline, now+resumeWait)
			}
		}
	}
}

// WithdrawDurable takes back all tasks of durable jobs. It is called when this daemon has for too
// long been unable to confirm that it still owns the jobs.
func (c *Coordinator) WithdrawDurable(now time.Duration) {
	for _, j := range c.sortedJobs() {
		if !j.Durable {
			continue
		}
		c.withdrawRetaining(j)
		for _, t := range j.tasks {
			if t.state == offered || t.state == lost {
				c.markLost(now, t)
			}
		}
	}
}
