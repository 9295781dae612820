package executor

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// queuedTask is a task that waits for free capacity.
type queuedTask struct {
	task       *task.Task
	owner      member.Process
	enqueuedAt time.Duration
	// reserved: the task waits at another executor. This executor only tells the coordinator when
	// it has capacity for the task.
	reserved bool
}

// Executor runs tasks on the workers that it holds. It is not safe for concurrent use.
type Executor struct {
	config  Config
	workers map[string]*worker
	order   []*worker // by ID, for repeatable decisions
	queue   []*queuedTask
	// capacityHolds is the capacity held for tasks that wait at other executors.
	capacityHolds []capacityHold
	// orderLatency estimates how long workers take to answer orders.
	orderLatency latencyEstimate
	// usual is the mean slowdown of the workers in use here, by service. medianSlowdowns is the
	// median slowdown among all holders' workers as a logarithm, for the services for which it is
	// known.
	usual           map[string]slowdownMean
	medianSlowdowns map[string]float64
	// steps holds what recent tasks have shown of their workers' speed, by step of the job.
	steps map[stepKey]*stepStats
	// retired holds the failure domains whose workers get no new runs.
	retired map[string]bool
	// runsLeftAt is when this executor last left a run of a lost coordinator to a worker's next
	// holder.
	runsLeftAt map[member.Process]time.Duration
	// epochs counts the holding epochs that this executor has begun, over all workers.
	epochs uint64
	output Output
}

// New returns an executor that holds no workers.
func New(c Config) *Executor {
	return &Executor{config: c.withDefaults(), workers: make(map[string]*worker), usual: make(map[string]slowdownMean), steps: make(map[stepKey]*stepStats), runsLeftAt: make(map[member.Process]time.Duration)}
}

// Drain returns what the embedder has to carry out, collected since the last call.
func (e *Executor) Drain() Output {
	o := e.output
	e.output = Output{}
	return o
}

// SetWorkers sets the workers that are assigned to this daemon. A worker that is no longer assigned
// stays in use until another holder takes it. Remove handles workers that the registry has removed.
func (e *Executor) SetWorkers(now time.Duration, assigned []WorkerInfo) {
	assignedIDs := make(map[string]bool, len(assigned))
	for _, i := range assigned {
		assignedIDs[i.ID] = true
		e.assign(now, i)
	}
	for _, w := range e.order {
		w.assigned = assignedIDs[w.info.ID]
		if !w.assigned && w.phase != held && w.phase != claiming {
			w.phase = released
		}
	}
	e.schedule(now)
}

// assign adds a worker that is new here, or marks a known one as assigned again.
func (e *Executor) assign(now time.Duration, i WorkerInfo) {
	w := e.workers[i.ID]
	if w == nil {
		w = &worker{info: i, incarnation: i.Incarnation, incarnationSince: now, assigned: true, retired: e.retired[i.Domain], runs: make(map[task.ID]*run), unacknowledged: make(map[uint64]unacknowledgedCompletion), nextPollAt: now}
		e.workers[i.ID] = w
		at, _ := slices.BinarySearchFunc(e.order, i.ID, func(w *worker, id string) int { return cmp.Compare(w.info.ID, id) })
		e.order = slices.Insert(e.order, at, w)
		return
	}
	w.assigned = true
	e.Update(now, i)
	if w.phase == released {
		w.phase, w.nextPollAt = acquiring, now
	}
}

// Update refreshes the registry's data of a worker in use, assigned or not.
func (e *Executor) Update(now time.Duration, i WorkerInfo) {
	w := e.workers[i.ID]
	if w == nil || !e.acceptEntry(now, w, i) {
		return
	}
	if i.Service != w.info.Service {
		e.forgetSlowdown(w)
	}
	w.info, w.retired = i, e.retired[i.Domain]
}

