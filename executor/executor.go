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
type queued struct {
	task  *task.Task
	owner member.Process
	since time.Duration
	// reserved: the task waits at another executor, and is only to be told of room here.
	reserved bool
}

// Executor runs tasks on the workers that it holds. It is not safe for concurrent use.
type Executor struct {
	config  Config
	workers map[string]*worker
	order   []*worker // by ID, for repeatable decisions
	queue   []*queued
	// holds are the room that is kept for tasks which wait elsewhere.
	holds []hold
	// answers is how long workers take to answer orders.
	answers answerTime
	// usual is the pace of all workers in use here, by service; toldUsual that of all holders'
	// workers, where it is known.
	usual     map[string]usualPace
	toldUsual map[string]float64
	// steps are what tasks have shown lately, by step.
	steps map[stepKey]*siblings
	// retired are the failure domains whose workers get no new runs.
	retired map[string]bool
	// left is when runs of lost coordinators were last left to other holders.
	left map[member.Process]time.Duration
	// tenures counts the tenures of workers that have begun.
	tenures uint64
	out     Output
}

// New returns an executor that holds nothing.
func New(c Config) *Executor {
	return &Executor{config: c.withDefaults(), workers: make(map[string]*worker), usual: make(map[string]usualPace), steps: make(map[stepKey]*siblings), left: make(map[member.Process]time.Duration)}
}

// Drain returns what the embedder has to carry out since the last call.
func (e *Executor) Drain() Output {
	o := e.out
	e.out = Output{}
	return o
}

// SetWorkers tells which workers this daemon is assigned. A worker that is no longer
// assigned stays in use until another holder takes it; a worker that the registry
// dropped is gone is told by Remove.
func (e *Executor) SetWorkers(now time.Duration, assigned []WorkerInfo) {
	wanted := make(map[string]bool, len(assigned))
	for _, i := range assigned {
		wanted[i.ID] = true
		e.assign(now, i)
	}
	for _, w := range e.order {
		w.wanted = wanted[w.info.ID]
		if !w.wanted && w.phase != held && w.phase != claiming {
			w.phase = released
		}
	}
	e.step(now)
}

func (e *Executor) assign(now time.Duration, i WorkerInfo) {
	w := e.workers[i.ID]
	if w == nil {
		w = &worker{info: i, incarnation: i.Incarnation, incarnationSince: now, wanted: true, retired: e.retired[i.Domain], runs: make(map[task.ID]*run), unsettled: make(map[uint64]heldEnd), nextPoll: now}
		e.workers[i.ID] = w
		at, _ := slices.BinarySearchFunc(e.order, i.ID, func(w *worker, id string) int { return cmp.Compare(w.info.ID, id) })
		e.order = slices.Insert(e.order, at, w)
		return
	}
	w.wanted = true
	e.Update(now, i)
	if w.phase == released {
		w.phase, w.nextPoll = acquiring, now
	}
}

// Update refreshes what the registry tells of a worker that is in use, assigned or not.
func (e *Executor) Update(now time.Duration, i WorkerInfo) {
	w := e.workers[i.ID]
	if w == nil || !e.announced(now, w, i) {
		return
	}
	if i.Service != w.info.Service {
		e.forgetPace(w)
	}
	w.info, w.retired = i, e.retired[i.Domain]
}

// Remove forgets workers that the registry no longer shows: they have left.
func (e *Executor) Remove(now time.Duration, gone func(id string) bool) {
	for _, w := range slices.Clone(e.order) {
		if !gone(w.info.ID) {
			continue
		}
		if len(w.runs) > 0 && now < w.lapsedBy() {
			// The entry may have lapsed while the worker runs on: its runs end with the lease.
			w.info.Draining = true
			continue
		}
		e.endAll(now, w, ReasonWorkerRemoved)
		e.drop(w)
	}
	e.step(now)
}

func (e *Executor) drop(w *worker) {
	delete(e.workers, w.info.ID)
	// A task started in room that is held here would run unwatched: answers of a forgotten worker
	// aren't read.
	e.releaseHolds(func(h hold) bool { return h.worker == w })
	e.forgetPace(w)
	e.out.DroppedWorkers = append(e.out.DroppedWorkers, w.info.ID)
	e.order = slices.DeleteFunc(e.order, func(o *worker) bool { return o == w })
}

