package executor

import "time"

// WorkerCapacities returns the capacity of each worker that is reported to coordinators.
func (e *Executor) WorkerCapacities(now time.Duration) []WorkerCapacity {
	return e.AppendWorkerCapacities(make([]WorkerCapacity, 0, len(e.order)), now)
}

// AppendWorkerCapacities appends the capacity of each worker in use, and of each worker that has
// left use and still has runs of this executor.
func (e *Executor) AppendWorkerCapacities(list []WorkerCapacity, now time.Duration) []WorkerCapacity {
	for _, w := range e.order {
		if w.visible() {
			list = append(list, WorkerCapacity{
				Worker: w.info.ID, Service: w.info.Service, Domain: w.info.Domain, Free: w.freeCapacity(), Total: w.info.Capacity,
				Open: w.acceptsRuns(now), Usable: w.usable(), Slowdown: w.slowdown.reportedSlowdown(), Epoch: w.epoch, Token: w.epochToken,
			})
		}
	}
	return list
}

// HeldWorkers returns the IDs of the workers in use.
func (e *Executor) HeldWorkers() []string {
	var ids []string
	for _, w := range e.order {
		if w.phase == held || w.phase == claiming {
			ids = append(ids, w.info.ID)
		}
	}
	return ids
}

// Load returns the numbers of running and waiting tasks.
func (e *Executor) Load() (runningTasks, waiting int) {
	for _, w := range e.order {
		runningTasks += len(w.runs)
	}
	return runningTasks, len(e.queue) - e.Reservations()
}
