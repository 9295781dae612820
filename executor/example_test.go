package executor_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// An embedder carries out calls and passes on their answers. Here the executor takes one worker
// over, and the worker runs a task and lists its completion.
func Example() {
	e := executor.New(executor.Config{TokenSource: func() uint64 { return 1 }})
	now := time.Second
	e.SetWorkers(now, []executor.WorkerInfo{{ID: "w1", Service: "quotes", Capacity: capacity.Vector{MilliCPU: 1000}}})
	e.Tick(now)
	poll := e.Drain().Calls[0]
	e.HandleAnswer(now, poll, executor.Answer{Verdict: executor.OK, Clock: 5000})
	e.ExpectClaims(now, "w1", nil) // no other coordinator may have tasks there

	id := task.ID{Job: "j1"}
	e.Offer(now, member.Process{}, []task.Task{{ID: id, Service: "quotes", Demand: capacity.Vector{MilliCPU: 500}, StartBy: time.Hour}})
	end := executor.Completion{Number: 1, RunningTask: task.RunningTask{ID: id, Run: 1, Done: true}}
	answers := map[executor.CallKind]executor.Answer{
		executor.CallStart: {Verdict: executor.OK, Clock: 5001},
		executor.CallPoll:  {Verdict: executor.OK, Clock: 5100, Completions: []executor.Completion{end}},
	}
	calls := e.Drain().Calls
	slices.SortFunc(calls, func(a, b executor.Call) int { return int(a.Kind) - int(b.Kind) }) // the start first
	for _, c := range calls {
		e.HandleAnswer(now, c, answers[c.Kind])
	}
	for _, r := range e.Drain().Reports {
		fmt.Println(r.ID, r.Outcome)
	}
	// Output:
	// j1/0/0/0 started
	// j1/0/0/0 done
}
