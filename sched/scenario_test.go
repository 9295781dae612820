package sched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	ms     = time.Millisecond
	minute = time.Minute
)

// scenario runs one scheduler step by step.
type scenario struct {
	*sched.Scheduler
	t *testing.T
	// Ready holds the commands that the latest takeStarts took.
	sched.Ready
}

func newScenario(t *testing.T, c sched.Config) *scenario {
	return &scenario{Scheduler: sched.New(c), t: t}
}

// workers sets count workers in domain a, each with a share of slots.
func (s *scenario) workers(now time.Duration, count, slots int) {
	var list []sched.Worker
	for i := range count {
		list = append(list, sched.Worker{Address: address(i), Domain: "a", Slots: slots, Total: slots})
	}
	s.SetWorkers(now, list)
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }

// submit submits a job and fails the test unless it is admitted.
func (s *scenario) submit(now time.Duration, j sched.Job) {
	s.t.Helper()
	if f := s.Submit(now, withDefaults(now, j)); f != nil {
		s.t.Fatalf("job %d: %v", j.Key, f)
	}
}

// expectRefusal submits a job and fails the test unless it is refused with the reason.
func (s *scenario) expectRefusal(now time.Duration, j sched.Job, r verdict.Reason) *verdict.Failure {
	s.t.Helper()
	f := s.Submit(now, withDefaults(now, j))
	assert.Assert(s.t, f != nil, "job %d was admitted", j.Key)
	assert.Equal(s.t, f.Reason, r, "%v", f)
	assert.Equal(s.t, f.Verdict, verdict.NotRun)
	return f
}

// withDefaults sets a kind, one task, a deadline in a minute and 100 ms run time where
// the job has none.
func withDefaults(now time.Duration, j sched.Job) sched.Job {
	if j.Kind == "" {
		j.Kind = "quote"
	}
	if j.Deadline == 0 {
		j.Deadline = now + minute
	}
	if j.RunTime == 0 {
		j.RunTime = 100 * ms
	}
	j.Tasks = max(j.Tasks, 1)
	return j
}

// takeStarts takes the commands of the scheduler and returns the starts.
func (s *scenario) takeStarts() []sched.Start {
	s.Ready = s.Scheduler.Ready()
	return s.Starts
}

// finish ends starts successfully.
func (s *scenario) finish(now time.Duration, starts ...sched.Start) {
	for _, st := range starts {
		s.HandleOutcome(now, st, sched.Outcome{})
	}
}

// fail ends a start with a failure.
func (s *scenario) fail(now time.Duration, st sched.Start, v verdict.Verdict, r verdict.Reason) {
	s.HandleOutcome(now, st, sched.Outcome{Failure: verdict.New(v, r, "test")})
}

// jobsOf returns the jobs of the starts, in order.
func jobsOf(starts []sched.Start) []sched.JobKey {
	var keys []sched.JobKey
	for _, st := range starts {
		keys = append(keys, st.Job)
	}
	return keys
}

// drain runs all waiting tasks, one at a time, and returns the order of their jobs.
func (s *scenario) drain(now time.Duration, running []sched.Start) []sched.JobKey {
	var order []sched.JobKey
	for len(running) > 0 {
		now += 100 * ms
		s.finish(now, running[0])
		more := s.takeStarts()
		order = append(order, jobsOf(more)...)
		running = append(running[1:], more...)
	}
	return order
}
