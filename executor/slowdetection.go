package executor

import (
	"fmt"
	"math"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// speedChangeThreshold is by how much, as a logarithm, a run's speed has to change between two
	// measurements to show that its worker's speed has changed. The error of the declared time
	// cancels out, as it is the same in both.
	speedChangeThreshold = 0.7
	// outlierThreshold is by how much, as a logarithm, a run has to differ from its worker's slowdown
	// to be an outlier. Declared times are off by half, so one run in a hundred is by chance.
	outlierThreshold = 1.0
	// outlierMemory is how long an outlier waits for an outlier of another job.
	outlierMemory = 2 * time.Second
	// stepWeight is the part of a job's own excess over its declared time that is subtracted from its
	// run times in a worker's mean. With all of it subtracted, the means would only follow each other
	// and no observation.
	stepWeight = 0.5
	// stepMemory is how long the run times of a step's tasks are remembered.
	stepMemory = 3 * time.Second
	// windowShare is the part of its declared time after which a run's progress shows its speed, and
	// minWindow the least time. Lists state whole percents, and clocks whole milliseconds.
	windowShare = 0.25
	minWindow   = 25 * time.Millisecond
	// extraPollFactor is how many times its usual time a run may take before the executor polls the
	// worker's lists beside the standing poll. Most runs have ended by then and cost no extra poll.
	extraPollFactor = 1.5
)

// Names of events of a worker's speed. docs/OPERATIONS.md lists them all.
const (
	// EventWorkerSlow: the worker now counts as slow.
	EventWorkerSlow = "worker_slow"
	// EventWorkerUsual: a slow worker runs at the usual speed again.
	EventWorkerUsual = "worker_usual"
	// EventWorkerProbed: a task starts on a slow worker to find out whether it is still slow.
	EventWorkerProbed = "worker_probed"
	// EventSlowRunStopped: a run on a slow worker is stopped, so that its task can start elsewhere in
	// time.
	EventSlowRunStopped = "run_on_slow_worker"
)

// outlier is a job whose run on a worker took far longer than the worker's runs usually do. from is
// the start of the time that showed it, at when it was last seen.
type outlier struct {
	job      string
	ratio    float64
	from, at time.Duration
}

// observation is what one run shows of its worker's speed since a point in time. low and high bound
// actual over declared time, as logarithms.
type observation struct {
	run       *run
	low, high float64
	from      time.Duration
	ended     bool
	// slowedBy and spedUpBy are lower bounds of the change in the run's speed since its first
	// measurement.
	slowedBy, spedUpBy float64
}

// overlaps reports whether at least half of the observed time lies after the start of the outlier.
func (s *observation) overlaps(now time.Duration, o outlier) bool {
	return s.from+(now-s.from)/2 >= o.from
}

// stepKey identifies a step of a job.
type stepKey struct {
	job        string
	occurrence uint32
	step       uint32
}

func stepKeyOf(id task.ID) stepKey { return stepKey{id.Job, id.Occurrence, id.Step} }

// stepStats is what a step's tasks have shown on this executor's workers.
type stepStats struct {
	// excess is by how much, as a logarithm, runs took longer than usual on each worker that is not
	// slow.
	excess    map[*worker]float64
	updatedAt time.Duration
	// longByItself: runs of other jobs took their usual time beside one of this step, so the step
	// shows nothing of its workers' speed.
	longByItself bool
}

// statsOf returns the stats of a task's step.
func (e *Executor) statsOf(now time.Duration, id task.ID) *stepStats {
	s := e.steps[stepKeyOf(id)]
	if s == nil {
		s = &stepStats{excess: make(map[*worker]float64)}
		e.steps[stepKeyOf(id)] = s
	}
	s.updatedAt = now
	return s
}

