package sched

// This file estimates the run times of tasks from declared and observed run times.

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// sketchAccuracy is the relative accuracy of the quantiles of a sketch.
	sketchAccuracy = 0.05
	// sketchBins bounds the memory of a sketch.
	sketchBins = 256
	// sketchWindow is the number of runs after which a new sketch replaces the current
	// one, so that the quantiles follow a kind whose run times change.
	sketchWindow = 2000
	// tailQuantile is the quantile that counts as the longest run time of a task.
	tailQuantile = 0.95
	// refreshEvery is the number of runs between two updates of the tail.
	refreshEvery = 32
	// meanWeight is the weight of one run in the moving average after many runs.
	meanWeight = 0.02
	// declaredRuns is the number of runs from which the estimate ignores the declared
	// run time.
	declaredRuns = 5
	// minLearnedRuns is the number of runs from which the scheduler relies on the observed
	// run times.
	minLearnedRuns = 20
)

// runTimes learns the run times of a kind. Declared run times are hints that may be wrong
// by a factor of ten: a declaration counts as one run, and only until the kind has had
// declaredRuns runs.
type runTimes struct {
	runs int
	// observed is the moving average of the runs. mean is the estimate to use.
	observed time.Duration
	declared time.Duration
	mean     time.Duration
	// tail is the tailQuantile of the runs.
	tail   time.Duration
	sketch *ddsketch.DDSketch
	// previous is the full sketch before the current one.
	previous *ddsketch.DDSketch
}

func newRunTimes(declared time.Duration) runTimes {
	return runTimes{declared: declared, mean: declared, tail: declared}
}

// add records the run time of one task.
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
	// Add fails only for negative or infinite values.
	_ = r.sketch.Add(max(d, 0).Seconds())
	if r.runs < minLearnedRuns || r.runs%refreshEvery == 0 {
		r.refreshTail()
	}
}

// rotate starts a new sketch and keeps the current one as the previous.
func (r *runTimes) rotate() {
	fresh, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchBins)
	if err != nil {
		panic(err) // only for an accuracy outside of 0 to 1
	}
	r.previous, r.sketch = r.sketch, fresh
}

// refreshTail updates the tail from the sketches.
func (r *runTimes) refreshTail() { r.tail = r.quantile(tailQuantile, r.tail) }

// quantile returns a quantile of the run times. It uses the previous sketch until the
// current one is half full, and returns the fallback when there are no runs.
func (r *runTimes) quantile(q float64, fallback time.Duration) time.Duration {
	source := r.sketch
	if r.previous != nil && source.GetCount() < sketchWindow/2 {
		source = r.previous
	}
	seconds, err := source.GetValueAtQuantile(q)
	if err != nil {
		return fallback
	}
	return time.Duration(seconds * float64(time.Second))
}

// longestOf returns the time within which the longest of a number of tasks ends with the
// probability tailQuantile. If a few runs take far longer than the others, a job of many
// tasks most likely contains such a run, while a job of one task most likely does not.
func (r *runTimes) longestOf(tasks int) time.Duration {
	if !r.learned() {
		return r.mean
	}
	return r.quantile(math.Pow(tailQuantile, 1/float64(tasks)), r.tail)
}

// learned reports whether the kind has had enough runs to rely on them instead of the
// declared run time.
func (r *runTimes) learned() bool { return r.runs >= minLearnedRuns }
