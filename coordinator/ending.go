package coordinator

import (
	"math"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// endingWait is how long after an executor is out of sight, or has lost a worker to another one,
// a run that it was to stop is surely over: it notices the loss of its coordinator up to 0.3 s
// later and stops the run, or its lease of 0.8 s lapses; another holder stops what nobody claims
// within 0.3 s.
const maxStopTime = 1500 * time.Millisecond

// untilCleared is the end of a wait for an executor's word.
const untilQuiescent = time.Duration(math.MaxInt64)

// ending is a job that is over here, while executors have not told that its runs are.
type stoppingJob map[task.ID]stoppingTask

// endingTask is a task that was taken back from its executor.
type stoppingTask struct {
	holder member.Process
	run    uint32
	// overBy is when it is surely over, where the executor can't tell; 0 while it can.
	stoppedBy time.Duration
}

// Cancel ends a job whose caller has gone or doesn't want it any more: what runs is stopped.
func (c *Coordinator) Cancel(now time.Duration, id string) {
	if j := c.jobs[id]; j != nil {
		c.withdraw(now, j)
		c.drop(j)
	}
}

// IsStopping reports whether something may still run of a job that is over here. Its end is told by
// Output.Stopped.
func (c *Coordinator) IsStopping(id string) bool { return c.stopping[id] != nil }

// endingReported takes an executor's word on a task that was taken back from it.
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

// AwaitQuiescence reports whether an executor that was lost, and is back, may still run something of a
// job that is over here. Until HandleQuiescence its word is waited for, and not the time.
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

// HandleQuiescence takes the word of an executor that was lost, and is back, that nothing of what it ran
// for this coordinator before runs any more.
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

// endingsLost notes that an executor can't tell of its runs any more.
func (c *Coordinator) startStopTimeout(now time.Duration, p member.Process) {
	for _, e := range c.stopping {
		for id, t := range e {
			if t.holder == p && (t.stoppedBy == 0 || t.stoppedBy == untilQuiescent) {
				e[id] = stoppingTask{p, t.run, now + maxStopTime}
			}
		}
	}
}

// tickEndings ends what is surely over by now.
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

// giveUp ends a job that can't be answered well: as refused where it is certain that no
// task has run or will.
func (c *Coordinator) giveUp(now time.Duration, j *job, reason Reason) {
	status := GivenUp
	if !j.mayHaveRun && !j.outstanding() {
		status = Refused
	}
	c.answer(now, j, status, reason, minRetryAfter)
}

// outstanding reports whether an executor may still start a task.
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

// withdraw takes back what executors have of a job. Of one that isn't kept they tell when it is
// over, as its caller may have sent it to another daemon.
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

// noteEnding waits for the end of a task that is taken back. Where its executor is lost, or has
// lost its worker, its word says nothing.
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
