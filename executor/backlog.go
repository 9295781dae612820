package executor

import (
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// Backlog is the work that waits for workers of a service, in core-ms, by how soon it has
// to start to be on time. What has to start later doesn't keep a task waiting.
type Backlog [len(backlogBounds) + 1]int64

// backlogBounds are the bounds between the parts of a backlog: tasks of 50 ms to 1 s that
// may take 1.6 times their time have to start within 50 ms to 0.7 s of their coming.
var backlogBounds = [...]time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// slack is how long the task may wait and still end in time.
func slack(now time.Duration, t *task.Task) time.Duration { return t.Due - t.Expected - now }

// Add adds a task.
func (b *Backlog) Add(now time.Duration, t *task.Task) {
	b[part(slack(now, t))] += t.Demand.MilliCPU * t.Expected.Milliseconds() / 1000
}

// Ahead is the work that is started before the task, if it came now.
func (b *Backlog) Ahead(now time.Duration, t *task.Task) int64 {
	var sum int64
	for _, work := range b[:part(slack(now, t))+1] {
		sum += work
	}
	return sum
}

func part(slack time.Duration) int {
	for i, bound := range backlogBounds {
		if slack < bound {
			return i
		}
	}
	return len(backlogBounds)
}
