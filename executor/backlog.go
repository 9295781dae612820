package executor

import (
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// backlogParts is the number of parts in each of the two bands of a backlog.
const backlogParts = len(backlogBounds) + 1

// Backlog is the work that waits for workers of a service, in core-ms. Its parts are ordered by how
// soon a task has to start to be on time, as a task does not wait for work that may start later than
// it. The parts of tasks within their shares come first. The parts of tasks over their shares follow,
// as those wait behind all others.
type Backlog [2 * backlogParts]int64

// backlogBounds are the bounds between the parts of a backlog. Tasks of 50 ms to 1 s that may take
// 1.6 times their declared time have to start within 50 ms to 0.7 s of their arrival.
var backlogBounds = [...]time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// WithinShare returns the parts of tasks within their shares.
func (b *Backlog) WithinShare() []int64 { return b[:backlogParts] }

// OverShare returns the parts of tasks over their shares.
func (b *Backlog) OverShare() []int64 { return b[backlogParts:] }

// slack is how long the task may still wait and end on time.
func slack(now time.Duration, t *task.Task) time.Duration { return t.Due - t.ExpectedRunTime - now }

// Add adds a task to the backlog.
func (b *Backlog) Add(now time.Duration, t *task.Task) {
	b[partIndex(now, t)] += t.Demand.MilliCPU * t.ExpectedRunTime.Milliseconds() / 1000
}

// Ahead returns the work that would start before the task if the task arrived now.
func (b *Backlog) Ahead(now time.Duration, t *task.Task) int64 {
	var sum int64
	for _, work := range b[:partIndex(now, t)+1] {
		sum += work
	}
	return sum
}

// partIndex is the index of the part that a task belongs to.
func partIndex(now time.Duration, t *task.Task) int {
	p := partOfSlack(slack(now, t))
	if t.OverShare {
		p += backlogParts
	}
	return p
}

func partOfSlack(slack time.Duration) int {
	for i, bound := range backlogBounds {
		if slack < bound {
			return i
		}
	}
	return len(backlogBounds)
}

// Backlog returns the waiting work by service.
func (e *Executor) Backlog(now time.Duration) map[string]Backlog {
	all := make(map[string]Backlog)
	var b Backlog
	var last *task.Task
	for _, q := range e.queue {
		if q.reserved {
			continue
		}
		if last == nil || last.Service != q.task.Service {
			// A map access for each task of a long queue would cost more than the rest of the loop.
			if last != nil {
				all[last.Service] = b
			}
			b = all[q.task.Service]
		}
		b.Add(now, q.task)
		last = q.task
	}
	if last != nil {
		all[last.Service] = b
	}
	return all
}
