package executor

import "time"

// WorkerCapacities returns what is left on each worker in use.
func (e *Executor) WorkerCapacities(now time.Duration) []WorkerCapacity {
	return e.AppendWorkerCapacities(make([]WorkerCapacity, 0, len(e.order)), now)
}

// AppendWorkerCapacities appends what is left on each worker in use, and on those where runs are left.
func (e *Executor) AppendWorkerCapacities(rooms []WorkerCapacity, now time.Duration) []WorkerCapacity {
	for _, w := range e.order {
		if w.visible() {
			rooms = append(rooms, WorkerCapacity{
				Worker: w.info.ID, Service: w.info.Service, Domain: w.info.Domain, Free: w.freeCapacity(), Total: w.info.Capacity,
				Open: w.acceptsRuns(now), Usable: w.usable(), Slowdown: w.slowdown.reportedSlowdown(), Epoch: w.epoch, Token: w.epochToken,
			})
		}
	}
	return rooms
}

// HeldWorkers returns the workers in use.
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
