package sched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// workerFleet runs jobs of one task on workers of which some misbehave.
type workerFleet struct {
	*scenario
	now     time.Duration
	lastKey sched.JobKey
	// behave returns how long a task of a kind takes on a worker, and its failure.
	behave func(worker, kind string) (time.Duration, *verdict.Failure)
	endsAt map[sched.Start]time.Duration
	starts map[string]int
	failed int
}

func newWorkerFleet(t *testing.T, workers int) *workerFleet {
	f := &workerFleet{scenario: newScenario(t, sched.DefaultConfig()), endsAt: make(map[sched.Start]time.Duration), starts: make(map[string]int)}
	f.workers(0, workers, 2)
	return f
}

var errFailed = verdict.New(verdict.MayHaveRun, verdict.TaskFailed, "test")

// run submits a job of one task every 10 ms for the duration d.
func (f *workerFleet) run(d time.Duration, kinds ...string) {
	for end := f.now + d; f.now < end; f.now += 10 * ms {
		f.lastKey++
		kind := kinds[int(f.lastKey)%len(kinds)]
		if refusal := f.Submit(f.now, withDefaults(f.now, sched.Job{Key: f.lastKey, Kind: kind})); refusal != nil {
			f.t.Fatal(refusal)
		}
		f.Tick(f.now)
		f.execute(kinds)
		for st, at := range f.endsAt {
			if f.now >= at {
				delete(f.endsAt, st)
				_, failure := f.behave(st.Worker, f.kindOf(st, kinds))
				f.HandleOutcome(f.now, st, sched.Outcome{Failure: failure})
				f.execute(kinds)
			}
		}
	}
}

func (f *workerFleet) kindOf(st sched.Start, kinds []string) string {
	return kinds[int(st.Job)%len(kinds)]
}

func (f *workerFleet) execute(kinds []string) {
	for _, st := range f.takeStarts() {
		took, _ := f.behave(st.Worker, f.kindOf(st, kinds))
		f.endsAt[st] = f.now + took
		f.starts[st.Worker]++
	}
	for _, e := range f.Ended {
		if e.Failure != nil {
			f.failed++
		}
	}
}

// Guards against a worker that fails everything at once and, being always idle, attracts
// the tasks. The scheduler ejects it after a few jobs; with later probes, under 1% of jobs
// fail.
func TestWorkerFailingEverythingIsEjected(t *testing.T) {
	f := newWorkerFleet(t, 10)
	f.behave = func(worker, _ string) (time.Duration, *verdict.Failure) {
		if worker == address(3) {
			return 0, errFailed
		}
		return 100 * ms, nil
	}
	f.run(time.Second, "quote")
	assert.Assert(t, f.failed >= 3 && f.failed <= 5, "%d jobs failed", f.failed)
	assert.Equal(t, f.Load(f.now).Ejected, 1)
	f.run(59*time.Second, "quote")
	assert.Assert(t, f.failed*100 < int(f.lastKey), "%d of %d jobs failed", f.failed, f.lastKey)
}

// Guards against a recovered worker that stays ejected or never gets its full load again.
func TestRecoveredWorkerGetsFullLoad(t *testing.T) {
	f := newWorkerFleet(t, 4)
	broken := true
	f.behave = func(worker, _ string) (time.Duration, *verdict.Failure) {
		if worker == address(0) && broken {
			return 0, errFailed
		}
		return 60 * ms, nil
	}
	f.run(time.Second, "quote")
	assert.Equal(t, f.Load(f.now).Ejected, 1)
	broken = false
	f.run(9*time.Second, "quote")
	assert.Equal(t, f.Load(f.now).Ejected, 0)
	f.starts = make(map[string]int)
	f.run(time.Second, "quote")
	assert.Assert(t, f.starts[address(0)] >= 15, "%v", f.starts)
}

// Guards against ejecting workers because of a kind that fails on all of them: the other
// kind would have no workers left.
func TestFailingKindDoesNotEjectWorkers(t *testing.T) {
	f := newWorkerFleet(t, 6)
	f.behave = func(_, kind string) (time.Duration, *verdict.Failure) {
		if kind == "broken" {
			return 0, errFailed
		}
		return 50 * ms, nil
	}
	f.run(20*time.Second, "quote", "broken")
	assert.Equal(t, f.Load(f.now).Ejected, 0)
}

