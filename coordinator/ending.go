package coordinator

import (
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

// Cancel ends a job whose caller has gone or doesn't want it any more: what runs is stopped.
func (c *Coordinator) Cancel(now time.Duration, id string) {
	if j := c.jobs[id]; j != nil {
		c.withdraw(j)
		c.drop(j)
	}
}

// giveUp ends a job that can't be answered well: as refused where it is certain that no
// task has run or will.
func (c *Coordinator) giveUp(now time.Duration, j *job, why Reason) {
	status := GivenUp
	if !j.mayHaveRun && !j.outstanding() {
		status = Refused
	}
	c.answer(now, j, status, why, minRetryAfter)
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

func (c *Coordinator) answer(now time.Duration, j *job, s Status, why Reason, after time.Duration) {
	if j.ended {
		return
	}
	if j.Kept {
		c.relinquish(j)
	} else {
		c.withdraw(j)
	}
	c.out.Answers = append(c.out.Answers, Answer{Job: j.ID, Status: s, Reason: why, RetryAfter: after, Waited: now - j.began})
	c.drop(j)
}

func (c *Coordinator) drop(j *job) {
	j.ended = true
	for _, t := range j.tasks {
		c.unreserve(t)
	}
	delete(c.jobs, j.ID)
}

// withdraw takes back what executors have of a job.
func (c *Coordinator) withdraw(j *job) {
	byHolder := make(map[member.Process]int)
	for _, t := range j.tasks {
		if t.state != offered && t.state != lost {
			continue
		}
		at, ok := byHolder[t.holder]
		if !ok {
			at = len(c.out.Messages)
			byHolder[t.holder] = at
			c.out.Messages = append(c.out.Messages, Message{To: t.holder})
		}
		c.out.Messages[at].Withdraw = append(c.out.Messages[at].Withdraw, t.ID)
	}
}
