package coordinator

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// orphanWait is how long after this daemon has lost sight of a run, or has adopted its
	// job, the run is surely over, if nobody has told of it: its executor notices within a
	// second that its coordinator is silent, keeps the run for executor.OrphanTimeout in case
	// it is claimed, and its lease ends within another second. An earlier owner that is
	// only cut off finds out within titleAge of the node that its title is gone, and the
	// lease of what it ran ends after that.
	orphanTimeout = 3200 * time.Millisecond
	// recallEvery is the time between questions to executors about lost tasks.
	reconcileInterval = 500 * time.Millisecond
	// releaseWait is the time for two questions to executors and their answers.
	resumeWait = 2*reconcileInterval + 100*time.Millisecond
	// keptOfferTime is how long a task of a kept job waits at one executor before it is
	// offered anew: room may have come elsewhere.
	durableOfferTimeout = time.Second
	// postponeTime is the pause before a kept task is offered again that found no place.
	postponeTime = 100 * time.Millisecond
	// inheritedRuns is added to the number of the last stored run of an adopted task: its
	// earlier coordinator may have ordered some more that are not stored.
	takeoverRunGap = 1000
	// keptPatience bounds the wait before a kept job begins, in multiples of the time
	// within which it is on time: an answer later than that is worth nothing.
	durableWaitFactor = 2
)

// Progress is what is stored of a task.
type Progress struct {
	Done bool
	// FailedRuns are the numbers of the runs that failed.
	FailedRuns []uint32
	// LastRun is the number of the last run.
	LastRun uint32
}

// history is what has to be settled of a kept job.
type durableState struct {
	// version counts changes of the progress.
	version     uint64
	completions []unacknowledgedCompletion
	// left lists what executors have of a job that has ended; they drop it when the end is
	// stored.
	withdrawals []Message
}

// heldEnd is an end that an executor holds back until it is stored.
type unacknowledgedCompletion struct {
	holder  member.Process
	run     task.RunRef
	version uint64
}

// CheckAdmission decides whether a job that would be kept is better refused: with the time to
// come back.
func (c *Coordinator) CheckAdmission(now time.Duration, j Job) (Reason, time.Duration) {
	n := newJob(now, j)
	wait, ok := c.queueWait(now, n)
	maxWait := durableWaitFactor * (n.due - now)
	switch {
	case !ok && c.executors.hasService(j.Service):
		return ReasonNoWorkers, minRetryAfter // there are workers, but none that may run it
	case wait > maxWait:
		return ReasonNoCapacity, max(wait-maxWait, minRetryAfter)
	default:
		return "", 0
	}
}

// keep takes a stored job. Tasks that an earlier coordinator may have started are out of
// sight at first.
func (c *Coordinator) submitDurable(now time.Duration, j *job) {
	c.durableStates[j.ID] = &durableState{}
	for i, p := range j.Progress {
		t := j.tasks[i]
		t.failedRuns, t.failures, t.Run = p.FailedRuns, len(p.FailedRuns), p.LastRun
		if p.Done {
			t.state = done
			j.remaining[t.ID.Step]--
			continue
		}
		c.markLost(now, t)
		t.unknownRuns = true
	}
	if len(j.Progress) > 0 {
		j.mayHaveRun = true
		if c.answerIfDone(now, j) {
			return
		}
	}
	c.release(now, j)
}

// finished ends a job of which nothing is left.
func (c *Coordinator) answerIfDone(now time.Duration, j *job) bool {
	for _, n := range j.remaining {
		if n > 0 {
			return false
		}
	}
	c.answer(now, j, Completed, "", 0)
	return true
}

// postpone puts a kept task off for a moment.
func (c *Coordinator) postpone(now time.Duration, t *jobTask) {
	t.state, t.offerAt, t.holder = deferred, now+postponeTime, member.Process{}
}

// tickKept offers what was put off and looks for what is out of sight.
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
		c.reconcile(j.ID)
	}
}

// recall asks all executors about a job.
func (c *Coordinator) reconcile(id string) {
	for _, h := range c.executors.list {
		m := c.messageTo(h.Process, func(m *Message) bool { return m.Reconcile != nil })
		m.Reconcile = append(m.Reconcile, id)
	}
}

// changed asks for the job's progress to be stored.
func (c *Coordinator) progressChanged(j *job) {
	if d := c.durableStates[j.ID]; d != nil {
		d.version++
		c.out.ProgressChanged = append(c.out.ProgressChanged, j.ID)
	}
}

