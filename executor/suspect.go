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
	turn = 0.7
	// jump is by how much, as a logarithm, a run has to differ from its worker's pace to stand
	// out: declared times are off by half, so one run in a hundred does by chance.
	jump = 1.0
	// oddMemory is how long a job that stood out waits for another one that does, too.
	oddMemory = 2 * time.Second
	// siblingWeight is the part of a job's own length that is taken off its run times in a worker's
	// mean. With all of it means would follow each other only, and nothing that was seen.
	siblingWeight = 0.5
	// siblingMemory is how long the ratios of a step's tasks are kept.
	siblingMemory = 3 * time.Second
	// windowShare is the part of its declared time after which a run's progress tells its pace,
	// minWindow the least time: lists show whole percents, and clocks whole milliseconds.
	windowShare = 0.25
	minWindow   = 25 * time.Millisecond
	// lookAfter is how many times its usual time a run may take before the worker's lists are
	// read beside the standing poll: most runs have ended by then, and cost nothing.
	lookAfter = 1.5
)

// Names of events of a worker's speed; all are in docs/OPERATIONS.md.
const (
	// EventSlow: the worker is known as slow.
	EventSlow = "worker_slow"
	// EventUsual: a worker that was slow is as usual again.
	EventUsual = "worker_usual"
	// EventProbe: a task is started on a slow worker to see whether it still is.
	EventProbe = "worker_probed"
	// EventSlowRun: a run on a slow worker is stopped, to begin again elsewhere in time.
	EventSlowRun = "run_on_slow_worker"
)

// odd is a job whose run on a worker stood out, from a time on.
type odd struct {
	job      string
	ratio    float64
	from, at time.Duration
}

// observation is what one run shows of its worker's pace from a time on: bounds of actual over
// declared time, as logarithms.
type observation struct {
	run         *run
	least, most float64
	from        time.Duration
	ended       bool
	// slower and faster are by how much the run's pace has changed at least since it was first seen.
	slower, faster float64
}

// overlaps reports whether most of what was seen is of a time from which on another run stood out.
func (s *observation) overlaps(now time.Duration, o odd) bool { return s.from+(now-s.from)/2 >= o.from }

// stepKey names a step of a job.
type stepKey struct {
	job        string
	occurrence uint32
	step       uint32
}

func keyOf(id task.ID) stepKey { return stepKey{id.Job, id.Occurrence, id.Step} }

// siblings are what a step's tasks have shown on this executor's workers.
type siblings struct {
	// excess is by how much runs took longer than usual on each worker that isn't slow.
	excess map[*worker]float64
	at     time.Duration
	// long: other jobs ran as usual beside it, so it tells nothing of its workers.
	long bool
}

// stepOf returns what is known of a task's step.
func (e *Executor) stepOf(now time.Duration, id task.ID) *siblings {
	s := e.steps[keyOf(id)]
	if s == nil {
		s = &siblings{excess: make(map[*worker]float64)}
		e.steps[keyOf(id)] = s
	}
	s.at = now
	return s
}

// factor is by how much the step's tasks take longer than usual on other workers; ok is false
// where none tells. It is the least of them, as another of the workers may have turned slow.
func (s *siblings) factor(w *worker) (least float64, ok bool) {
	for other, excess := range s.excess {
		if other != w && (!ok || excess < least) {
			least, ok = excess, true
		}
	}
	return least, ok
}

// forgetSteps drops steps that have shown nothing for siblingMemory.
func (e *Executor) forgetSteps(now time.Duration) {
	for k, s := range e.steps {
		if now-s.at > siblingMemory {
			delete(e.steps, k)
		}
	}
}

// judgePace judges a worker by what a run shows. Declared times are off, by one error for all
// tasks of a job, and a few jobs take many times as long as declared wherever they run. So a
// worker counts as slow at once only by two jobs that stand out, or by one whose other tasks
// run as usual elsewhere; what stands out alone counts for no more than jump.
func (e *Executor) judgePace(now time.Duration, w *worker, s observation) {
	usual, step := e.usualFor(w.info.Service), e.stepOf(now, s.run.id)
	factor, compared := step.factor(w)
	if e.slowness(w) <= 1 {
		step.excess[w] = s.least - usual
	}
	raw := s.least
	if compared {
		// The job's own length explains at most what there is to explain, and never adds to it:
		// means that rise by what is usual, which is their mean, would rise for ever.
		explained := min(max(factor, 0), max(s.least-usual, 0))
		s.least, s.most = s.least-explained, s.most-explained
		raw -= siblingWeight * explained
	}
	reference := usual
	if w.pace.known() {
		reference = w.pace.mean
	}
	slow := w.pace.known() && reference-usual > alike
	if slow {
		w.probeAt = max(w.probeAt, now+max(w.probePause, probePause)) // it has just been seen
	}
	switch {
	case s.slower > turn:
		if !slow {
			e.slow(now, w, s, usual+s.slower)
		}
	case slow && s.faster > turn:
		e.asUsual(w, s, max(reference-s.faster, usual))
	case s.least-reference > jump:
		e.standsOut(now, w, s, reference, compared && factor < alike)
	case slow && reference-s.most > jump:
		e.asUsual(w, s, max(s.most, usual))
	default:
		if s.most-reference < jump/2 {
			e.refute(now, w, s)
		}
		if s.ended {
			e.changePace(w, func(p *pace) { p.observe(max(min(raw, reference+jump), reference-jump)) })
		}
	}
}

