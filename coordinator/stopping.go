package coordinator

import (
	"math"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// maxStopTime is how long a run that an executor was to stop may still run after the executor became
// unreachable or lost the worker to another executor. An unreachable executor notices the loss of its
// coordinator up to 0.3 s later and stops the run, or its lease of 0.8 s lapses. A new holder of the
// worker stops runs that no coordinator claims within 0.3 s.
const maxStopTime = 1500 * time.Millisecond

// untilQuiescent waits, without a time-out, for an executor to confirm quiescence.
const untilQuiescent = time.Duration(math.MaxInt64)

// stoppingJob holds the tasks of a job that has ended here whose executors have not yet confirmed that
// their runs are over.
type stoppingJob map[task.ID]stoppingTask

// stoppingTask is a task that was withdrawn from its executor.
type stoppingTask struct {
	holder member.Process
	run    uint32
	// stoppedBy is when the run is certainly over although the executor cannot confirm it; 0 while the
	// executor can.
	stoppedBy time.Duration
}

// Cancel ends a job whose caller disconnected or canceled it. It withdraws the job's tasks and emits no
// answer.
func (c *Coordinator) Cancel(now time.Duration, id string) {
	if j := c.jobs[id]; j != nil {
		c.withdraw(now, j)
		c.drop(j)
	}
}

// IsStopping reports whether runs may be left of a job that has ended here. Output.Stopped lists the
// job once none is left.
func (c *Coordinator) IsStopping(id string) bool { return c.stopping[id] != nil }

// handleStopReport handles an executor's report on a task that was withdrawn from it.
func (c *Coordinator) handleStopReport(now time.Duration, from member.Process, r task.Report) {
	e := c.stopping[r.ID.Job]
	t, ok := e[r.ID]
	if !ok || t.holder != from || t.stoppedBy > 0 || r.Run > 0 && r.Run < t.run {
		return
	}
	switch r.Outcome {
	case task.Started:
	case task.Moved:
		e[r.ID] = stoppingTask{from, t.run, now + maxStopTime}
	default:
		delete(e, r.ID)
		c.removeIfStopped(r.ID.Job)
	}
}

func (c *Coordinator) removeIfStopped(job string) {
	if len(c.stopping[job]) == 0 {
		delete(c.stopping, job)
		c.out.Stopped = append(c.out.Stopped, job)
	}
}

// AwaitQuiescence reports whether an executor that was lost, and is reachable again, may still run
// tasks of jobs that have ended here. These tasks then no longer end by time-out: they wait for
// HandleQuiescence.
func (c *Coordinator) AwaitQuiescence(p member.Process) bool {
	found := false
	for _, e := range c.stopping {
		for id, t := range e {
			if t.holder == p && t.stoppedBy > 0 {
				e[id] = stoppingTask{p, t.run, untilQuiescent}
				found = true
			}
		}
	}
	return found
}

// HandleQuiescence handles the confirmation of an executor that was lost, and is reachable again, that
// it runs nothing any more that this coordinator gave it before the loss.
func (c *Coordinator) HandleQuiescence(p member.Process) {
	for job, e := range c.stopping {
		for id, t := range e {
			if t.holder == p && t.stoppedBy > 0 {
				delete(e, id)
			}
		}
		c.removeIfStopped(job)
	}
}

// startStopTimeout bounds the wait for the runs of an executor that cannot report on them any more.
func (c *Coordinator) startStopTimeout(now time.Duration, p member.Process) {
	for _, e := range c.stopping {
		for id, t := range e {
			if t.holder == p && (t.stoppedBy == 0 || t.stoppedBy == untilQuiescent) {
				e[id] = stoppingTask{p, t.run, now + maxStopTime}
			}
		}
	}
}

// tickStopping removes the tasks whose runs are certainly over by now.
func (c *Coordinator) tickStopping(now time.Duration) {
	for job, e := range c.stopping {
		for id, t := range e {
			if t.stoppedBy > 0 && now >= t.stoppedBy {
				delete(e, id)
			}
		}
		c.removeIfStopped(job)
	}
}

// giveUp ends a job that cannot be completed in time. It answers Refused where it is certain that no
// task has run or will run, and GivenUp otherwise.
func (c *Coordinator) giveUp(now time.Duration, j *job, reason Reason) {
	status := GivenUp
	if !j.mayHaveRun && !j.outstanding() {
		status = Refused
	}
	c.answer(now, j, status, reason, minRetryAfter)
}

// outstanding reports whether an executor may have a task of the job, and may start it.
func (j *job) outstanding() bool {
	for _, t := range j.tasks {
		if t.state == offered || t.state == lost {
			return true
		}
	}
	return false
}

func (c *Coordinator) answer(now time.Duration, j *job, s Status, reason Reason, retryAfter time.Duration) {
	if j.ended {
		return
	}
	if j.Durable {
		c.withdrawRetaining(j)
	} else {
		c.withdraw(now, j)
	}
	c.out.Answers = append(c.out.Answers, Answer{Job: j.ID, Status: s, Reason: reason, RetryAfter: retryAfter, Waited: now - j.submittedAt})
	c.drop(j)
}

func (c *Coordinator) drop(j *job) {
	j.ended = true
	for _, t := range j.tasks {
		c.unreserve(t)
	}
	delete(c.jobs, j.ID)
}

// withdraw takes the job's tasks back from executors. Unless the job is durable, the executors report
// when its runs are over, as its caller may have submitted it again at another daemon.
func (c *Coordinator) withdraw(now time.Duration, j *job) {
	byHolder := make(map[member.Process]int)
	for _, t := range j.tasks {
		if t.state != offered && t.state != lost {
			continue
		}
		c.trackStop(now, j, t)
		at, ok := byHolder[t.holder]
		if !ok {
			at = len(c.out.Messages)
			byHolder[t.holder] = at
			c.out.Messages = append(c.out.Messages, Message{To: t.holder, Confirm: !j.Durable})
		}
		c.out.Messages[at].Withdraw = append(c.out.Messages[at].Withdraw, t.ID)
	}
}

// trackStop waits until the run of a withdrawn task is over. It waits for a time instead of a report
// where the executor is lost, or has lost the worker: its report would prove nothing.
func (c *Coordinator) trackStop(now time.Duration, j *job, t *jobTask) {
	if j.Durable {
		return
	}
	if c.stopping[j.ID] == nil {
		c.stopping[j.ID] = make(stoppingJob)
	}
	e := stoppingTask{holder: t.holder, run: t.Run}
	if t.state == lost {
		e.stoppedBy = max(now, t.lostDeadline-lostTaskTimeout+maxStopTime)
	}
	c.stopping[j.ID][t.ID] = e
}
