package sched

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// sketchAccuracy is the relative error of a quantile.
	sketchAccuracy = 0.05
	// sketchBins bounds the memory of a sketch.
	sketchBins = 256
	// sketchWindow is the number of runs after which a sketch is replaced, so that a
	// kind whose run times changed is seen to have changed.
	sketchWindow = 2000
	// tailQuantile is what counts as the longest run of a task.
	tailQuantile = 0.95
	// refreshEvery is the number of runs between two looks at the quantile.
	refreshEvery = 32
	// meanWeight is the weight of one run in the moving mean, once there are many.
	meanWeight = 0.02
	// firstRuns is the number of runs in which the declaration still counts.
	declaredRuns = 5
	// enoughRuns is the number of runs from which observed times are relied on.
	minLearnedRuns = 20
)

// runTimes learns the run times of a kind. Declared times are hints that may be ten
// times off: a declaration counts as one run, and no longer after firstRuns.
type runTimes struct {
	runs int
	// observed is the moving mean of the runs, mean the one to use.
	observed time.Duration
	declared time.Duration
	mean     time.Duration
	// tail is the tailQuantile of the runs.
	tail   time.Duration
	sketch *ddsketch.DDSketch
	// last is the full sketch before the current one.
	previous *ddsketch.DDSketch
}

func newRunTimes(declared time.Duration) runTimes {
	return runTimes{declared: declared, mean: declared, tail: declared}
}

// add takes in the run time of one task.
func (r *runTimes) add(d time.Duration) {
	r.runs++
	weight := max(1/float64(r.runs), meanWeight)
	r.observed += time.Duration(weight * float64(d-r.observed))
	r.mean = r.observed
	if r.runs < declaredRuns {
		r.mean = (r.declared + time.Duration(r.runs)*r.observed) / time.Duration(r.runs+1)
	}
	if r.sketch == nil || r.sketch.GetCount() >= sketchWindow {
		r.rotate()
	}
	// Only a negative or infinite value makes Add fail.
	_ = r.sketch.Add(max(d, 0).Seconds())
	if r.runs < minLearnedRuns || r.runs%refreshEvery == 0 {
		r.refreshTail()
	}
}

func (r *runTimes) rotate() {
	fresh, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchBins)
	if err != nil {
		panic(err) // only for an accuracy outside 0..1
	}
	r.previous, r.sketch = r.sketch, fresh
}

// refresh looks up the tail.
func (r *runTimes) refreshTail() { r.tail = r.quantile(tailQuantile, r.tail) }

// quantile returns a quantile of the runs by the fuller sketch, or the given time when
// there are none.
func (r *runTimes) quantile(q float64, fallback time.Duration) time.Duration {
	from := r.sketch
	if r.previous != nil && from.GetCount() < sketchWindow/2 {
		from = r.previous
	}
	seconds, err := from.GetValueAtQuantile(q)
	if err != nil {
		return fallback
	}
	return time.Duration(seconds * float64(time.Second))
}

// longest returns the time that the longest of a number of tasks stays below with the
// probability of tailQuantile. Where a few tasks take far longer, a job of many most
// likely has one of them, though a single task has not.
func (r *runTimes) longestOf(tasks int) time.Duration {
	if !r.learned() {
		return r.mean
	}
	return r.quantile(math.Pow(tailQuantile, 1/float64(tasks)), r.tail)
}

// learned tells whether the times were observed rather than declared.
func (r *runTimes) learned() bool { return r.runs >= minLearnedRuns }
