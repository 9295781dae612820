package executor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/task"
)

// startOn starts a task of a job on a worker. Its declared time is 400 ms.
func (r *rig) startOn(worker, job string, index uint32) {
	r.t.Helper()
	for id, w := range r.e.workers {
		if w.pausedUntil = 0; id != worker {
			w.pausedUntil = time.Hour
		}
	}
	one := testTask(job, index)
	one.ExpectedRunTime, one.Due = 400*time.Millisecond, r.now+time.Minute
	r.e.Offer(r.now, ownerA, []task.Task{one})
	r.answer(r.takeCall(CallStart, worker), Answer{Verdict: OK})
	for _, w := range r.e.workers {
		w.pausedUntil = 0
	}
}

// listProgress makes a worker list its runs with the given percentages by job.
func (r *rig) listProgress(worker string, percents map[string]int) {
	r.t.Helper()
	var running []ListedRun
	for id, run := range r.e.workers[worker].runs {
		if percent, ok := percents[id.Job]; ok {
			running = append(running, ListedRun{RunningTask: task.RunningTask{ID: id, Run: run.number}, Percent: percent})
		}
	}
	r.answer(r.takeCall(CallPoll, worker), Answer{Verdict: OK, Running: running})
}

func (r *rig) slowness(worker string) float64 { return r.e.slowness(r.e.workers[worker]) }

// Each case gives the percentages that the lists of w1 and w2 show by job every 100 ms, and whether
// w1 is slow by them. An undetected slow worker makes most wide jobs late. A usual worker that is
// avoided for its long job is wasted capacity.
func TestProgressShowsSlowWorkers(t *testing.T) {
	type lists []map[string]int
	for _, c := range []struct {
		name   string
		w1, w2 lists
		slow   bool
	}{
		{"a run as declared", lists{{"a": 25}, {"a": 50}, {"a": 75}}, nil, false},
		{"one and a half times the declared time", lists{{"a": 17}, {"a": 33}, {"a": 50}}, nil, false},
		{"one job takes seven times as long", lists{{"a": 3}, {"a": 7}, {"a": 10}}, nil, false},
		{"a run that slows down shows it by itself", lists{{"a": 25}, {"a": 29}}, nil, true},
		{"outliers of two jobs", lists{{"a": 4, "b": 4}}, nil, true},
		{"an outlier beside a usual run is a long job", lists{{"a": 4, "b": 25}, {"a": 8, "b": 50}}, nil, false},
		{"its other task runs as usual elsewhere", lists{{"a": 4}, {"a": 8}}, lists{{"a": 25}, {"a": 50}}, true},
		{"its other task takes as long elsewhere", lists{{"a": 4}, {"a": 8}}, lists{{"a": 4}, {"a": 8}}, false},
	} {
		r := newRig(t)
		r.holdWorkers("w1", "w2")
		r.e.SetMedianSlowdowns(map[string]float64{"quotes": 1})
		for job := range c.w1[0] {
			r.startOn("w1", job, 0)
		}
		if c.w2 != nil {
			r.startOn("w2", "a", 1)
		}
		for i, list := range c.w1 {
			r.advance(100 * time.Millisecond)
			if c.w2 != nil {
				r.listProgress("w2", c.w2[i])
			}
			r.listProgress("w1", list)
		}
		assert.Equal(t, r.slowness("w1") > 2, c.slow, c.name)
		assert.Assert(t, r.slowness("w2") < 2, c.name)
	}
}

// Jobs have a task on each of several workers, and each job's declared time is off. Equal workers
// have to stay equal, and the usual slowdown has to follow what was observed. If it only followed
// the workers' means, it would rise without limit.
func TestUsualSlowdownFollowsObservations(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1", "w2", "w3")
	for n := range 120 {
		for i, id := range []string{"w1", "w2", "w3"} {
			factor := []float64{0.6, 1, 1.6}[n%3] * []float64{0.9, 1, 1.1}[(n+i)%3]
			one := testTask(fmt.Sprint(n), uint32(i))
			run := &run{task: &one, id: one.ID, number: 1, startSentAt: r.now, deadline: 1}
			r.e.observeEndedRun(r.now+time.Duration(factor*float64(one.ExpectedRunTime)), r.e.workers[id], run)
		}
		r.now += 200 * time.Millisecond
	}
	for _, capacity := range r.e.WorkerCapacities(r.now) {
		assert.Assert(t, capacity.Slowdown > 0.7 && capacity.Slowdown < 1.4, "%+v", capacity)
		assert.Equal(t, r.slowness(capacity.Worker), 1.0)
	}
}

