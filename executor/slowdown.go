package executor

import (
	"cmp"
	"math"
	"time"
)

const (
	// speedRuns is how many runs a worker's speed is the mean of, older ones counting less.
	slowdownRuns = 8
	// knownAfter is how many runs tell a worker's speed: of declared times that are off by half
	// the mean is off by a quarter by then.
	minSlowdownRuns = 4
	// alike is by how much, as a logarithm, a worker's run times may differ from what is usual
	// before it counts as slower or faster: less is chance, or makes no job late.
	alikeTolerance = 0.25
	// toldStep is by how much, as a logarithm, a pace has to change before others are told
	// anew: with less they would be with each run.
	reportStep = 0.25
	// inheritWithin is the age up to which a pace that another holder has told is taken over:
	// workers turn slow for seconds more often than for good.
	importMaxAge = 30 * time.Second
	// inheritFor is how long a new worker's pace is asked for: a process that has just started has
	// heard all others by then.
	importPeriod = 2 * time.Second
)

// pace is how long runs take compared with what was declared, as a mean of logarithms: one
// task that takes ten times as long as declared then counts as much as one that takes a tenth.
type slowdown struct {
	mean float64
	runs int
	// told is the mean as others are told of it, toldRatio its exponential.
	reported, reportedRatio float64
	// odd is the last job that stood out, while nothing confirms or refutes it.
	outlier outlier
	// askUntil is until when others are asked for what they were told of the worker; 0: not yet.
	importUntil time.Duration
}

func (p *slowdown) observe(ratio float64) {
	p.runs++
	p.mean += (ratio - p.mean) / float64(min(p.runs, slowdownRuns))
	p.updateReported()
}

// set replaces what is known.
func (p *slowdown) set(mean float64) {
	p.mean, p.runs, p.outlier = mean, minSlowdownRuns, outlier{}
	p.updateReported()
}

func (p *slowdown) updateReported() {
	if math.Abs(p.mean-p.reported) >= reportStep {
		p.reported = p.mean
		p.reportedRatio = math.Exp(p.reported)
	}
}

func (p *slowdown) known() bool { return p.runs >= minSlowdownRuns }

// ratio is actual over declared time as it is told; 0: not known.
func (p *slowdown) reportedSlowdown() float64 {
	if !p.known() {
		return 0
	}
	return cmp.Or(p.reportedRatio, 1) // nothing to tell yet: as declared
}

// usualPace is the mean of the paces of an executor's workers, each counting the same however
// many runs it gets: otherwise slow workers would look the more usual the more they are given.
type slowdownMean struct {
	sum   float64
	count int
}

func (u *slowdownMean) add(p slowdown) {
	if p.known() {
		u.sum += p.mean
		u.count++
	}
}

func (u *slowdownMean) remove(p slowdown) {
	if p.known() {
		u.sum -= p.mean
		u.count--
	}
}

// SetMedianSlowdowns tells, by service, how many times as long as declared runs take on a usual worker
// of all holders'. A holder all of whose workers are slow can't see it by comparing them.
func (e *Executor) SetMedianSlowdowns(usual map[string]float64) {
	e.medianSlowdowns = make(map[string]float64, len(usual))
	for service, ratio := range usual {
		e.medianSlowdowns[service] = math.Log(ratio)
	}
}

// ImportSlowdowns takes over what other holders have told of workers that are new here, and how long
// ago. What is wrong costs little: the worker is tried at once, and judged by what it does.
func (e *Executor) ImportSlowdowns(now time.Duration, reported func(worker string) (ratio float64, age time.Duration)) {
	for _, w := range e.order {
		if w.slowdown.importUntil == 0 {
			w.slowdown.importUntil = now + importPeriod
		}
		if w.slowdown.runs > 0 || now > w.slowdown.importUntil {
			continue
		}
		if ratio, age := reported(w.info.ID); ratio > 0 && age <= importMaxAge {
			e.setSlowdown(w, math.Log(ratio))
		}
	}
}

// usualFor is the usual pace of a service's workers.
func (e *Executor) usualFor(service string) float64 {
	if reported, ok := e.medianSlowdowns[service]; ok {
		return reported
	}
	if u := e.usual[service]; u.count > 0 {
		return u.sum / float64(u.count)
	}
	return 0
}

// changePace lets f change a worker's pace and keeps the mean of all in step.
func (e *Executor) updateSlowdown(w *worker, f func(p *slowdown)) {
	u := e.usual[w.info.Service]
	u.remove(w.slowdown)
	f(&w.slowdown)
	u.add(w.slowdown)
	e.usual[w.info.Service] = u
}

func (e *Executor) setSlowdown(w *worker, mean float64) {
	e.updateSlowdown(w, func(p *slowdown) { p.set(mean) })
}

// forgetPace drops what is known of a worker that leaves.
func (e *Executor) forgetSlowdown(w *worker) {
	e.updateSlowdown(w, func(p *slowdown) { *p = slowdown{importUntil: p.importUntil} })
}

// ran notes how long a run took that this executor started and that ended well.
// What ended while polls got no answers is listed late, which says nothing of the worker's pace.
func (e *Executor) observeEndedRun(now time.Duration, w *worker, r *run) {
	if w.lastMissedAt >= r.startSentAt {
		return
	}
	if r.measured {
		// It may have run at two paces; the last one counts.
		if s, ok := r.measureWindow(now, now-r.lastMeasuredAt, 100); ok {
			s.ended = true
			e.evaluateRun(now, w, s)
		}
		return
	}
	if ratio, ok := r.logRatio(now - r.startSentAt); ok {
		e.evaluateRun(now, w, observation{run: r, low: ratio, high: ratio, from: r.startSentAt, ended: true})
	}
}

// ratio is actual over declared time, as a logarithm; ok is false where a run tells nothing.
func (r *run) logRatio(took time.Duration) (ratio float64, ok bool) {
	if r.task == nil || r.deadline == 0 || r.task.ExpectedRunTime <= 0 || took <= 0 {
		return 0, false
	}
	return math.Log(float64(took) / float64(r.task.ExpectedRunTime)), true
}

// slowness is how many times as long as usual the worker's runs take; 1 where that isn't
// known, or doesn't stand out.
func (e *Executor) slowness(w *worker) float64 {
	if !w.slowdown.known() {
		return 1
	}
	if difference := w.slowdown.mean - e.usualFor(w.info.Service); math.Abs(difference) > alikeTolerance {
		return math.Exp(difference)
	}
	return 1
}
