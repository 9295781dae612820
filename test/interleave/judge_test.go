package interleave

import (
	"fmt"

	"github.com/lavendercleat/lavendercleat/task"
)

// judge watches the workers, and nothing else.
type checker struct {
	w *world
	// acked are tasks whose end as done was acknowledged.
	acknowledgedOn map[task.ID]string
	violations     []string
}

// started takes a start. A lease that has ended has ended its runs.
func (j *checker) recordStart(k *worker, r *run) {
	j.w.tracef("  %s STARTS %s run %d", k.id, r.id, r.num)
	for _, o := range j.w.workerList {
		if other := o.running[r.id]; o != k && other != nil {
			j.report("%s: run %d on %s beside run %d on %s", r.id, r.num, k.id, other.num, o.id)
		}
	}
	if at := j.acknowledgedOn[r.id]; at != "" && j.w.scenario.base.durable && r.id.Job == j.w.scenario.base.jobID() {
		j.report("%s: run %d on %s after its end on %s was acknowledged", r.id, r.num, k.id, at)
	}
}

func (j *checker) recordEnd(k *worker, r *run, how string) {
	j.w.tracef("  %s ENDS %s run %d: %s", k.id, r.id, r.num, how)
}

func (j *checker) recordAcknowledged(k *worker, id task.ID) {
	if j.acknowledgedOn == nil {
		j.acknowledgedOn = make(map[task.ID]string)
	}
	j.acknowledgedOn[id] = k.id
}

func (j *checker) report(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	j.w.tracef("  TWICE %s", s)
	j.violations = append(j.violations, s)
}
