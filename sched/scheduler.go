package sched

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// Scheduler is the state machine of one entry; see the package comment.
type Scheduler struct {
	config  Config
	workers map[string]*worker
	// list holds the workers in the order of SetWorkers.
	list []*worker
	jobs map[JobKey]*job
	// runs holds every started task, also those whose job has ended: they keep their
	// slots until Done.
	runs  map[runKey]*run
	queue []*job
	kinds map[string]*kind
	ready Ready
}

// New returns a scheduler without workers.
func New(c Config) *Scheduler {
	return &Scheduler{
		config:  c,
		workers: make(map[string]*worker),
		jobs:    make(map[JobKey]*job),
		runs:    make(map[runKey]*run),
		kinds:   make(map[string]*kind),
	}
}

// SetWorkers replaces the list of workers and this entry's shares. Tasks running on
// a worker that is no longer listed go on.
func (s *Scheduler) SetWorkers(now time.Duration, list []Worker) {
	old := s.workers
	s.workers = make(map[string]*worker, len(list))
	s.list = s.list[:0]
	for _, w := range list {
		n := &worker{Worker: w}
		if o := old[w.Address]; o != nil {
			o.Worker = w
			n = o
			delete(old, w.Address)
		}
		s.workers[w.Address] = n
		s.list = append(s.list, n)
	}
	for _, o := range old {
		o.gone = true
	}
	s.schedule(now)
}

// SetLeaving marks a worker that is leaving: it gets no new task.
func (s *Scheduler) SetLeaving(address string) {
	if w := s.workers[address]; w != nil {
		w.leaving = true
	}
}

// Submit admits a job, or refuses it with a NotRun failure.
func (s *Scheduler) Submit(now time.Duration, j Job) *verdict.Failure {
	if refusal := s.admit(now, j); refusal != nil {
		return refusal
	}
	n := newJob(j)
	s.jobs[j.Key] = n
	s.enqueue(n)
	s.schedule(now)
	return nil
}

// admit refuses a job that can't run in time, at once and whole.
func (s *Scheduler) admit(now time.Duration, j Job) *verdict.Failure {
	fit, usable := 0, 0
	for _, w := range s.list {
		if !j.mayRunIn(w.Domain) || !j.Needs.Fits(w.Resources) {
			continue
		}
		fit++
		if w.usable() && w.Slots > 0 {
			usable++
		}
	}
	if fit == 0 && len(s.list) > 0 {
		return verdict.New(verdict.NotRun, verdict.CannotRun, "no worker fits what kind %q needs and where it may run", j.Kind)
	}
	if usable == 0 {
		return verdict.New(verdict.NotRun, verdict.NoWorkers, "no worker is available now").After(time.Second)
	}
	if now >= j.Deadline {
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline has passed")
	}
	return nil
}

// enqueue puts a job behind those of its urgency.
func (s *Scheduler) enqueue(j *job) {
	at := len(s.queue)
	for at > 0 && s.queue[at-1].Urgency < j.Urgency {
		at--
	}
	s.queue = slices.Insert(s.queue, at, j)
}

// schedule starts waiting tasks on free slots, job after job.
func (s *Scheduler) schedule(now time.Duration) {
	for i := 0; i < len(s.queue); i++ {
		j := s.queue[i]
		for len(j.waiting) > 0 && s.kind(j.Kind).room() {
			w := s.pick(now, j)
			if w == nil {
				break
			}
			s.start(now, j, w)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return len(j.waiting) == 0 })
}

// pick returns the worker with the most free slots for a task of the job.
func (s *Scheduler) pick(now time.Duration, j *job) *worker {
	var best *worker
	most := 0
	for _, w := range s.list {
		if !j.mayRunIn(w.Domain) || !j.Needs.Fits(w.Resources) {
			continue
		}
		if f := w.free(now); f > most {
			best, most = w, f
		}
	}
	return best
}