// Remove forgets the workers that have left, as the registry no longer lists them.
func (e *Executor) Remove(now time.Duration, gone func(id string) bool) {
	for _, w := range slices.Clone(e.order) {
		if !gone(w.info.ID) {
			continue
		}
		if len(w.runs) > 0 && now < w.leasesExpiredBy() {
			// The entry may have expired while the worker runs on. Its runs end with the lease.
			w.info.Draining = true
			continue
		}
		e.endAllRuns(now, w, ReasonWorkerRemoved)
		e.removeWorker(w)
	}
	e.schedule(now)
}

// removeWorker forgets a worker that has left.
func (e *Executor) removeWorker(w *worker) {
	delete(e.workers, w.info.ID)
	// A task started in held capacity would run unsupervised: the executor does not read the
	// answers of a worker that it has forgotten.
	e.releaseHolds(func(h capacityHold) bool { return h.worker == w })
	e.forgetSlowdown(w)
	e.output.DroppedWorkers = append(e.output.DroppedWorkers, w.info.ID)
	e.order = slices.DeleteFunc(e.order, func(o *worker) bool { return o == w })
}

// Offer takes tasks of a coordinator. Each task ends in a report of NotRun, Done, Failed,
// Terminated or Moved, unless the coordinator withdraws it.
func (e *Executor) Offer(now time.Duration, owner member.Process, tasks []task.Task) {
	for i := range tasks {
		q := &queuedTask{task: &tasks[i], owner: owner, enqueuedAt: now}
		if !e.startOnHeldCapacity(now, q) {
			e.enqueue(q)
		}
	}
	e.returnExpired(now)
	e.schedule(now)
	e.returnNoWait(now)
}

// returnNoWait returns the tasks that were to start at once and found no free capacity: their
// coordinators' view of this executor's capacity was outdated.
func (e *Executor) returnNoWait(now time.Duration) {
	e.queue = slices.DeleteFunc(e.queue, func(q *queuedTask) bool {
		if !q.task.NoWait || q.reserved {
			return false
		}
		e.returnTask(now, q, ReasonCapacityTaken)
		return true
	})
}

// Reclaim returns tasks that still wait to their coordinator.
func (e *Executor) Reclaim(now time.Duration, owner member.Process, ids []task.ID) {
	e.queue = slices.DeleteFunc(e.queue, func(q *queuedTask) bool {
		if q.owner != owner || q.reserved || !slices.Contains(ids, q.task.ID) {
			return false
		}
		e.returnTask(now, q, ReasonReclaimed)
		return true
	})
}

// returnTask reports a waiting task as not run to its coordinator; reservations need no report.
func (e *Executor) returnTask(now time.Duration, q *queuedTask, reason string) {
	if q.reserved {
		return
	}
	r := task.Report{ID: q.task.ID, Run: q.task.Run, Outcome: task.NotRun, Reason: reason}
	e.output.Events = append(e.output.Events, Event{Name: EventTaskReturned, ID: r.ID, Run: r.Run, Detail: r.Reason, Age: now - q.enqueuedAt})
	e.emitReport(q.owner, r)
}

// compareQueued orders the queue. Tasks within their shares come first. Of those, the task with the
// earliest latest start comes first, where a step of priority counts as priorityStep. Among equals
// the task that has waited longest comes first.
func compareQueued(a, b *queuedTask) int {
	if order := cmp.Or(task.CompareOverShare(a.task, b.task), cmp.Compare(a.latestStart(), b.latestStart()), cmp.Compare(a.enqueuedAt, b.enqueuedAt)); order != 0 {
		return order // most tasks differ by here; formatting an ID is costly
	}
	return cmp.Compare(a.task.ID.String(), b.task.ID.String())
}

// latestStart is the latest start that keeps the job on time, shifted by priorityStep for each step
// of priority.
func (q *queuedTask) latestStart() time.Duration {
	return q.task.Due - q.task.ExpectedRunTime + time.Duration(q.task.Priority)*priorityStep
}

// priorityStep is the waiting time that one step of priority is worth.
const priorityStep = 20 * time.Millisecond

