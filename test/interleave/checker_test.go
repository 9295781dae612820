// The check of what the workers run.

package interleave

import (
	"fmt"

	"github.com/lavendercleat/lavendercleat/task"
)

// checker watches what the workers run, and nothing else. It reports a task that runs twice at once,
// and a task of a durable job that starts again after an executor has acknowledged its completion.
type checker struct {
	w *world
	// acknowledgedOn is the worker on which each completed task's completion was acknowledged.
	acknowledgedOn map[task.ID]string
	violations     []string
}

// recordStart checks a start against all runs. The end of a worker's lease has ended its runs.
func (c *checker) recordStart(k *worker, r *run) {
	c.w.tracef("  %s STARTS %s run %d", k.id, r.id, r.num)
	for _, o := range c.w.workerList {
		if other := o.running[r.id]; o != k && other != nil {
			c.report("%s: run %d on %s while run %d is on %s", r.id, r.num, k.id, other.num, o.id)
		}
	}
	if at := c.acknowledgedOn[r.id]; at != "" && c.w.scenario.base.durable && r.id.Job == c.w.scenario.base.jobID() {
		c.report("%s: run %d on %s after its end on %s was acknowledged", r.id, r.num, k.id, at)
	}
}

func (c *checker) recordEnd(k *worker, r *run, how string) {
	c.w.tracef("  %s ENDS %s run %d: %s", k.id, r.id, r.num, how)
}

func (c *checker) recordAcknowledged(k *worker, id task.ID) {
	if c.acknowledgedOn == nil {
		c.acknowledgedOn = make(map[task.ID]string)
	}
	c.acknowledgedOn[id] = k.id
}

func (c *checker) report(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	c.w.tracef("  VIOLATION %s", s)
	c.violations = append(c.violations, s)
}
