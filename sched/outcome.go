package sched

// This file processes the outcomes of tasks: it updates the worker's health, retries refused
// tasks and ends jobs.

import (
	"container/heap"
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// retryBudget bounds retries to a fraction of the first starts. Without it, retries would
// be most of the traffic when workers refuse many tasks.
type retryBudget struct {
	tokens float64
}

// earn adds the retries that one first start allows.
func (b *retryBudget) earn(c Config) { b.tokens = min(b.tokens+c.RetryRatio, c.RetryBurst) }

// spend takes one retry from the budget and reports whether there was one left.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// HandleOutcome processes the outcome of a started task. It ignores a start that is not
// running.
func (s *Scheduler) HandleOutcome(now time.Duration, st Start, o Outcome) {
	key := runKey{st.Job, st.Task}
	r := s.runs[key]
	if r == nil || r.start != st {
		return
	}
	delete(s.runs, key)
	s.fireTimers(now)
	r.kind.running--
	w := r.grant.worker
	if o.Leaving {
		w.leaving = true
	}
	j := s.jobs[st.Job]
	s.updateHealth(now, r, j != nil, o.Failure)
	if j == nil && o.Failure != nil && o.Failure.Verdict == verdict.MayHaveRun && s.config.AbortReleaseDelay > 0 {
		s.setTimer(now+s.config.AbortReleaseDelay, func(now time.Duration) { s.releaseSlot(now, r.grant) })
	} else {
		s.releaseSlot(now, r.grant)
	}
	if j != nil {
		delete(j.running, st.Task)
		s.applyOutcome(now, j, r, o.Failure)
	}
	s.schedule(now)
}

// updateHealth updates the health of the worker with an outcome. A task that the
// scheduler aborted because its job had ended says nothing about the worker.
func (s *Scheduler) updateHealth(now time.Duration, r *run, jobActive bool, f *verdict.Failure) {
	w := r.grant.worker
	took := now - r.startedAt
	switch {
	case f == nil:
		s.recordSuccess(now, w, r.kind, took, r.tookLastSlot)
	case f.Verdict == verdict.NotRun:
		s.recordRefusal(now, w, f.Reason)
	case jobActive || f.Reason == verdict.TaskFailed:
		s.recordFailure(now, w, r.kind, took, f.Reason)
	}
}

// applyOutcome applies the outcome of a task to its job.
func (s *Scheduler) applyOutcome(now time.Duration, j *job, r *run, f *verdict.Failure) {
	task := r.start.Task
	switch {
	case f == nil:
		j.mayHaveRun = true
		j.completed++
		if j.completed == j.Tasks {
			s.endJob(j, nil)
		}
	case f.Verdict == verdict.NotRun && int(j.attempts[task]) < s.config.MaxAttempts:
		// Start the task again only with proof that the worker did not start it.
		s.retry(now, j, task)
	case f.Verdict == verdict.NotRun:
		s.failJob(j, verdict.Wrap(f, j.verdict(), verdict.RetriesExhausted, "no worker accepted task %d in %d attempts", task, j.attempts[task]))
	default:
		j.mayHaveRun = true
		s.failJob(j, f)
	}
}

// retry makes a refused task wait for another start, at once if the retry budget allows
// it, else after RetryDelay.
func (s *Scheduler) retry(now time.Duration, j *job, task int) {
	if s.budget.spend() {
		s.requeue(now, j, task)
		return
	}
	s.setTimer(now+s.config.RetryDelay, func(now time.Duration) {
		if s.jobs[j.Key] == j {
			s.requeue(now, j, task)
		}
	})
}

// requeue adds a task to the waiting tasks of its job.
func (s *Scheduler) requeue(now time.Duration, j *job, task int) {
	j.waiting = append(j.waiting, task)
	if j.queue == nil {
		s.enqueue(now, j)
		return
	}
	s.addWaiting(j, 1)
	j.dueAt = s.dueTime(j)
	heap.Fix(j.queue, j.heapIndex)
}

// failJob ends a job with a failure. It drops the waiting tasks, aborts the running ones
// and sets the verdict that covers all tasks of the job.
func (s *Scheduler) failJob(j *job, f *verdict.Failure) {
	jobFailure := *f
	jobFailure.Verdict = j.verdict()
	for task := range j.running {
		s.ready.Aborts = append(s.ready.Aborts, Abort{Job: j.Key, Task: task})
	}
	s.dequeue(j)
	j.waiting = nil
	s.endJob(j, &jobFailure)
}

// endJob removes a job and reports its end.
func (s *Scheduler) endJob(j *job, f *verdict.Failure) {
	delete(s.jobs, j.Key)
	s.stopTimer(j.timer)
	s.ready.Ended = append(s.ready.Ended, EndedJob{Job: j.Key, Failure: f})
}
