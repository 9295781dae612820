package executor

import (
	"math"
	"time"
)

const (
	// speedRuns is how many runs a worker's speed is the mean of, older ones counting less.
	speedRuns = 8
	// knownAfter is how many runs tell a worker's speed: of declared times that are off by half
	// the mean is off by a quarter by then.
	knownAfter = 4
	// alike is by how much, as a logarithm, a worker's run times may differ from what is usual
	// before it counts as slower or faster: less is chance, or makes no job late.
	alike = 0.25
)

// pace is how long runs take compared with what was declared, as a mean of logarithms: one
// task that takes ten times as long as declared then counts as much as one that takes a tenth.
type pace struct {
	mean float64
	runs int
}

func (p *pace) observe(declared, took time.Duration) {
	p.runs++
	p.mean += (math.Log(float64(took)/float64(declared)) - p.mean) / float64(min(p.runs, speedRuns))
}

func (p *pace) known() bool { return p.runs >= knownAfter }

// usualPace is the mean of the paces of an executor's workers, each counting the same however
// many runs it gets: otherwise slow workers would look the more usual the more they are given.
type usualPace struct {
	sum   float64
	count int
}

func (u *usualPace) add(p pace) {
	if p.known() {
		u.sum += p.mean
		u.count++
	}
}

func (u *usualPace) remove(p pace) {
	if p.known() {
		u.sum -= p.mean
		u.count--
	}
}

// ran notes how long a run took that this executor started and that ended well.
func (e *Executor) ran(w *worker, r *run, took time.Duration) {
	if r.deadline == 0 || r.task.Expected <= 0 || took <= 0 {
		return
	}
	e.usual.remove(w.pace)
	w.pace.observe(r.task.Expected, took)
	e.usual.add(w.pace)
}

// slowness is how many times as long as usual the worker's runs take; 1 where that isn't
// known, or doesn't stand out.
func (e *Executor) slowness(w *worker) float64 {
	if !w.pace.known() {
		return 1
	}
	if difference := w.pace.mean - e.usual.sum/float64(e.usual.count); math.Abs(difference) > alike {
		return math.Exp(difference)
	}
	return 1
}