// Offer takes tasks of a coordinator. Each ends in a report of NotRun, Done, Failed,
// Terminated or Moved, unless it is withdrawn.
func (e *Executor) Offer(now time.Duration, owner member.Process, tasks []task.Task) {
	for i := range tasks {
		q := &queued{task: &tasks[i], owner: owner, since: now}
		if !e.startHeld(now, q) {
			e.enqueue(q)
		}
	}
	e.expire(now)
	e.step(now)
	e.returnTaken(now)
}

// returnTaken gives back tasks that were to start at once and found no room: their
// coordinators' idea of it was out of date.
func (e *Executor) returnTaken(now time.Duration) {
	e.queue = slices.DeleteFunc(e.queue, func(q *queued) bool {
		if !q.task.NoWait || q.reserved {
			return false
		}
		e.returnQueued(now, q, ReasonCapacityTaken)
		return true
	})
}

// Reclaim gives tasks back that still wait.
func (e *Executor) Reclaim(now time.Duration, owner member.Process, ids []task.ID) {
	e.queue = slices.DeleteFunc(e.queue, func(q *queued) bool {
		if q.owner != owner || q.reserved || !slices.Contains(ids, q.task.ID) {
			return false
		}
		e.returnQueued(now, q, ReasonReclaimed)
		return true
	})
}

func (e *Executor) returnQueued(now time.Duration, q *queued, reason string) {
	if q.reserved {
		return
	}
	r := task.Report{ID: q.task.ID, Run: q.task.Run, Outcome: task.NotRun, Reason: reason}
	e.out.Events = append(e.out.Events, Event{Name: EventGivenBack, ID: r.ID, Run: r.Run, Detail: r.Reason, Age: now - q.since})
	e.report(q.owner, r)
}

// before orders the queue: tasks within their shares go first, of those the ones that have to
// start soonest, and among equals the more urgent queue.
func before(a, b *queued) int {
	if order := cmp.Or(task.CompareOverShare(a.task, b.task), cmp.Compare(a.urgency(), b.urgency()), cmp.Compare(a.since, b.since)); order != 0 {
		return order // most differ by then; an ID's text is costly
	}
	return cmp.Compare(a.task.ID.String(), b.task.ID.String())
}

// urgency is the latest start that keeps the job on time; a step of priority counts as
// priorityStep.
func (q *queued) urgency() time.Duration {
	return q.task.Due - q.task.ExpectedRunTime + time.Duration(q.task.Priority)*priorityStep
}

// priorityStep is what one step of priority is worth in waiting time.
const priorityStep = 20 * time.Millisecond

// Withdraw takes tasks back: what waits is dropped, what runs is stopped. With confirm each
// task is reported when nothing of it is here any more; else nothing is.
func (e *Executor) Withdraw(now time.Duration, owner member.Process, ids []task.ID, confirm bool) {
	for _, id := range ids {
		e.queue = slices.DeleteFunc(e.queue, func(q *queued) bool { return q.owner == owner && q.task.ID == id })
		runs := false
		for _, w := range e.order {
			if r := w.runs[id]; r != nil && r.owner == owner {
				runs = true
				r.confirm = confirm
				e.discard(now, w, r, "withdrawn")
			}
			e.settle(now, w, "withdrawn", func(h heldEnd) bool { return h.ID == id && h.knownTo(owner) })
		}
		if confirm && !runs {
			e.report(owner, task.Report{ID: id, Outcome: task.NotRun, Reason: ReasonWithdrawn})
		}
	}
	e.step(now)
}

// HandleOwnerLost stops all that runs for a coordinator that is gone: its callers are told
// nothing any more and will submit again, and the same task must not run twice then.
func (e *Executor) HandleOwnerLost(now time.Duration, owner member.Process) {
	e.queue = slices.DeleteFunc(e.queue, func(q *queued) bool { return q.owner == owner })
	e.releaseHolds(func(h hold) bool { return h.owner == owner })
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
		e.ownerOfEndsLost(now, w, owner)
		if w.waiting != nil {
			delete(w.waiting, owner)
			e.settleClaims(now, w)
		}
	}
	e.step(now)
}

