package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// busy returns a scenario with one slot in use.
func newBusyScenario(t *testing.T) (*scenario, []sched.Start) {
	s := newScenario(t, sched.DefaultConfig())
	s.workers(0, 1, 1)
	s.submit(0, sched.Job{Key: 100})
	return s, s.takeStarts()
}

// Jobs of higher urgency go first, whatever the order of their coming.
func TestHigherUrgencyStartsFirst(t *testing.T) {
	s, running := newBusyScenario(t)
	s.submit(1*ms, sched.Job{Key: 1, Urgency: sched.Low})
	s.submit(2*ms, sched.Job{Key: 2, Urgency: sched.Normal})
	s.submit(3*ms, sched.Job{Key: 3, Urgency: sched.High})
	assert.DeepEqual(t, s.drain(3*ms, running), []sched.JobKey{3, 2, 1})
}

// One team floods the entry; another's single job waits for one task, not for the
// flood. A team of weight 3 gets three starts for one.
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

// Of two jobs of a team that came together the one with less to do goes first, and a
// job that has begun is not overtaken by an equal one.
func TestLeastWorkFirst(t *testing.T) {
	s, running := newBusyScenario(t)
	s.submit(1*ms, sched.Job{Key: 1, Tasks: 5})
	s.submit(1*ms, sched.Job{Key: 2, Tasks: 2})
	s.submit(1*ms, sched.Job{Key: 3, Tasks: 2})
	order := s.drain(2*ms, running)
	assert.DeepEqual(t, order, []sched.JobKey{2, 2, 3, 3, 1, 1, 1, 1, 1})
}

// Small jobs keep coming, one for each that ends. The large job that came first gets
// its turn: its due time stays while theirs move on.
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

// A job of low urgency waits while urgent ones keep coming. At half of the time to its
// deadline it goes before them, so what was admitted is finished in time.
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
	t.Fatal("the job of low urgency was not started in half of its time")
}

// The process was frozen past a job's deadline. The first event on waking brings free
// slots; the late job must not start: its caller may have submitted it again.
func TestNothingStartsAfterTheDeadline(t *testing.T) {
	s, _ := newBusyScenario(t)
	s.submit(1*ms, sched.Job{Key: 1, Deadline: time.Second})
	s.workers(2*time.Second, 2, 4)
	assert.Equal(t, len(s.takeStarts()), 0)
	assert.Equal(t, len(s.Ended), 1)
	assert.Equal(t, s.Ended[0].Failure.Reason, verdict.DeadlineExceeded)
	assert.Equal(t, s.Ended[0].Failure.Verdict, verdict.NotRun)
}

// A wave of cancellations: the caller of a running job leaves. Its slot stays busy for
// a moment after the call was broken off, since the worker notices a little later.
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
