package executor

import (
	"cmp"
	"math"
	"time"
)

const (
	// slowdownRuns is how many runs a worker's slowdown averages over; older ones count less.
	slowdownRuns = 8
	// minSlowdownRuns is how many runs it takes to know a worker's slowdown. Declared times are off
	// by half, so the mean is off by a quarter by then.
	minSlowdownRuns = 4
	// alikeTolerance is by how much, as a logarithm, a worker's slowdown may differ from the usual
	// one before the worker counts as slower or faster. A smaller difference is chance, or makes no
	// job late.
	alikeTolerance = 0.25
	// reportStep is by how much, as a logarithm, a slowdown has to change before the executor reports
	// the new value. A smaller step would change the reported value with each run.
	reportStep = 0.25
	// importMaxAge is the age up to which the executor imports a slowdown that another holder has
	// reported. Workers turn slow for seconds more often than for good.
	importMaxAge = 30 * time.Second
	// importPeriod is how long the executor looks for a reported slowdown of a new worker. Within
	// this time a process that has just started has received the reports of all others.
	importPeriod = 2 * time.Second
)

// slowdown is how long runs take compared with the declared time, as a mean of logarithms. A run of
// ten times its declared time thus counts as much as one of a tenth of it.
type slowdown struct {
	mean float64
	runs int
	// reported is the mean as reported to others, reportedRatio its exponential.
	reported, reportedRatio float64
	// outlier is the last job that stood out, until another run confirms or refutes that the worker
	// is slow.
	outlier outlier
	// importUntil is until when the executor looks for a slowdown reported by another holder; 0: it
	// has not looked yet.
	importUntil time.Duration
}

func (s *slowdown) observe(ratio float64) {
	s.runs++
	s.mean += (ratio - s.mean) / float64(min(s.runs, slowdownRuns))
	s.updateReported()
}

// set replaces the mean, and with it what the runs have shown.
func (s *slowdown) set(mean float64) {
	s.mean, s.runs, s.outlier = mean, minSlowdownRuns, outlier{}
	s.updateReported()
}

// updateReported makes the mean the reported value if it has changed by reportStep.
func (s *slowdown) updateReported() {
	if math.Abs(s.mean-s.reported) >= reportStep {
		s.reported = s.mean
		s.reportedRatio = math.Exp(s.reported)
	}
}

// known reports whether enough runs were observed for the mean to count.
func (s *slowdown) known() bool { return s.runs >= minSlowdownRuns }

// reportedSlowdown is actual over declared time as reported to others; 0: not known.
func (s *slowdown) reportedSlowdown() float64 {
	if !s.known() {
		return 0
	}
	return cmp.Or(s.reportedRatio, 1) // no change reported yet: as declared
}

// slowdownMean is the mean slowdown of an executor's workers. Each worker counts the same, however
// many runs it gets. Otherwise a slow worker would look more usual the more runs it gets.
type slowdownMean struct {
	sum   float64
	count int
}

func (m *slowdownMean) add(s slowdown) {
	if s.known() {
		m.sum += s.mean
		m.count++
	}
}

func (m *slowdownMean) remove(s slowdown) {
	if s.known() {
		m.sum -= s.mean
		m.count--
	}
}

// SetMedianSlowdowns sets, by service, the usual slowdown among the workers of all holders: how many
// times the declared time runs take on a usual worker. A holder whose workers are all slow cannot see
// that by comparing them with each other.
func (e *Executor) SetMedianSlowdowns(usual map[string]float64) {
	e.medianSlowdowns = make(map[string]float64, len(usual))
	for service, ratio := range usual {
		e.medianSlowdowns[service] = math.Log(ratio)
	}
}

// ImportSlowdowns takes over the slowdowns that other holders have reported, with their ages, for
// workers that are new here. A wrong one costs little: the executor probes the worker at once and
// judges it by its runs.
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

// usualFor returns the usual slowdown of a service's workers, as a logarithm.
func (e *Executor) usualFor(service string) float64 {
	if reported, ok := e.medianSlowdowns[service]; ok {
		return reported
	}
	if u := e.usual[service]; u.count > 0 {
		return u.sum / float64(u.count)
	}
	return 0
}

// updateSlowdown lets f change a worker's slowdown, and updates the mean of the service's workers.
func (e *Executor) updateSlowdown(w *worker, f func(sd *slowdown)) {
	u := e.usual[w.info.Service]
	u.remove(w.slowdown)
	f(&w.slowdown)
	u.add(w.slowdown)
	e.usual[w.info.Service] = u
}

func (e *Executor) setSlowdown(w *worker, mean float64) {
	e.updateSlowdown(w, func(sd *slowdown) { sd.set(mean) })
}

// forgetSlowdown drops what is known of a worker's slowdown when it leaves, restarts or changes its
// service.
func (e *Executor) forgetSlowdown(w *worker) {
	e.updateSlowdown(w, func(sd *slowdown) { *sd = slowdown{importUntil: sd.importUntil} })
}

// observeEndedRun evaluates the run time of a successful run that this executor started. It ignores
// a run that was under way when a poll got no answer: its completion is listed late, which shows
// nothing of the worker's speed.
func (e *Executor) observeEndedRun(now time.Duration, w *worker, r *run) {
	if w.lastMissedAt >= r.startSentAt {
		return
	}
	if r.measured {
		// The run's speed may have changed. Only the time since the last measurement counts.
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

// logRatio is actual over declared time, as a logarithm; ok is false if the run shows nothing.
func (r *run) logRatio(took time.Duration) (ratio float64, ok bool) {
	if r.task == nil || r.deadline == 0 || r.task.ExpectedRunTime <= 0 || took <= 0 {
		return 0, false
	}
	return math.Log(float64(took) / float64(r.task.ExpectedRunTime)), true
}

// slowness is how many times as long as usual the worker's runs take. It is 1 if that is not known,
// or if the difference is within alikeTolerance.
func (e *Executor) slowness(w *worker) float64 {
	if !w.slowdown.known() {
		return 1
	}
	if difference := w.slowdown.mean - e.usualFor(w.info.Service); math.Abs(difference) > alikeTolerance {
		return math.Exp(difference)
	}
	return 1
}