// Polls of a worker are lost, and the executor reads its completions a second late. That must not
// make the worker count as slow.
func TestLateCompletionsDoNotMakeWorkerSlow(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1", "w2")
	r.e.SetMedianSlowdowns(map[string]float64{"quotes": 1})
	r.startOn("w1", "a", 0)
	r.startOn("w1", "b", 0)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: Unknown})
	r.advance(700 * time.Millisecond)
	r.answer(r.takeCall(CallPoll, "w1"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, testTask("a", 0).ID, 1, "done"), completionOf(2, testTask("b", 0).ID, 1, "done")}})
	assert.Equal(t, r.slowness("w1"), 1.0)
	assert.Equal(t, r.e.workers["w1"].slowdown.runs, 0)
}

// importSlowdowns makes the executor import reported slowdowns of a given age.
func (r *rig) importSlowdowns(ratios map[string]float64, age time.Duration) {
	r.e.SetMedianSlowdowns(map[string]float64{"quotes": 1})
	r.e.ImportSlowdowns(r.now, func(worker string) (float64, time.Duration) { return ratios[worker], age })
}

// urgent is a task of 200 ms that is due in 380 ms.
func (r *rig) urgent(job string) task.Task {
	one := testTask(job, 0)
	one.ExpectedRunTime, one.Due, one.StartBy = 200*time.Millisecond, r.now+380*time.Millisecond, r.now+time.Second
	return one
}

// An idle slow worker must not get tasks that would be late there and can be on time on the next
// worker that becomes free. When they cannot be on time any more, they start on the slow worker:
// late is better than never.
func TestTaskWaitsForUsualWorker(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("fast", "slow")
	r.importSlowdowns(map[string]float64{"slow": 3}, 0)
	r.e.workers["slow"].probeAt = time.Hour
	r.startOn("fast", "a", 0)
	r.startOn("fast", "a", 1)
	first, second := r.urgent("b"), r.urgent("c")
	r.e.Offer(r.now, ownerA, []task.Task{first, second})
	r.advance(100 * time.Millisecond)
	assert.Assert(t, !r.hasCall(CallStart))
	r.answer(r.takeCall(CallPoll, "fast"), Answer{Verdict: OK, Running: listing(testTask("a", 1).ID, 1), Completions: []Completion{completionOf(1, testTask("a", 0).ID, 1, "done")}})
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "fast")
	r.advance(200 * time.Millisecond)
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "slow")
}

// The only worker with the label that a task needs is slow. It has to be used at once, as waiting
// would make the task later. When the worker restarts, its slowdown has to be forgotten.
func TestOnlyWorkerWithLabelIsUsedThoughSlow(t *testing.T) {
	r := newRig(t)
	info := workerNamed("slow")
	info.Labels, info.Incarnation = []string{"gpu"}, 1
	r.e.SetWorkers(r.now, []WorkerInfo{info})
	r.advance(25 * time.Millisecond)
	r.answer(r.takeCall(CallPoll, "slow"), Answer{Verdict: OK, Incarnation: 1})
	r.e.ExpectClaims(r.now, "slow", nil)
	r.importSlowdowns(map[string]float64{"slow": 6}, 0)
	one := r.urgent("a")
	one.Label = "gpu"
	r.e.Offer(r.now, ownerA, []task.Task{one})
	r.takeCall(CallStart, "slow")
	info.Incarnation = 2
	r.e.Update(r.now, info)
	assert.Equal(t, r.slowness("slow"), 1.0)
}

// All workers of all holders take six times the declared time. None of them is slow, and all have
// to be used at once.
func TestUniformlySlowWorkersAreUsed(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.importSlowdowns(map[string]float64{"w1": 6}, 0)
	assert.Assert(t, r.slowness("w1") > 5, "the other holders' workers are faster")
	r.e.SetMedianSlowdowns(map[string]float64{"quotes": 6})
	r.e.Offer(r.now, ownerA, []task.Task{r.urgent("a")})
	r.takeCall(CallStart, "w1")
}