// start moves a job's next task to a worker.
func (s *Scheduler) start(now time.Duration, j *job, w *worker) {
	// An entry that was frozen must not start what is already too late: the caller
	// has given up and may have submitted it again.
	if now >= j.Deadline {
		s.fail(j, verdict.New(j.verdict(), verdict.DeadlineExceeded, "the deadline passed before every task was started"))
		return
	}
	task := j.waiting[len(j.waiting)-1]
	j.waiting = j.waiting[:len(j.waiting)-1]
	j.attempts[task]++
	st := Start{Job: j.Key, Task: task, Worker: w.Address, Attempt: int(j.attempts[task])}
	r := &run{start: st, worker: w, kind: s.kind(j.Kind), started: now}
	s.runs[runKey{j.Key, task}] = r
	j.running[task] = r
	w.running++
	r.kind.running++
	s.ready.Starts = append(s.ready.Starts, st)
}

// Done takes in how a started task ended.
func (s *Scheduler) Done(now time.Duration, st Start, o Outcome) {
	key := runKey{st.Job, st.Task}
	r := s.runs[key]
	if r == nil || r.start != st {
		return
	}
	delete(s.runs, key)
	r.worker.running--
	r.kind.running--
	if o.Leaving {
		r.worker.leaving = true
	}
	if j := s.jobs[st.Job]; j != nil {
		delete(j.running, st.Task)
		s.settle(now, j, r, o)
	}
	s.schedule(now)
}

// settle decides what a task's outcome means for its job.
func (s *Scheduler) settle(now time.Duration, j *job, r *run, o Outcome) {
	task := r.start.Task
	switch f := o.Failure; {
	case f == nil:
		j.ran = true
		j.done++
		if j.done == j.Tasks {
			s.end(j, nil)
		}
	case f.Verdict == verdict.NotRun && int(j.attempts[task]) < s.config.MaxAttempts:
		// Only a proof that the worker did not start the task allows another start.
		r.worker.pausedUntil = now + s.config.RefusalPause
		j.waiting = append(j.waiting, task)
		if !slices.Contains(s.queue, j) {
			s.enqueue(j)
		}
	case f.Verdict == verdict.NotRun:
		s.fail(j, verdict.Wrap(f, j.verdict(), verdict.RetriesExhausted, "no worker accepted task %d", task))
	default:
		j.ran = true
		s.fail(j, f)
	}
}

// Cancel ends a job for its caller.
func (s *Scheduler) Cancel(now time.Duration, key JobKey) {
	if j := s.jobs[key]; j != nil {
		s.fail(j, verdict.New(j.verdict(), verdict.Canceled, "canceled by the caller"))
		s.schedule(now)
	}
}

// fail ends a job with a failure whose verdict covers all of its tasks, drops what
// waits and aborts what runs.
func (s *Scheduler) fail(j *job, f *verdict.Failure) {
	whole := *f
	whole.Verdict = j.verdict()
	for task := range j.running {
		s.ready.Aborts = append(s.ready.Aborts, Abort{Job: j.Key, Task: task})
	}
	j.waiting = nil
	s.end(j, &whole)
}

// end ends a job.
func (s *Scheduler) end(j *job, f *verdict.Failure) {
	delete(s.jobs, j.Key)
	s.ready.Ended = append(s.ready.Ended, Ended{Job: j.Key, Failure: f})
}

// Tick fails the jobs whose deadline has passed and starts what can start.
func (s *Scheduler) Tick(now time.Duration) {
	for _, j := range s.jobs {
		if now >= j.Deadline {
			s.fail(j, verdict.New(j.verdict(), verdict.DeadlineExceeded, "the deadline passed"))
		}
	}
	s.schedule(now)
}

// Ready returns the commands decided since the last call.
func (s *Scheduler) Ready() Ready {
	r := s.ready
	s.ready = Ready{}
	return r
}

// Load is the scheduler's load.
type Load struct {
	Jobs    int
	Running int
	Waiting int
	Slots   int
	Free    int
}

// Load returns the current load.
func (s *Scheduler) Load(now time.Duration) Load {
	l := Load{Jobs: len(s.jobs)}
	for _, j := range s.jobs {
		l.Running += len(j.running)
		l.Waiting += len(j.waiting)
	}
	for _, w := range s.list {
		l.Slots += w.Slots
		l.Free += w.free(now)
	}
	return l
}