// Withdraw takes tasks back for their coordinator: it drops tasks that wait and stops those that
// run. With confirm, the executor reports each task once nothing of it is left here; without,
// it reports nothing.
func (e *Executor) Withdraw(now time.Duration, owner member.Process, ids []task.ID, confirm bool) {
	for _, id := range ids {
		e.queue = slices.DeleteFunc(e.queue, func(q *queuedTask) bool { return q.owner == owner && q.task.ID == id })
		runs := false
		for _, w := range e.order {
			if r := w.runs[id]; r != nil && r.owner == owner {
				runs = true
				r.confirmEnd = confirm
				e.discard(now, w, r, "withdrawn")
			}
			e.releaseCompletions(now, w, "withdrawn", func(c unacknowledgedCompletion) bool { return c.ID == id && c.knownTo(owner) })
		}
		if confirm && !runs {
			e.emitReport(owner, task.Report{ID: id, Outcome: task.NotRun, Reason: ReasonWithdrawn})
		}
	}
	e.schedule(now)
}

// HandleOwnerLost stops all runs of a lost coordinator, except those of durable jobs. The callers
// get no answers from it any more and will submit their jobs again, and a task must not run twice
// at a time.
func (e *Executor) HandleOwnerLost(now time.Duration, owner member.Process) {
	e.queue = slices.DeleteFunc(e.queue, func(q *queuedTask) bool { return q.owner == owner })
	e.releaseHolds(func(h capacityHold) bool { return h.owner == owner })
	for _, w := range e.order {
		for _, r := range w.runs {
			switch {
			case r.owner != owner || r.task == nil:
			case r.task.Durable:
				r.orphanedAt = now
			default:
				e.discard(now, w, r, "coordinator_lost")
			}
		}
		e.markOwnerLost(now, w, owner)
		if w.awaitedClaims != nil {
			delete(w.awaitedClaims, owner)
			e.finishClaims(now, w)
		}
	}
	e.schedule(now)
}

// discard stops a run whose result no coordinator waits for, and logs why.
func (e *Executor) discard(now time.Duration, w *worker, r *run, why string) {
	r.discarded = true
	e.output.Events = append(e.output.Events, Event{
		Name: EventDiscarded, ID: r.id, Run: r.number, Worker: w.info.ID, Detail: "reason=" + why + r.coordinator(), Age: now - r.startSentAt,
	})
	e.sendStop(now, w, r)
}

// sendStop orders the worker to stop a run.
func (e *Executor) sendStop(now time.Duration, w *worker, r *run) {
	r.state = stopping
	r.stopSentAt = now
	e.emitCall(now, w, Call{Kind: CallStop, ID: r.id, Run: r.number})
}

// emitCall emits an order with the worker's address, token and time-out, and notes the lease that it
// grants.
func (e *Executor) emitCall(now time.Duration, w *worker, c Call) {
	c.Worker, c.Address, c.Token, c.sentAt, c.workerClock, c.Timeout = w.info.ID, w.info.Address, w.token, now, w.latestClock(), e.orderLatency.timeout()
	if c.Deadline > w.grantedUntil {
		w.grantedUntil = c.Deadline
	}
	e.output.Calls = append(e.output.Calls, c)
}

// Tick advances the time. The embedder calls it at least every 50 ms while tasks wait or run.
func (e *Executor) Tick(now time.Duration) {
	for _, w := range slices.Clone(e.order) {
		e.tickWorker(now, w)
	}
	e.requestJobStates(now)
	e.forgetOldSteps(now)
	e.returnExpired(now)
	e.schedule(now)
}

// Reasons of reports with the outcome NotRun or Terminated.
const (
	// ReasonNoCapacity: the task found no free capacity until its last useful start.
	ReasonNoCapacity = "no_room_in_time"
	// ReasonNoWorker: this executor holds no worker that may run the task.
	ReasonNoWorker = "no_worker"
	// ReasonCapacityTaken: the task was to start at once, and no worker has capacity for it now.
	ReasonCapacityTaken = "room_taken"
	// ReasonLaterEpoch: the only workers that can run the task were taken after the coordinator's
	// last update from this executor.
	ReasonLaterEpoch = "later_tenure"
	// ReasonReclaimed: the coordinator has found capacity elsewhere.
	ReasonReclaimed = "reclaimed"
	// ReasonWorkerDied, ReasonWorkerRestarted and ReasonWorkerRemoved are reasons of reports of
	// Terminated: the run ended with its worker. Another incarnation answers at the worker's
	// address, the worker has restarted under its ID, or its registry entry was removed.
	ReasonWorkerDied      = "worker_died"
	ReasonWorkerRestarted = "worker_reborn"
	ReasonWorkerRemoved   = "worker_removed"
	// ReasonWithdrawn: the coordinator has withdrawn the task.
	ReasonWithdrawn = "withdrawn"
	// ReasonReconciled: a coordinator has asked which runs of the job this executor still has.
	ReasonReconciled = "recalled"
)