// excessElsewhere is by how much, as a logarithm, the step's tasks take longer than usual on other
// workers; ok is false if no other worker has run any. It is the least value of all workers, as one
// of them may have turned slow too.
func (s *stepStats) excessElsewhere(w *worker) (least float64, ok bool) {
	for other, excess := range s.excess {
		if other != w && (!ok || excess < least) {
			least, ok = excess, true
		}
	}
	return least, ok
}

// forgetOldSteps drops steps without an observation for stepMemory.
func (e *Executor) forgetOldSteps(now time.Duration) {
	for k, s := range e.steps {
		if now-s.updatedAt > stepMemory {
			delete(e.steps, k)
		}
	}
}

// evaluateRun updates a worker's slowdown by what a run shows. Declared times are off, by the same
// error for all tasks of a job, and a few jobs take many times their declared time on any worker. So
// a worker counts as slow at once only by outliers of two jobs, or by one outlier whose other tasks
// take their usual time elsewhere. A single outlier counts for no more than outlierThreshold.
func (e *Executor) evaluateRun(now time.Duration, w *worker, s observation) {
	usual, step := e.usualFor(w.info.Service), e.statsOf(now, s.run.id)
	excess, compared := step.excessElsewhere(w)
	if e.slowness(w) <= 1 {
		step.excess[w] = s.low - usual
	}
	raw := s.low
	if compared {
		// The job's own excess explains at most the difference that was seen, and never adds to
		// it. The usual slowdown is the mean of the workers' means: if it raised them in turn, they
		// would rise without limit.
		explained := min(max(excess, 0), max(s.low-usual, 0))
		s.low, s.high = s.low-explained, s.high-explained
		raw -= stepWeight * explained
	}
	reference := usual
	if w.slowdown.known() {
		reference = w.slowdown.mean
	}
	slow := w.slowdown.known() && reference-usual > alikeTolerance
	if slow {
		w.probeAt = max(w.probeAt, now+max(w.probeInterval, minProbeInterval)) // this run has shown its speed
	}
	switch {
	case s.slowedBy > speedChangeThreshold:
		if !slow {
			e.markSlow(now, w, s, usual+s.slowedBy)
		}
	case slow && s.spedUpBy > speedChangeThreshold:
		e.markUsual(w, s, max(reference-s.spedUpBy, usual))
	case s.low-reference > outlierThreshold:
		e.handleOutlier(now, w, s, reference, compared && excess < alikeTolerance)
	case slow && reference-s.high > outlierThreshold:
		e.markUsual(w, s, max(s.high, usual))
	default:
		if s.high-reference < outlierThreshold/2 {
			e.refuteOutlier(now, w, s)
		}
		if s.ended {
			e.updateSlowdown(w, func(sd *slowdown) { sd.observe(max(min(raw, reference+outlierThreshold), reference-outlierThreshold)) })
		}
	}
}

// markUsual marks a slow worker as usual again, with the given slowdown.
func (e *Executor) markUsual(w *worker, s observation, mean float64) {
	e.setSlowdown(w, mean)
	w.probeAt, w.probeInterval = 0, 0
	e.emitEvent(EventWorkerUsual, w, s.run, fmt.Sprintf("ratio=%.2f", math.Exp(mean)))
}

// refuteOutlier drops an outlier if a run of another job took its usual time meanwhile: then the job
// was long, and the worker is not slow.
func (e *Executor) refuteOutlier(now time.Duration, w *worker, s observation) {
	o := w.slowdown.outlier
	if o.job == "" || o.job != s.run.id.Job && !s.overlaps(now, o) {
		return
	}
	w.slowdown.outlier = outlier{}
	if o.job == s.run.id.Job {
		return
	}
	for _, r := range w.runs {
		if r.id.Job == o.job {
			e.statsOf(now, r.id).longByItself = true
		}
	}
}