func (e *Executor) asUsual(w *worker, s observation, mean float64) {
	e.setPace(w, mean)
	w.probeAt, w.probePause = 0, 0
	e.event(EventUsual, w, s.run, fmt.Sprintf("ratio=%.2f", math.Exp(mean)))
}

// refute drops a suspicion when a run of another job was as usual meanwhile: then it was the job.
func (e *Executor) refute(now time.Duration, w *worker, s observation) {
	o := w.pace.odd
	if o.job == "" || o.job != s.run.id.Job && !s.overlaps(now, o) {
		return
	}
	w.pace.odd = odd{}
	if o.job == s.run.id.Job {
		return
	}
	for _, r := range w.runs {
		if r.id.Job == o.job {
			e.stepOf(now, r.id).long = true
		}
	}
}

// standsOut takes a run that takes far longer than its worker's usually do.
func (e *Executor) standsOut(now time.Duration, w *worker, s observation, reference float64, compared bool) {
	job, o := s.run.id.Job, w.pace.odd
	switch {
	case e.stepOf(now, s.run.id).long:
	case compared:
		e.slow(now, w, s, s.least)
	case o.job != "" && o.job != job && now-o.at <= oddMemory:
		e.slow(now, w, s, (s.least+o.ratio)/2)
	default:
		if o.job != job {
			w.pace.odd = odd{job: job, from: s.from}
		}
		w.pace.odd.ratio, w.pace.odd.at = s.least, now
		if s.ended {
			e.changePace(w, func(p *pace) { p.observe(reference + jump) })
		}
	}
}

func (e *Executor) slow(now time.Duration, w *worker, s observation, mean float64) {
	e.setPace(w, mean)
	w.probePause = probePause
	w.probeAt = now + w.probePause
	e.event(EventSlow, w, s.run, fmt.Sprintf("ratio=%.2f usual=%.2f ended=%t", math.Exp(mean), math.Exp(e.usualFor(w.info.Service)), s.ended))
}

// watch judges a worker by the progress that a list made at the given clock shows.
func (e *Executor) watch(now time.Duration, w *worker, clockMS int64) {
	for _, r := range w.sorted() {
		if s, ok := r.progress(now, clockMS); ok {
			e.judgePace(now, w, s)
		}
	}
	if len(w.runs) == 0 {
		return
	}
	e.restartLate(now, w)
}

// progress tells the pace of a run since it was last told. Runs that may go on from a
// checkpoint tell nothing.
func (r *run) progress(now time.Duration, clockMS int64) (observation, bool) {
	if r.state != running || r.task == nil || r.deadline == 0 || r.task.Durable || r.since == 0 {
		return observation{}, false
	}
	if r.markedAt == 0 {
		r.markedAt = r.since
	}
	s, ok := r.window(now, time.Duration(clockMS-r.markedAt)*time.Millisecond, r.percent)
	if ok {
		r.markedAt, r.lastMark, r.marked = clockMS, now, r.percent
	}
	return s, ok
}

// window tells the pace of a run over a time in which it has come to a percentage.
func (r *run) window(now, window time.Duration, percent int) (observation, bool) {
	ratio, ok := r.ratio(window)
	if !ok || window < max(minWindow, time.Duration(windowShare*float64(r.task.ExpectedRunTime))) {
		return observation{}, false
	}
	grown := float64(percent-r.marked) / 100
	s := observation{run: r, from: now - window, least: ratio - math.Log(grown+0.01), most: ratio - math.Log(max(grown-0.01, 0.001))}
	if !r.seen {
		r.seen, r.first = true, [2]float64{s.least, s.most}
	}
	s.slower, s.faster = s.least-r.first[1], r.first[0]-s.most
	return s, true
}

// unseen reports whether a run is so much beyond its time, or its worker's, that the worker's
// lists are to be read.
func (e *Executor) unseen(now time.Duration, w *worker) bool {
	found := false
	for _, r := range w.runs {
		if r.looked || r.seen || r.state != running || r.task == nil {
			continue
		}
		after := lookAfter * math.Exp(e.usualFor(w.info.Service)) * float64(r.task.ExpectedRunTime)
		if r.probe {
			after = max(windowShare*float64(r.task.ExpectedRunTime), float64(minProbe))
		}
		if now-r.began >= time.Duration(after) {
			r.looked, found = true, true
		}
	}
	return found
}
