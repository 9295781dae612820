package executor

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	testLease = 800 * time.Millisecond
	testStop  = 50 * time.Millisecond
	// clockStart is what the workers' clocks show at the start of a test.
	clockStart = 100_000
)

var (
	ownerA = member.Process{Address: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1}
	ownerB = member.Process{Address: netip.MustParseAddrPort("10.0.0.2:80"), Incarnation: 2}
)

// rig drives an Executor by hand. Calls wait until the test answers them.
type rig struct {
	t         *testing.T
	e         *Executor
	now       time.Duration
	token     uint64
	calls     []Call
	reports   []OwnedReport
	takeovers []Takeover
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: time.Second}
	r.e = New(Config{Lease: testLease, StopTimeout: testStop, TokenSource: func() uint64 { r.token += 10; return r.token }})
	return r
}

// workerNamed is a worker with capacity for two tasks of testTask.
func workerNamed(id string) WorkerInfo {
	return WorkerInfo{ID: id, Address: id + ":80", Service: "quotes", Domain: "a", Capacity: capacity.Vector{MilliCPU: 2000, MemoryMB: 1000}}
}

func testTask(job string, index uint32) task.Task {
	return task.Task{
		ID: task.ID{Job: job, Index: index}, Run: 1, Service: "quotes", Demand: capacity.Vector{MilliCPU: 1000, MemoryMB: 10},
		ExpectedRunTime: 100 * time.Millisecond, StartBy: time.Hour, Due: 2 * time.Second,
	}
}

// drain collects the executor's output.
func (r *rig) drain() {
	o := r.e.Drain()
	r.calls = append(r.calls, o.Calls...)
	r.reports = append(r.reports, o.Reports...)
	r.takeovers = append(r.takeovers, o.Takeovers...)
}

// advance advances the time, with a tick every 25 ms.
func (r *rig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now = min(r.now+25*time.Millisecond, end)
		r.e.Tick(r.now)
	}
	r.drain()
}

// clock is the worker's clock at the present time, in ms.
func (r *rig) clock() int64 { return clockStart + r.now.Milliseconds() }

// takeCall removes and returns the oldest call of a kind to a worker, or to any worker if it is
// empty.
func (r *rig) takeCall(kind CallKind, worker string) Call {
	r.t.Helper()
	r.drain()
	at := slices.IndexFunc(r.calls, func(c Call) bool { return c.Kind == kind && (worker == "" || c.Worker == worker) })
	assert.Assert(r.t, at >= 0, "no call of kind %d to %q among %s", kind, worker, r.describe())
	c := r.calls[at]
	r.calls = slices.Delete(r.calls, at, at+1)
	return c
}

func (r *rig) hasCall(kind CallKind) bool {
	r.drain()
	return slices.ContainsFunc(r.calls, func(c Call) bool { return c.Kind == kind })
}

func (r *rig) describe() string {
	s := ""
	for _, c := range r.calls {
		s += fmt.Sprintf("[%d %s %s run %d token %d] ", c.Kind, c.Worker, c.ID, c.Run, c.Token)
	}
	return s
}

// answer passes a worker's answer to the executor. An OK without a clock gets the present one.
func (r *rig) answer(c Call, a Answer) {
	if a.Verdict == OK && a.Clock == 0 {
		a.Clock = r.clock()
	}
	r.e.HandleAnswer(r.now, c, a)
	r.drain()
}

// holdWorkers makes the executor hold workers on which nothing runs.
func (r *rig) holdWorkers(ids ...string) {
	r.t.Helper()
	var infos []WorkerInfo
	for _, id := range ids {
		infos = append(infos, workerNamed(id))
	}
	r.e.SetWorkers(r.now, infos)
	r.advance(25 * time.Millisecond)
	for _, id := range ids {
		r.answer(r.takeCall(CallPoll, id), Answer{Verdict: OK})
		r.e.ExpectClaims(r.now, id, nil)
	}
	r.drain()
}

// startTask offers a task, and answers its start with OK.
func (r *rig) startTask(owner member.Process, t task.Task) Call {
	r.t.Helper()
	r.e.Offer(r.now, owner, []task.Task{t})
	c := r.takeCall(CallStart, "")
	r.answer(c, Answer{Verdict: OK})
	return c
}

// outcomes returns the outcomes reported to a task's owner, in order.
func (r *rig) outcomes(owner member.Process, id task.ID) string {
	r.drain()
	s := ""
	for _, o := range r.reports {
		if o.Owner == owner && o.ID == id {
			s += o.Outcome.String() + " "
		}
	}
	return s
}

// listing is a worker's list of one running task.
func listing(id task.ID, run uint32) []ListedRun {
	return []ListedRun{{RunningTask: task.RunningTask{ID: id, Run: run}}}
}

// completionOf is the worker's record number n: how a run ended.
func completionOf(number uint64, id task.ID, run uint32, result string) Completion {
	return Completion{Number: number, RunningTask: task.RunningTask{ID: id, Run: run, Done: result == "done", Failed: result == "failed"}, Result: result}
}