// begun notes that a task of the job has started.
func (c *Coordinator) markStarted(j *job) {
	if j.Durable && !j.mayHaveRun {
		j.mayHaveRun = true
		c.out.ProgressChanged = append(c.out.ProgressChanged, j.ID)
	}
}

// note keeps in mind that an end is held back at its executor until it is stored.
func (c *Coordinator) recordCompletion(j *job, from member.Process, r task.Report) {
	if !j.Durable || r.Outcome != task.Done && r.Outcome != task.Failed {
		return
	}
	c.progressChanged(j)
	d := c.durableStates[j.ID]
	d.completions = append(d.completions, unacknowledgedCompletion{from, task.RunRef{ID: r.ID, Run: r.Run}, d.version})
}

// reportedLate takes a report on a task that is not at that executor any more, as far as
// was known.
func (c *Coordinator) handleLateReport(now time.Duration, from member.Process, j *job, t *jobTask, r task.Report) {
	switch {
	case t == nil || !t.Durable:
	case t.state == done && r.Outcome == task.Done && r.Run < t.latestStarted():
		c.supersede(from, r.ID, r.Run)
	case t.state == done && r.Outcome == task.Done:
		c.recordCompletion(j, from, r) // an end that was known before is settled with the others
	case t.state == lost && t.holder == from && t.Run == r.Run && r.Outcome == task.NotRun:
		c.taskNotRun(now, j, t, r)
	}
}

// disregard tells an executor that a later run than one that was done may have begun since: the
// earlier end may count for nothing, or the later run would be one of a task that was done.
func (c *Coordinator) supersede(from member.Process, id task.ID, run uint32) {
	c.out.Messages = append(c.out.Messages, Message{To: from, Superseded: []task.RunRef{{ID: id, Run: run}}})
}

// keptEnded takes an end that was listed for an earlier holder or coordinator.
func (c *Coordinator) handleDurableCompletion(now time.Duration, from member.Process, t *jobTask, workerID string, r task.RunningTask) {
	j := c.jobs[r.ID.Job]
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
		// The earlier coordinator may have started a later run.
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

// countFailure counts a failed run, each once, and ends the job with the last attempt; it
// reports whether it did.
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

// Progress returns the version of a kept job's progress and the progress itself; no tasks
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

// HasStarted reports whether a task of the job has started.
func (c *Coordinator) HasStarted(id string) bool {
	j := c.jobs[id]
	return j != nil && j.mayHaveRun
}

// relinquish takes back what executors have of a job that has ended or is not to be run here:
// what waits is dropped and what runs is stopped, but ends are held back still, as
// another coordinator may have to learn of them.
func (c *Coordinator) withdrawRetaining(j *job) {
	first := len(c.out.Messages)
	c.withdraw(0, j) // of kept jobs the time says nothing
	for i := first; i < len(c.out.Messages); i++ {
		m := &c.out.Messages[i]
		m.WithdrawDurable, m.Withdraw = m.Withdraw, nil
		if d := c.durableStates[j.ID]; d != nil {
			d.withdrawals = append(d.withdrawals, Message{To: m.To, Withdraw: m.WithdrawDurable})
		}
	}
}

// HandlePersisted tells that the progress of a kept job is stored up to a version; ended, that
// its end is too. Executors may acknowledge the ends.
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

// DropJob drops a kept job that is another daemon's now: what runs is stopped, and ends
// are left for the other to learn.
func (c *Coordinator) DropJob(id string) {
	delete(c.durableStates, id)
	if j := c.jobs[id]; j != nil {
		c.withdrawRetaining(j)
		c.drop(j)
	}
}

// DropDurableJobs drops all kept jobs and leaves what runs for them to their heirs.
func (c *Coordinator) DropDurableJobs() {
	for _, j := range c.sortedJobs() {
		if j.Durable {
			delete(c.durableStates, j.ID)
			c.drop(j)
		}
	}
}

// PauseDurable stops the offering of kept tasks while it is uncertain that this daemon still owns
// their jobs. Afterwards executors are asked first for what is out of sight: they may have
// been so for all that time, with ends that were not told.
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

// WithdrawDurable takes back all tasks of kept jobs: this daemon has not been able to tell for
// too long whether it still owns them.
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

// EachDurableJob returns the kept jobs by whether a task of them has started.
func (c *Coordinator) EachDurableJob(each func(id string, started bool)) {
	for id, j := range c.jobs {
		if j.Durable {
			each(id, j.mayHaveRun)
		}
	}
}