// A worker was reported as slow, and is fast: the report was wrong, or is outdated. The executor
// has to probe it at once with a task that can be on time elsewhere, and to use it like any other
// once that task's progress is read.
func TestWorkerWronglyReportedSlowIsUsedAgain(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("fast", "told")
	r.importSlowdowns(map[string]float64{"told": 6}, 10*time.Second)
	one := r.urgent("a")
	r.e.Offer(r.now, ownerA, []task.Task{one})
	c := r.takeCall(CallStart, "told")
	r.answer(c, Answer{Verdict: OK})
	r.advance(75 * time.Millisecond)
	r.listProgress("told", map[string]int{"a": 37})
	assert.Equal(t, r.slowness("told"), 1.0)
	assert.Assert(t, !r.hasCall(CallStop))
}

// An old report shows nothing, and the executor's own observations count for more than a report.
func TestOldReportIsNotImported(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("w1")
	r.importSlowdowns(map[string]float64{"w1": 6}, importMaxAge+time.Second)
	assert.Equal(t, r.slowness("w1"), 1.0)
	r.advance(importPeriod + 50*time.Millisecond)
	r.importSlowdowns(map[string]float64{"w1": 6}, 0)
	assert.Equal(t, r.slowness("w1"), 1.0)
}

// A probe shows that a slow worker is still slow. The executor stops the run while its task can be
// on time elsewhere, and only once: offered again, the task stays where it is. The next probe comes
// later than the last one did.
func TestProbeOfSlowWorkerEndsInTime(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("fast", "slow")
	r.importSlowdowns(map[string]float64{"slow": 6}, 0)
	one := r.urgent("a")
	r.e.Offer(r.now, ownerA, []task.Task{one})
	r.answer(r.takeCall(CallStart, "slow"), Answer{Verdict: OK})
	r.advance(75 * time.Millisecond)
	r.listProgress("slow", map[string]int{"a": 6})
	r.answer(r.takeCall(CallStop, "slow"), Answer{Verdict: OK})
	assert.Equal(t, r.outcomes(ownerA, one.ID), "started ", "it may run on")
	r.answer(r.takeCall(CallPoll, "slow"), Answer{Verdict: OK, Completions: []Completion{completionOf(1, one.ID, 1, "stopped")}})
	assert.Equal(t, r.outcomes(ownerA, one.ID), "started gone ")
	one.Run, one.Avoid = 2, []string{"slow"}
	r.e.Offer(r.now, ownerA, []task.Task{one})
	assert.Equal(t, r.takeCall(CallStart, "").Worker, "fast")
	assert.Assert(t, r.e.workers["slow"].probeAt-r.now > minProbeInterval/2)
}

// Load: tasks that wait elsewhere have reservations here. Capacity on a slow worker may be held for
// only one of them, as one run shows whether it is still slow. If it were held for each that fits,
// several jobs would be late.
func TestHeldCapacityOnSlowWorkerIsForOneProbe(t *testing.T) {
	r := newRig(t)
	r.holdWorkers("fast", "slow")
	r.importSlowdowns(map[string]float64{"slow": 6}, 0)
	r.e.Reserve(r.now, ownerB, []task.Task{r.urgent("a"), r.urgent("b")})
	r.drain()
	assert.Equal(t, len(r.reports), 2)
	assert.Equal(t, r.reports[0].Worker, "slow")
	assert.Equal(t, r.reports[1].Worker, "fast")
}

// Runs of durable jobs must not be stopped for their worker's slowness, nor runs of a task that was
// stopped before: it would be restarted again and again.
func TestRunsThatAreNotStoppedOnSlowWorkers(t *testing.T) {
	for _, change := range []func(*task.Task){
		func(t *task.Task) { t.Durable = true },
		func(t *task.Task) { t.Avoid = []string{"other"} },
	} {
		r := newRig(t)
		r.holdWorkers("slow", "fast")
		one := r.urgent("a")
		change(&one)
		r.e.workers["fast"].pausedUntil = time.Hour
		r.startTask(ownerA, one)
		r.e.workers["fast"].pausedUntil = 0
		r.importSlowdowns(map[string]float64{"slow": 6}, 0)
		r.advance(75 * time.Millisecond)
		r.listProgress("slow", map[string]int{"a": 6})
		assert.Assert(t, !r.hasCall(CallStop))
	}
}
