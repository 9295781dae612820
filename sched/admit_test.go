package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// Guards against admitting a job that would wait for more than half of its time, and
// against a Retry-After after which the job is refused again. Two slots and tasks of
// 100 ms make 20 tasks per second.
func TestOverloadRetryAfterAdmitsLaterJob(t *testing.T) {
	s := newScenario(t, sched.DefaultConfig())
	s.workers(0, 2, 1)
	s.submit(0, sched.Job{Key: 1, Tasks: 60, Deadline: 20 * time.Second})
	running := s.takeStarts()
	refusal := s.expectRefusal(0, sched.Job{Key: 2, Tasks: 20, Deadline: 4 * time.Second}, verdict.Overloaded)

	now := time.Duration(0)
	for now < refusal.RetryAfter {
		now += 100 * ms
		s.finish(now, running...)
		running = s.takeStarts()
	}
	s.submit(now, sched.Job{Key: 3, Tasks: 20, Deadline: now + 4*time.Second})
	assert.Assert(t, refusal.RetryAfter > time.Second && refusal.RetryAfter < 3*time.Second, refusal.RetryAfter)
}

// Guards against admitting jobs that then miss their deadlines, and against refusing so
// many that slots stay idle. The load is 120% of the slots for a minute.
func TestAdmittedJobsMeetTheirDeadlines(t *testing.T) {
	s := newScenario(t, sched.DefaultConfig())
	s.workers(0, 10, 2)
	busyUntil := make(map[sched.Start]time.Duration)
	admitted, complete, refused := 0, 0, 0
	for now := time.Duration(0); now < 70*time.Second; now += 10 * ms {
		for st, until := range busyUntil {
			if now >= until {
				delete(busyUntil, st)
				s.finish(now, st)
			}
		}
		if now < 60*time.Second && now%(250*ms) == 0 { // 60 tasks of 100 ms for 20 slots in 250 ms
			j := sched.Job{Key: sched.JobKey(now/ms) + 1, Tasks: 60, Urgency: sched.Urgency(now / (250 * ms) % 3), Deadline: now + 3*time.Second}
			if f := s.Submit(now, withDefaults(now, j)); f != nil {
				assert.Equal(t, f.Reason, verdict.Overloaded)
				refused++
			} else {
				admitted++
			}
		}
		s.Tick(now)
		for _, st := range s.takeStarts() {
			busyUntil[st] = now + 100*ms
		}
		for _, e := range s.Ended {
			assert.Assert(t, e.Failure == nil, "%s: %v", now, e.Failure)
			complete++
		}
	}
	assert.Equal(t, complete, admitted)
	assert.Assert(t, refused > 20 && admitted > 180, "%d admitted, %d refused", admitted, refused)
}

// Guards against refusing jobs because of a declared run time that is far too long: the
// declaration is only a hint, and observed run times replace it.
func TestObservedRunTimesReplaceDeclaredOnes(t *testing.T) {
	s := newScenario(t, sched.DefaultConfig())
	s.workers(0, 2, 1)
	long := sched.Job{Key: 1, Tasks: 1, RunTime: 5 * time.Second, Deadline: 2 * time.Second}
	s.submit(0, long)
	now := time.Duration(0)
	for i := range 30 {
		s.finish(now+100*ms, s.takeStarts()...)
		now += 100 * ms
		s.submit(now, sched.Job{Key: sched.JobKey(i + 2), RunTime: 5 * time.Second})
	}
	assert.Assert(t, s.ExpectedRunTime("quote") < 300*ms, s.ExpectedRunTime("quote"))
	s.submit(now, sched.Job{Key: 50, Tasks: 10, RunTime: 5 * time.Second, Deadline: now + 2*time.Second})
	s.expectRefusal(now, sched.Job{Key: 51, Deadline: now + 50*ms}, verdict.DeadlineTooShort)
}

// Guards against admitting a job that no worker can ever run, and against refusing a job
// for another failure domain although a peer there can lend slots.
func TestJobForOtherDomainNeedsPeer(t *testing.T) {
	s := newScenario(t, sched.DefaultConfig())
	s.SetWorkers(0, []sched.Worker{
		{Address: address(0), Domain: "a", Slots: 2, Resources: sched.Resources{CPUs: 16}},
		{Address: address(1), Domain: "b", Resources: sched.Resources{CPUs: 64}},
	})
	s.expectRefusal(0, sched.Job{Key: 1, Needs: sched.Resources{CPUs: 128}}, verdict.CannotRun)
	s.expectRefusal(0, sched.Job{Key: 2, Domains: []string{"b"}}, verdict.NoWorkers)
	s.SetPeers(0, []sched.Peer{{Address: "10.0.1.2:7403", Domain: "b"}})
	s.submit(0, sched.Job{Key: 3, Domains: []string{"b"}})
	assert.Equal(t, len(s.takeStarts()), 0)
}

// Guards against admitting a job of many tasks that needs time for its longest task. One
// task in 25 takes 3 s instead of 100 ms, so a job of 10 tasks is refused, while a job of
// one task is admitted behind the same backlog.
func TestLargeJobAdmissionUsesLongestTask(t *testing.T) {
	s := newScenario(t, sched.DefaultConfig())
	s.workers(0, 2, 1)
	now := time.Duration(0)
	for i := range 200 {
		s.submit(now, sched.Job{Key: sched.JobKey(i + 1)})
		run := 100 * ms
		if i%25 == 24 {
			run = 3 * time.Second
		}
		now += run
		s.finish(now, s.takeStarts()...)
	}
	s.submit(now, sched.Job{Key: 1001, Tasks: 24})
	s.expectRefusal(now, sched.Job{Key: 1002, Tasks: 10, Deadline: now + 10*time.Second}, verdict.Overloaded)
	s.submit(now, sched.Job{Key: 1003, Tasks: 1, Deadline: now + 10*time.Second})
}
