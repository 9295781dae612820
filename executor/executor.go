package executor

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// queued is a task that waits for room.
type queuedTask struct {
	task       *task.Task
	owner      member.Process
	enqueuedAt time.Duration
	// reserved: the task waits at another executor, and is only to be told of room here.
	reserved bool
}

// Executor runs tasks on the workers that it holds. It is not safe for concurrent use.
type Executor struct {
	config  Config
	workers map[string]*worker
	order   []*worker // by ID, for repeatable decisions
	queue   []*queuedTask
	// holds are the room that is kept for tasks which wait elsewhere.
	capacityHolds []capacityHold
	// answers is how long workers take to answer orders.
	orderLatency latencyEstimate
	// usual is the pace of all workers in use here, by service; toldUsual that of all holders'
	// workers, where it is known.
	usual           map[string]slowdownMean
	medianSlowdowns map[string]float64
	// steps are what tasks have shown lately, by step.
	steps map[stepKey]*stepStats
	// retired are the failure domains whose workers get no new runs.
	retired map[string]bool
	// left is when runs of lost coordinators were last left to other holders.
	runsLeftAt map[member.Process]time.Duration
	// tenures counts the tenures of workers that have begun.
	epochs uint64
	output Output
}

// New returns an executor that holds nothing.
func New(c Config) *Executor {
	return &Executor{config: c.withDefaults(), workers: make(map[string]*worker), usual: make(map[string]slowdownMean), steps: make(map[stepKey]*stepStats), runsLeftAt: make(map[member.Process]time.Duration)}
}

// Drain returns what the embedder has to carry out since the last call.
func (e *Executor) Drain() Output {
	o := e.output
	e.output = Output{}
	return o
}

// SetWorkers tells which workers this daemon is assigned. A worker that is no longer
// assigned stays in use until another holder takes it; a worker that the registry
// dropped is gone is told by Remove.
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

// Update refreshes what the registry tells of a worker that is in use, assigned or not.
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

// Remove forgets workers that the registry no longer shows: they have left.
func (e *Executor) Remove(now time.Duration, gone func(id string) bool) {
	for _, w := range slices.Clone(e.order) {
		if !gone(w.info.ID) {
			continue
		}
		if len(w.runs) > 0 && now < w.leasesExpiredBy() {
			// The entry may have lapsed while the worker runs on: its runs end with the lease.
			w.info.Draining = true
			continue
		}
		e.endAllRuns(now, w, ReasonWorkerRemoved)
		e.removeWorker(w)
	}
	e.schedule(now)
}

func (e *Executor) removeWorker(w *worker) {
	delete(e.workers, w.info.ID)
	// A task started in room that is held here would run unwatched: answers of a forgotten worker
	// aren't read.
	e.releaseHolds(func(h capacityHold) bool { return h.worker == w })
	e.forgetSlowdown(w)
	e.output.DroppedWorkers = append(e.output.DroppedWorkers, w.info.ID)
	e.order = slices.DeleteFunc(e.order, func(o *worker) bool { return o == w })
}

// Offer takes tasks of a coordinator. Each ends in a report of NotRun, Done, Failed,
// Terminated or Moved, unless it is withdrawn.
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

// returnTaken gives back tasks that were to start at once and found no room: their
// coordinators' idea of it was out of date.
func (e *Executor) returnNoWait(now time.Duration) {
	e.queue = slices.DeleteFunc(e.queue, func(q *queuedTask) bool {
		if !q.task.NoWait || q.reserved {
			return false
		}
		e.returnTask(now, q, ReasonCapacityTaken)
		return true
	})
}

// Reclaim gives tasks back that still wait.
func (e *Executor) Reclaim(now time.Duration, owner member.Process, ids []task.ID) {
	e.queue = slices.DeleteFunc(e.queue, func(q *queuedTask) bool {
		if q.owner != owner || q.reserved || !slices.Contains(ids, q.task.ID) {
			return false
		}
		e.returnTask(now, q, ReasonReclaimed)
		return true
	})
}

func (e *Executor) returnTask(now time.Duration, q *queuedTask, reason string) {
	if q.reserved {
		return
	}
	r := task.Report{ID: q.task.ID, Run: q.task.Run, Outcome: task.NotRun, Reason: reason}
	e.output.Events = append(e.output.Events, Event{Name: EventTaskReturned, ID: r.ID, Run: r.Run, Detail: r.Reason, Age: now - q.enqueuedAt})
	e.emitReport(q.owner, r)
}

