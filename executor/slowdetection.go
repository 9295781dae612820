package executor

import (
	"fmt"
	"math"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// turn is by how much, as a logarithm, a run's pace has to change while it runs to tell that
	// its worker's has: the error of what was declared is the same before and after.
	speedChangeThreshold = 0.7
	// jump is by how much, as a logarithm, a run has to differ from its worker's pace to stand
	// out: declared times are off by half, so one run in a hundred does by chance.
	outlierThreshold = 1.0
	// oddMemory is how long a job that stood out waits for another one that does, too.
	outlierMemory = 2 * time.Second
	// siblingWeight is the part of a job's own length that is taken off its run times in a worker's
	// mean. With all of it means would follow each other only, and nothing that was seen.
	stepWeight = 0.5
	// siblingMemory is how long the ratios of a step's tasks are kept.
	stepMemory = 3 * time.Second
	// windowShare is the part of its declared time after which a run's progress tells its pace,
	// minWindow the least time: lists show whole percents, and clocks whole milliseconds.
	windowShare = 0.25
	minWindow   = 25 * time.Millisecond
	// lookAfter is how many times its usual time a run may take before the worker's lists are
	// read beside the standing poll: most runs have ended by then, and cost nothing.
	extraPollFactor = 1.5
)

// Names of events of a worker's speed; all are in docs/OPERATIONS.md.
const (
	// EventSlow: the worker is known as slow.
	EventWorkerSlow = "worker_slow"
	// EventUsual: a worker that was slow is as usual again.
	EventWorkerUsual = "worker_usual"
	// EventProbe: a task is started on a slow worker to see whether it still is.
	EventWorkerProbed = "worker_probed"
	// EventSlowRun: a run on a slow worker is stopped, to begin again elsewhere in time.
	EventSlowRunStopped = "run_on_slow_worker"
)

// odd is a job whose run on a worker stood out, from a time on.
type outlier struct {
	job      string
	ratio    float64
	from, at time.Duration
}

// observation is what one run shows of its worker's pace from a time on: bounds of actual over
// declared time, as logarithms.
type observation struct {
	run       *run
	low, high float64
	from      time.Duration
	ended     bool
	// slower and faster are by how much the run's pace has changed at least since it was first seen.
	slowedBy, spedUpBy float64
}

// overlaps reports whether most of what was seen is of a time from which on another run stood out.
func (s *observation) overlaps(now time.Duration, o outlier) bool {
	return s.from+(now-s.from)/2 >= o.from
}

// stepKey names a step of a job.
type stepKey struct {
	job        string
	occurrence uint32
	step       uint32
}

func stepKeyOf(id task.ID) stepKey { return stepKey{id.Job, id.Occurrence, id.Step} }

// siblings are what a step's tasks have shown on this executor's workers.
type stepStats struct {
	// excess is by how much runs took longer than usual on each worker that isn't slow.
	excess    map[*worker]float64
	updatedAt time.Duration
	// long: other jobs ran as usual beside it, so it tells nothing of its workers.
	longByItself bool
}

// stepOf returns what is known of a task's step.
func (e *Executor) statsOf(now time.Duration, id task.ID) *stepStats {
	s := e.steps[stepKeyOf(id)]
	if s == nil {
		s = &stepStats{excess: make(map[*worker]float64)}
		e.steps[stepKeyOf(id)] = s
	}
	s.updatedAt = now
	return s
}

// factor is by how much the step's tasks take longer than usual on other workers; ok is false
// where none tells. It is the least of them, as another of the workers may have turned slow.
func (s *stepStats) excessElsewhere(w *worker) (least float64, ok bool) {
	for other, excess := range s.excess {
		if other != w && (!ok || excess < least) {
			least, ok = excess, true
		}
	}
	return least, ok
}

// forgetSteps drops steps that have shown nothing for siblingMemory.
func (e *Executor) forgetOldSteps(now time.Duration) {
	for k, s := range e.steps {
		if now-s.updatedAt > stepMemory {
			delete(e.steps, k)
		}
	}
}

// judgePace judges a worker by what a run shows. Declared times are off, by one error for all
// tasks of a job, and a few jobs take many times as long as declared wherever they run. So a
// worker counts as slow at once only by two jobs that stand out, or by one whose other tasks
// run as usual elsewhere; what stands out alone counts for no more than jump.
func (e *Executor) evaluateRun(now time.Duration, w *worker, s observation) {
	usual, step := e.usualFor(w.info.Service), e.statsOf(now, s.run.id)
	excess, compared := step.excessElsewhere(w)
	if e.slowness(w) <= 1 {
		step.excess[w] = s.low - usual
	}
	raw := s.low
	if compared {
		// The job's own length explains at most what there is to explain, and never adds to it:
		// means that rise by what is usual, which is their mean, would rise for ever.
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
		w.probeAt = max(w.probeAt, now+max(w.probeInterval, minProbeInterval)) // it has just been seen
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
			e.updateSlowdown(w, func(p *slowdown) { p.observe(max(min(raw, reference+outlierThreshold), reference-outlierThreshold)) })
		}
	}
}

func (e *Executor) markUsual(w *worker, s observation, mean float64) {
	e.setSlowdown(w, mean)
	w.probeAt, w.probeInterval = 0, 0
	e.emitEvent(EventWorkerUsual, w, s.run, fmt.Sprintf("ratio=%.2f", math.Exp(mean)))
}

// refute drops a suspicion when a run of another job was as usual meanwhile: then it was the job.
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

// standsOut takes a run that takes far longer than its worker's usually do.
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
			e.updateSlowdown(w, func(p *slowdown) { p.observe(reference + outlierThreshold) })
		}
	}
}

func (e *Executor) markSlow(now time.Duration, w *worker, s observation, mean float64) {
	e.setSlowdown(w, mean)
	w.probeInterval = minProbeInterval
	w.probeAt = now + w.probeInterval
	e.emitEvent(EventWorkerSlow, w, s.run, fmt.Sprintf("ratio=%.2f usual=%.2f ended=%t", math.Exp(mean), math.Exp(e.usualFor(w.info.Service)), s.ended))
}

// watch judges a worker by the progress that a list made at the given clock shows.
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

// progress tells the pace of a run since it was last told. Runs that may go on from a
// checkpoint tell nothing.
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

// window tells the pace of a run over a time in which it has come to a percentage.
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

// unseen reports whether a run is so much beyond its time, or its worker's, that the worker's
// lists are to be read.
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