// handleOutlier handles a run that takes far longer than its worker's runs usually do.
func (e *Executor) handleOutlier(now time.Duration, w *worker, s observation, reference float64, compared bool) {
	job, o := s.run.id.Job, w.slowdown.outlier
	switch {
	case e.statsOf(now, s.run.id).longByItself:
	case compared:
		e.markSlow(now, w, s, s.low)
	case o.job != "" && o.job != job && now-o.at <= outlierMemory:
		e.markSlow(now, w, s, (s.low+o.ratio)/2)
	default:
		if o.job != job {
			w.slowdown.outlier = outlier{job: job, from: s.from}
		}
		w.slowdown.outlier.ratio, w.slowdown.outlier.at = s.low, now
		if s.ended {
			e.updateSlowdown(w, func(sd *slowdown) { sd.observe(reference + outlierThreshold) })
		}
	}
}

// markSlow marks a worker as slow, with the given slowdown, and schedules its first probe.
func (e *Executor) markSlow(now time.Duration, w *worker, s observation, mean float64) {
	e.setSlowdown(w, mean)
	w.probeInterval = minProbeInterval
	w.probeAt = now + w.probeInterval
	e.emitEvent(EventWorkerSlow, w, s.run, fmt.Sprintf("ratio=%.2f usual=%.2f ended=%t", math.Exp(mean), math.Exp(e.usualFor(w.info.Service)), s.ended))
}

// evaluateProgress evaluates the progress of a worker's runs. clockMS is the worker's clock when it
// made the list.
func (e *Executor) evaluateProgress(now time.Duration, w *worker, clockMS int64) {
	for _, r := range w.sortedRuns() {
		if s, ok := r.measureProgress(now, clockMS); ok {
			e.evaluateRun(now, w, s)
		}
	}
	if len(w.runs) == 0 {
		return
	}
	e.stopLateRuns(now, w)
}

// measureProgress returns what a run's progress shows of its speed since the last measurement. Runs
// of durable jobs show nothing, as they may continue from a checkpoint.
func (r *run) measureProgress(now time.Duration, clockMS int64) (observation, bool) {
	if r.state != running || r.task == nil || r.deadline == 0 || r.task.Durable || r.runningClock == 0 {
		return observation{}, false
	}
	if r.measuredClock == 0 {
		r.measuredClock = r.runningClock
	}
	s, ok := r.measureWindow(now, time.Duration(clockMS-r.measuredClock)*time.Millisecond, r.percent)
	if ok {
		r.measuredClock, r.lastMeasuredAt, r.measuredPercent = clockMS, now, r.percent
	}
	return s, ok
}

// measureWindow returns a run's speed over a time window that ended at the given percentage.
func (r *run) measureWindow(now, window time.Duration, percent int) (observation, bool) {
	ratio, ok := r.logRatio(window)
	if !ok || window < max(minWindow, time.Duration(windowShare*float64(r.task.ExpectedRunTime))) {
		return observation{}, false
	}
	grown := float64(percent-r.measuredPercent) / 100
	s := observation{run: r, from: now - window, low: ratio - math.Log(grown+0.01), high: ratio - math.Log(max(grown-0.01, 0.001))}
	if !r.measured {
		r.measured, r.firstBounds = true, [2]float64{s.low, s.high}
	}
	s.slowedBy, s.spedUpBy = s.low-r.firstBounds[1], r.firstBounds[0]-s.high
	return s, true
}

// hasUnmeasuredOverdueRun reports whether a run that has not been measured is so far beyond its usual
// time that the worker's lists have to be read.
func (e *Executor) hasUnmeasuredOverdueRun(now time.Duration, w *worker) bool {
	found := false
	for _, r := range w.runs {
		if r.listsRequested || r.measured || r.state != running || r.task == nil {
			continue
		}
		after := extraPollFactor * math.Exp(e.usualFor(w.info.Service)) * float64(r.task.ExpectedRunTime)
		if r.probe {
			after = max(windowShare*float64(r.task.ExpectedRunTime), float64(minProbe))
		}
		if now-r.startSentAt >= time.Duration(after) {
			r.listsRequested, found = true, true
		}
	}
	return found
}