// discard stops a run that nobody waits for, and says why.
func (e *Executor) discard(now time.Duration, w *worker, r *run, why string) {
	r.discard = true
	e.out.Events = append(e.out.Events, Event{
		Name: EventDiscarded, ID: r.id, Run: r.num, Worker: w.info.ID, Detail: "reason=" + why + r.coordinator(), Age: now - r.began,
	})
	e.stop(now, w, r)
}

// stop orders a run to end.
func (e *Executor) stop(now time.Duration, w *worker, r *run) {
	r.state = stopping
	r.stopSent = now
	e.call(now, w, Call{Kind: CallStop, ID: r.id, Run: r.num})
}

func (e *Executor) call(now time.Duration, w *worker, c Call) {
	c.Worker, c.Address, c.Token, c.sent, c.clock, c.Timeout = w.info.ID, w.info.Address, w.token, now, w.reading(), e.answers.limit()
	if c.Deadline > w.granted {
		w.granted = c.Deadline
	}
	e.out.Calls = append(e.out.Calls, c)
}

// Tick lets time pass. It is to be called at least every 50 ms while tasks wait or run.
func (e *Executor) Tick(now time.Duration) {
	for _, w := range slices.Clone(e.order) {
		e.tickWorker(now, w)
	}
	e.askUnsettled(now)
	e.forgetSteps(now)
	e.expire(now)
	e.step(now)
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
func (e *Executor) expire(now time.Duration) {
	e.queue = slices.DeleteFunc(e.queue, func(q *queued) bool {
		switch {
		case now >= q.task.StartBy:
			e.returnQueued(now, q, ReasonNoCapacity)
		case !e.canServe(q.task):
			e.returnQueued(now, q, ReasonNoWorker)
		case !e.canServeWithin(q.task):
			e.returnQueued(now, q, ReasonLaterEpoch)
		default:
			return false
		}
		return true
	})
}

// canServe reports whether a worker in use, or about to be, may run the task.
func (e *Executor) canServe(t *task.Task) bool {
	return slices.ContainsFunc(e.order, func(w *worker) bool { return w.mayServe(t) })
}

func (e *Executor) report(owner member.Process, r task.Report) {
	e.out.Reports = append(e.out.Reports, OwnedReport{Owner: owner, Report: r})
}

func (e *Executor) event(name string, w *worker, r *run, detail string) {
	ev := Event{Name: name, Worker: w.info.ID, Detail: detail}
	if r != nil {
		ev.ID, ev.Run = r.id, r.num
	}
	e.out.Events = append(e.out.Events, ev)
}

// step starts what fits, and holds room for what waits elsewhere.
func (e *Executor) step(now time.Duration) {
	e.releaseHolds(func(h hold) bool { return now >= h.until })
	rest, left := e.queue[:0], e.roomLeft(now)
	for _, q := range e.queue {
		// In an overload hardly any task that waits has room, or it has it on slow workers only, which
		// stand free. With a search for each at each step, ends would be noticed late.
		if left.mayTake(now, q.task) {
			if w := e.place(now, q.task); w != nil {
				e.startOrHold(now, w, q)
				left = e.roomLeft(now)
				continue
			}
			if e.onlyLater(now, q.task) {
				e.returnQueued(now, q, ReasonLaterEpoch)
				continue
			}
		}
		rest = append(rest, q)
	}
	clear(e.queue[len(rest):])
	e.queue = rest
}

func (e *Executor) start(now time.Duration, w *worker, q *queued) {
	clockNow, _ := w.now(now)
	r := &run{
		task: q.task, id: q.task.ID, owner: q.owner, num: max(q.task.Run, 1), state: starting, began: now, changed: now,
		deadline: clockNow + e.config.Lease.Milliseconds(),
	}
	e.noteStart(now, w, r)
	w.add(r)
	e.out.Events = append(e.out.Events, Event{
		Name: EventStarted, ID: r.id, Run: r.num, Worker: w.info.ID, Detail: fmt.Sprintf("token=%d free_milli_cpu=%d%s", w.token, w.free().MilliCPU, r.coordinator()),
		Age: now - q.since,
	})
	e.call(now, w, Call{Kind: CallStart, Task: r.task, ID: r.id, Run: r.num, Deadline: r.deadline})
	if !w.polling && len(w.unsettled) == 0 {
		e.poll(now, w)
	}
}
