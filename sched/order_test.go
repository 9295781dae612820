package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// newBusyScenario returns a scenario with one slot, which is in use.
func newBusyScenario(t *testing.T) (*scenario, []sched.Start) {
	s := newScenario(t, sched.DefaultConfig())
	s.workers(0, 1, 1)
	s.submit(0, sched.Job{Key: 100})
	return s, s.takeStarts()
}

// Guards against starting jobs in the order of submission regardless of urgency.
func TestHigherUrgencyStartsFirst(t *testing.T) {
	s, running := newBusyScenario(t)
	s.submit(1*ms, sched.Job{Key: 1, Urgency: sched.Low})
	s.submit(2*ms, sched.Job{Key: 2, Urgency: sched.Normal})
	s.submit(3*ms, sched.Job{Key: 3, Urgency: sched.High})
	assert.DeepEqual(t, s.drain(3*ms, running), []sched.JobKey{3, 2, 1})
}

// Guards against a team that delays others by submitting many tasks. Teams get starts in
// proportion to their weights, here 1 and 3.
func TestTeamsShareByWeight(t *testing.T) {
	s, running := newBusyScenario(t)
	s.submit(1*ms, sched.Job{Key: 1, Team: "flood", Tasks: 12})
	s.submit(2*ms, sched.Job{Key: 2, Team: "heavy", Tasks: 6, Weight: 3})
	order := s.drain(2*ms, running)
	counts := map[sched.JobKey]int{}
	for _, k := range order[:8] {
		counts[k]++
	}
	assert.DeepEqual(t, counts, map[sched.JobKey]int{1: 2, 2: 6})
}

// Guards against starting the larger of two jobs of a team first, and against interrupting
// a started job for an equal one.
func TestLeastWorkFirst(t *testing.T) {
	s, running := newBusyScenario(t)
	s.submit(1*ms, sched.Job{Key: 1, Tasks: 5})
	s.submit(1*ms, sched.Job{Key: 2, Tasks: 2})
	s.submit(1*ms, sched.Job{Key: 3, Tasks: 2})
	order := s.drain(2*ms, running)
	assert.DeepEqual(t, order, []sched.JobKey{2, 2, 3, 3, 1, 1, 1, 1, 1})
}

// Guards against starving a large job by small ones that keep arriving. Its due time is
// fixed, while later jobs are due later.
func TestSmallJobsDoNotStarveLargeJob(t *testing.T) {
	s, running := newBusyScenario(t)
	s.submit(0, sched.Job{Key: 1, Tasks: 20})
	now, next := time.Duration(0), sched.JobKey(200)
	for range 60 {
		now += 100 * ms
		next++
		s.submit(now, sched.Job{Key: next})
		s.finish(now, running[0])
		running = s.takeStarts()
		if running[0].Job == 1 {
			return
		}
	}
	t.Fatal("the large job still waits after 60 small ones")
}

// Guards against a job of low urgency that misses its deadline because urgent jobs keep
// arriving. The scheduler promotes it at half of the time to its deadline.
func TestWaitingJobIsPromoted(t *testing.T) {
	s, running := newBusyScenario(t)
	s.submit(0, sched.Job{Key: 1, Urgency: sched.Low, Deadline: 4 * time.Second})
	now, next := time.Duration(0), sched.JobKey(200)
	for range 30 {
		now += 100 * ms
		next++
		s.submit(now, sched.Job{Key: next, Urgency: sched.High})
		s.finish(now, running[0])
		if running = s.takeStarts(); running[0].Job == 1 {
			assert.Equal(t, now, 2*time.Second)
			return
		}
	}
	t.Fatal("the job of low urgency was not started within half of its time")
}

// Guards against starting a job after its deadline when a freeze of the process ends and
// slots are free: the caller may have submitted the job again.
func TestNothingStartsAfterTheDeadline(t *testing.T) {
	s, _ := newBusyScenario(t)
	s.submit(1*ms, sched.Job{Key: 1, Deadline: time.Second})
	s.workers(2*time.Second, 2, 4)
	assert.Equal(t, len(s.takeStarts()), 0)
	assert.Equal(t, len(s.Ended), 1)
	assert.Equal(t, s.Ended[0].Failure.Reason, verdict.DeadlineExceeded)
	assert.Equal(t, s.Ended[0].Failure.Verdict, verdict.NotRun)
}

// Guards against starting a task on the slot of an aborted task before the worker has
// noticed the abort and freed the slot.
func TestAbortedTaskKeepsSlotForReleaseDelay(t *testing.T) {
	s, running := newBusyScenario(t)
	s.submit(1*ms, sched.Job{Key: 1})
	s.Cancel(10*ms, 100)
	s.takeStarts()
	assert.DeepEqual(t, s.Aborts, []sched.Abort{{Job: 100, Task: 0}})
	s.fail(11*ms, running[0], verdict.MayHaveRun, verdict.TaskTimeout)
	assert.Equal(t, len(s.takeStarts()), 0)
	s.Tick(40 * ms)
	assert.DeepEqual(t, jobsOf(s.takeStarts()), []sched.JobKey{1})
}
