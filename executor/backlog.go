package executor

import (
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// backlogParts is the number of parts of each band of a backlog.
const backlogParts = len(backlogBounds) + 1

// Backlog is the work that waits for workers of a service, in core-ms, by how soon it has
// to start to be on time. What has to start later doesn't keep a task waiting. Tasks within
// their shares come first, then the parts of surplus ones, which wait behind all of those.
type Backlog [2 * backlogParts]int64

// backlogBounds are the bounds between the parts of a backlog: tasks of 50 ms to 1 s that
// may take 1.6 times their time have to start within 50 ms to 0.7 s of their coming.
var backlogBounds = [...]time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// WithinShare is the part of the tasks within their shares.
func (b *Backlog) WithinShare() []int64 { return b[:backlogParts] }

// OverShare is the part of the surplus tasks.
func (b *Backlog) OverShare() []int64 { return b[backlogParts:] }

// slack is how long the task may wait and still end in time.
func slack(now time.Duration, t *task.Task) time.Duration { return t.Due - t.ExpectedRunTime - now }

// Add adds a task.
func (b *Backlog) Add(now time.Duration, t *task.Task) {
	b[partIndex(now, t)] += t.Demand.MilliCPU * t.ExpectedRunTime.Milliseconds() / 1000
}

// Ahead is the work that is started before the task, if it came now.
func (b *Backlog) Ahead(now time.Duration, t *task.Task) int64 {
	var sum int64
	for _, work := range b[:partIndex(now, t)+1] {
		sum += work
	}
	return sum
}

// rank is the part of a backlog that a task belongs to.
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

// Backlog returns the work that waits, by service.
func (e *Executor) Backlog(now time.Duration) map[string]Backlog {
	all := make(map[string]Backlog)
	var b Backlog
	var last *task.Task
	for _, q := range e.queue {
		if q.reserved {
			continue
		}
		if last == nil || last.Service != q.task.Service {
			// A look-up for each task of a long queue would cost more than the rest.
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