// returnExpired returns tasks that have waited beyond their last useful start, and tasks that no
// worker left here may run.
func (e *Executor) returnExpired(now time.Duration) {
	e.queue = slices.DeleteFunc(e.queue, func(q *queuedTask) bool {
		switch {
		case now >= q.task.StartBy:
			e.returnTask(now, q, ReasonNoCapacity)
		case !e.canServe(q.task):
			e.returnTask(now, q, ReasonNoWorker)
		case !e.canServeInKnownEpochs(q.task):
			e.returnTask(now, q, ReasonLaterEpoch)
		default:
			return false
		}
		return true
	})
}

// canServe reports whether a worker that is in use, or is being taken, may run the task.
func (e *Executor) canServe(t *task.Task) bool {
	return slices.ContainsFunc(e.order, func(w *worker) bool { return w.availableFor(t) })
}

func (e *Executor) emitReport(owner member.Process, r task.Report) {
	e.output.Reports = append(e.output.Reports, OwnedReport{Owner: owner, Report: r})
}

func (e *Executor) emitEvent(name string, w *worker, r *run, detail string) {
	ev := Event{Name: name, Worker: w.info.ID, Detail: detail}
	if r != nil {
		ev.ID, ev.Run = r.id, r.number
	}
	e.output.Events = append(e.output.Events, ev)
}

// schedule starts the tasks that fit, and holds capacity for those that wait elsewhere.
func (e *Executor) schedule(now time.Duration) {
	e.releaseHolds(func(h capacityHold) bool { return now >= h.expiresAt })
	remaining, bounds := e.queue[:0], e.capacityBounds(now)
	for _, q := range e.queue {
		// In an overload hardly any task that waits fits on a worker, or it fits only on idle slow
		// workers. A search for each task at each step would delay the reading of completions.
		if bounds.mayPlace(now, q.task) {
			if w := e.place(now, q.task); w != nil {
				e.startOrHoldCapacity(now, w, q)
				bounds = e.capacityBounds(now)
				continue
			}
			if e.fitsOnlyLaterEpoch(now, q.task) {
				e.returnTask(now, q, ReasonLaterEpoch)
				continue
			}
		}
		remaining = append(remaining, q)
	}
	clear(e.queue[len(remaining):])
	e.queue = remaining
}

// startTask emits the start of a task on the worker, and a poll unless one is under way.
func (e *Executor) startTask(now time.Duration, w *worker, q *queuedTask) {
	clockNow, _ := w.clockAt(now)
	r := &run{
		task: q.task, id: q.task.ID, owner: q.owner, number: max(q.task.Run, 1), state: starting, startSentAt: now, progressAt: now,
		deadline: clockNow + e.config.Lease.Milliseconds(),
	}
	e.noteSlowStart(now, w, r)
	w.addRun(r)
	e.output.Events = append(e.output.Events, Event{
		Name: EventStarted, ID: r.id, Run: r.number, Worker: w.info.ID, Detail: fmt.Sprintf("token=%d free_milli_cpu=%d%s", w.token, w.freeCapacity().MilliCPU, r.coordinator()),
		Age: now - q.enqueuedAt,
	})
	e.emitCall(now, w, Call{Kind: CallStart, Task: r.task, ID: r.id, Run: r.number, Deadline: r.deadline})
	if !w.polling && len(w.unacknowledged) == 0 {
		e.poll(now, w)
	}
}