// before orders the queue: tasks within their shares go first, of those the ones that have to
// start soonest, and among equals the more urgent queue.
func compareQueued(a, b *queuedTask) int {
	if order := cmp.Or(task.CompareOverShare(a.task, b.task), cmp.Compare(a.latestStart(), b.latestStart()), cmp.Compare(a.enqueuedAt, b.enqueuedAt)); order != 0 {
		return order // most differ by then; an ID's text is costly
	}
	return cmp.Compare(a.task.ID.String(), b.task.ID.String())
}

// urgency is the latest start that keeps the job on time; a step of priority counts as
// priorityStep.
func (q *queuedTask) latestStart() time.Duration {
	return q.task.Due - q.task.ExpectedRunTime + time.Duration(q.task.Priority)*priorityStep
}

// priorityStep is what one step of priority is worth in waiting time.
const priorityStep = 20 * time.Millisecond

// Withdraw takes tasks back: what waits is dropped, what runs is stopped. With confirm each
// task is reported when nothing of it is here any more; else nothing is.
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
			e.releaseCompletions(now, w, "withdrawn", func(h unacknowledgedCompletion) bool { return h.ID == id && h.knownTo(owner) })
		}
		if confirm && !runs {
			e.emitReport(owner, task.Report{ID: id, Outcome: task.NotRun, Reason: ReasonWithdrawn})
		}
	}
	e.schedule(now)
}

// HandleOwnerLost stops all that runs for a coordinator that is gone: its callers are told
// nothing any more and will submit again, and the same task must not run twice then.
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

// discard stops a run that nobody waits for, and says why.
func (e *Executor) discard(now time.Duration, w *worker, r *run, why string) {
	r.discarded = true
	e.output.Events = append(e.output.Events, Event{
		Name: EventDiscarded, ID: r.id, Run: r.number, Worker: w.info.ID, Detail: "reason=" + why + r.coordinator(), Age: now - r.startSentAt,
	})
	e.sendStop(now, w, r)
}

// stop orders a run to end.
func (e *Executor) sendStop(now time.Duration, w *worker, r *run) {
	r.state = stopping
	r.stopSentAt = now
	e.emitCall(now, w, Call{Kind: CallStop, ID: r.id, Run: r.number})
}

func (e *Executor) emitCall(now time.Duration, w *worker, c Call) {
	c.Worker, c.Address, c.Token, c.sentAt, c.workerClock, c.Timeout = w.info.ID, w.info.Address, w.token, now, w.latestClock(), e.orderLatency.timeout()
	if c.Deadline > w.grantedUntil {
		w.grantedUntil = c.Deadline
	}
	e.output.Calls = append(e.output.Calls, c)
}

// Tick lets time pass. It is to be called at least every 50 ms while tasks wait or run.
func (e *Executor) Tick(now time.Duration) {
	for _, w := range slices.Clone(e.order) {
		e.tickWorker(now, w)
	}
	e.requestJobStates(now)
	e.forgetOldSteps(now)
	e.returnExpired(now)
	e.schedule(now)
}

// Reasons of reports of NotRun and Terminated.
const (
	// ReasonNoCapacity: the task waited for room until its last useful start.
	ReasonNoCapacity = "no_room_in_time"
	// ReasonNoWorker: this executor holds no worker that may run the task.
	ReasonNoWorker = "no_worker"
	// ReasonCapacityTaken: the task was to start at once, and there is no room now.
	ReasonCapacityTaken = "room_taken"
	// ReasonLaterEpoch: only workers taken since its coordinator last heard of this executor may run it.
	ReasonLaterEpoch = "later_tenure"
	// ReasonReclaimed: its coordinator has found room elsewhere.
	ReasonReclaimed = "reclaimed"
	// ReasonWorkerDied, ReasonWorkerRestarted and ReasonWorkerRemoved are reasons of reports of Terminated: the worker went
	// down with the run. Another incarnation answers, it is back under its ID, or its entry has
	// vanished.
	ReasonWorkerDied      = "worker_died"
	ReasonWorkerRestarted = "worker_reborn"
	ReasonWorkerRemoved   = "worker_removed"
	// ReasonWithdrawn: its coordinator has taken it back.
	ReasonWithdrawn = "withdrawn"
	// ReasonReconciled: a coordinator has asked for what is known of its job.
	ReasonReconciled = "recalled"
)

// expire gives back tasks that wait beyond their last useful start, and those that no
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

// canServe reports whether a worker in use, or about to be, may run the task.
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

// step starts what fits, and holds room for what waits elsewhere.
func (e *Executor) schedule(now time.Duration) {
	e.releaseHolds(func(h capacityHold) bool { return now >= h.expiresAt })
	remaining, bounds := e.queue[:0], e.capacityBounds(now)
	for _, q := range e.queue {
		// In an overload hardly any task that waits has room, or it has it on slow workers only, which
		// stand free. With a search for each at each step, ends would be noticed late.
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
