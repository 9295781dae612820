package coordinator_test

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// A job of one task is offered to an executor with free capacity, and answered when the task is done.
func Example() {
	c := coordinator.New(member.Process{})
	free := capacity.Vector{MilliCPU: 1000}
	c.UpdateExecutor(coordinator.ExecutorState{Workers: []executor.WorkerCapacity{{Worker: "w1", Service: "quotes", Free: free, Total: free, Open: true, Usable: true}}})
	c.Submit(time.Second, coordinator.Job{
		ID: "j1", Service: "quotes", Attempts: 1, Stretch: 1.6, Deadline: 5 * time.Second,
		Steps: []coordinator.Step{{Count: 1, Demand: capacity.Vector{MilliCPU: 500}, ExpectedRunTime: 100 * time.Millisecond}},
	})
	offered := c.Drain().Messages[0].Offer[0]
	fmt.Println("offered", offered.ID)
	c.HandleReport(time.Second, member.Process{}, task.Report{ID: offered.ID, Run: offered.Run, Outcome: task.Done, Worker: "w1"})
	fmt.Println("answered", c.Drain().Answers[0].Status)
	// Output:
	// offered j1/0/0/0
	// answered completed
}