// Guards against ejecting all workers when all of them fail and are too few to suspect
// the kind. The scheduler ejects at most half of the workers.
func TestAtMostHalfOfWorkersAreEjected(t *testing.T) {
	f := newWorkerFleet(t, 2)
	f.behave = func(string, string) (time.Duration, *verdict.Failure) { return 0, errFailed }
	f.run(2*time.Second, "quote")
	assert.Equal(t, f.Load(f.now).Ejected, 1)
}

// Guards against giving a straggler, here one that takes five times as long, its full
// part of the tasks.
func TestStragglerGetsFewerTasks(t *testing.T) {
	f := newWorkerFleet(t, 10)
	f.behave = func(worker, _ string) (time.Duration, *verdict.Failure) {
		if worker == address(0) {
			return 500 * ms, nil
		}
		return 100 * ms, nil
	}
	f.run(10*time.Second, "quote")
	f.starts = make(map[string]int)
	f.run(20*time.Second, "quote")
	assert.Assert(t, f.starts[address(0)] < 10, "%v", f.starts)
	assert.Assert(t, f.starts[address(1)] > 150, "%v", f.starts)
}

// Guards against sending task after task to a worker that refuses all of them, and against
// failing jobs because of it. Each refusal in a row doubles the backoff, and after three
// the worker gets one task at a time.
func TestRefusingWorkerGetsFewTasks(t *testing.T) {
	f := newWorkerFleet(t, 4)
	f.behave = func(worker, _ string) (time.Duration, *verdict.Failure) {
		if worker == address(0) {
			return 0, verdict.New(verdict.NotRun, verdict.WorkerRefused, "test")
		}
		return 50 * ms, nil
	}
	f.run(30*time.Second, "quote")
	assert.Equal(t, f.failed, 0)
	assert.Assert(t, f.starts[address(0)] < 20, "%d starts", f.starts[address(0)])
}

// Guards against retries that become most of the traffic when every worker refuses every
// task. The scheduler delays retries beyond a fraction of the first starts.
func TestRetriesBeyondBudgetAreDelayed(t *testing.T) {
	c := sched.DefaultConfig()
	c.RetryBurst, c.RefusalBackoff, c.MaxBackoff = 10, 0, 0
	s := newScenario(t, c)
	s.workers(0, 20, 2)
	s.submit(0, sched.Job{Key: 1, Tasks: 40})
	queue := s.takeStarts()
	retries := 0
	for len(queue) > 0 {
		s.fail(1*ms, queue[0], verdict.NotRun, verdict.WorkerRefused)
		more := s.takeStarts()
		retries += len(more)
		queue = append(queue[1:], more...)
	}
	assert.Equal(t, retries, 10)
	s.Tick(51 * ms)
	assert.Assert(t, len(s.takeStarts()) > 0, "delayed retries did not start after RetryDelay")
}

// Guards against starting a task again that may have run. The scheduler starts only a
// refused task again.
func TestOnlyNotRunIsRetried(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun} {
		t.Run(fmt.Sprint(v), func(t *testing.T) {
			s := newScenario(t, sched.DefaultConfig())
			s.workers(0, 2, 1)
			s.submit(0, sched.Job{Key: 1})
			s.fail(1*ms, s.takeStarts()[0], v, verdict.ConnectionLost)
			again := s.takeStarts()
			if v == verdict.NotRun {
				assert.Equal(t, len(again), 1)
				assert.Equal(t, again[0].Attempt, 2)
				return
			}
			assert.Equal(t, len(again), 0)
			assert.Equal(t, s.Ended[0].Failure.Verdict, verdict.MayHaveRun)
		})
	}
}

// Guards against never ejecting the only worker of a failure domain. It fails every task
// at once and would attract most tasks of the four good workers of the other domain.
func TestOnlyWorkerOfDomainIsEjected(t *testing.T) {
	f := newWorkerFleet(t, 0)
	list := []sched.Worker{{Address: address(0), Domain: "b", Slots: 2, Total: 2}}
	for i := 1; i <= 4; i++ {
		list = append(list, sched.Worker{Address: address(i), Domain: "a", Slots: 2, Total: 2})
	}
	f.SetWorkers(0, list)
	f.behave = func(worker, _ string) (time.Duration, *verdict.Failure) {
		if worker == address(0) {
			return 0, errFailed
		}
		return 30 * ms, nil
	}
	f.run(5*time.Second, "quote")
	assert.Assert(t, f.failed <= 5, "%d of 500 jobs failed", f.failed)
}
