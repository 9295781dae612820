package executor

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// ReasonReserved is the reason of a report of NotRun for a reservation: this executor holds capacity
// for the task for capacityHoldTime.
const ReasonReserved = "room_reserved"

const (
	// capacityHoldTime is how long the executor holds capacity after it notified the task's
	// coordinator. In this time the coordinator reclaims the task from the executor where it waits
	// and offers it here, which takes four messages between daemons. If the coordinator is cut off,
	// the capacity is free again after this time.
	capacityHoldTime = 15 * time.Millisecond
	// maxReservations bounds the reservations in the queue, as each step tries each of them. When a
	// burst of jobs exceeds it, further reservations are left out, and their tasks wait where they
	// are.
	maxReservations = 1000
)

// capacityHold is capacity held for a task that waits at another executor.
type capacityHold struct {
	id        task.ID
	owner     member.Process
	worker    *worker
	demand    capacity.Vector
	expiresAt time.Duration
}

// Reserve queues reservations for tasks that wait at other executors. Once there is capacity for a
// task, the executor holds it for a moment and notifies the task's coordinator by a report of NotRun
// with ReasonReserved. It starts nothing before the coordinator offers the task.
func (e *Executor) Reserve(now time.Duration, owner member.Process, tasks []task.Task) {
	left := maxReservations - e.Reservations()
	for i := range min(len(tasks), left) {
		tasks[i].MaxEpoch = 0 // nothing starts before an offer, and the offer states it
		e.dropReservation(owner, tasks[i].ID)
		e.enqueue(&queuedTask{task: &tasks[i], owner: owner, enqueuedAt: now, reserved: true})
	}
	e.returnExpired(now)
	e.schedule(now)
}

// Unreserve drops reservations and the capacity held for them.
func (e *Executor) Unreserve(now time.Duration, owner member.Process, ids []task.ID) {
	for _, id := range ids {
		e.dropReservation(owner, id)
		e.releaseHoldOf(owner, id)
	}
	e.schedule(now)
}

// Reservations returns the number of reservations in the queue.
func (e *Executor) Reservations() (n int) {
	for _, q := range e.queue {
		if q.reserved {
			n++
		}
	}
	return n
}

func (e *Executor) dropReservation(owner member.Process, id task.ID) {
	e.queue = slices.DeleteFunc(e.queue, func(q *queuedTask) bool { return q.reserved && q.owner == owner && q.task.ID == id })
}

// enqueue inserts a task at its place in the queue.
func (e *Executor) enqueue(q *queuedTask) {
	at, _ := slices.BinarySearchFunc(e.queue, q, compareQueued)
	e.queue = slices.Insert(e.queue, at, q)
}

// startOrHoldCapacity starts a task on the worker, or holds capacity there for a reservation.
func (e *Executor) startOrHoldCapacity(now time.Duration, w *worker, q *queuedTask) {
	if !q.reserved {
		e.startTask(now, w, q)
		return
	}
	w.used = w.used.Plus(q.task.Demand)
	e.capacityHolds = append(e.capacityHolds, capacityHold{id: q.task.ID, owner: q.owner, worker: w, demand: q.task.Demand, expiresAt: now + capacityHoldTime})
	e.output.Events = append(e.output.Events, Event{Name: EventCapacityReserved, ID: q.task.ID, Run: q.task.Run, Worker: w.info.ID, Age: now - q.enqueuedAt})
	e.emitReport(q.owner, task.Report{ID: q.task.ID, Run: q.task.Run, Outcome: task.NotRun, Worker: w.info.ID, Reason: ReasonReserved})
}

// startOnHeldCapacity starts an offered task where capacity is held for it. It does not start a task
// that comes too late, as its caller may have an answer by then. Such a task is returned like others
// that have waited too long.
func (e *Executor) startOnHeldCapacity(now time.Duration, q *queuedTask) bool {
	e.dropReservation(q.owner, q.task.ID)
	w := e.releaseHoldOf(q.owner, q.task.ID)
	if w == nil || now >= q.task.StartBy || !e.eligible(now, w, q.task) {
		return false
	}
	e.startTask(now, w, q)
	return true
}

// releaseHoldOf releases the capacity held for a task and returns the worker; nil if none is held.
func (e *Executor) releaseHoldOf(owner member.Process, id task.ID) (w *worker) {
	e.releaseHolds(func(h capacityHold) bool {
		if h.id != id || h.owner != owner {
			return false
		}
		w = h.worker
		return true
	})
	return w
}

// releaseHolds frees the held capacity that match selects.
func (e *Executor) releaseHolds(match func(capacityHold) bool) {
	e.capacityHolds = slices.DeleteFunc(e.capacityHolds, func(h capacityHold) bool {
		if !match(h) {
			return false
		}
		h.worker.used = h.worker.used.Minus(h.demand)
		return true
	})
}
