package executor

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// ReasonReserved is the reason of a report of NotRun for a reservation: there is room for the task
// here, held for holdTime.
const ReasonReserved = "room_reserved"

const (
	// holdTime is how long room is held for a task after its coordinator was told of it: until
	// then it has been asked back from where it waits and offered here, four messages between
	// daemons. Room that is held in vain, as its coordinator is cut off, is back after that.
	capacityHoldTime = 15 * time.Millisecond
	// maxReservations bounds the reservations in a queue, each of which is tried at each step:
	// under a storm of jobs further ones are left out, and their tasks wait where they are.
	maxReservations = 1000
)

// hold is room that is kept for a task that waits at another executor.
type capacityHold struct {
	id        task.ID
	owner     member.Process
	worker    *worker
	demand    capacity.Vector
	expiresAt time.Duration
}

// Reserve queues tasks that wait at other executors. Once there is room for one it is held for a
// moment, and its coordinator is told by a report of NotRun, with ReasonReserved; nothing is started
// before an Offer.
func (e *Executor) Reserve(now time.Duration, owner member.Process, tasks []task.Task) {
	left := maxReservations - e.Reservations()
	for i := range min(len(tasks), left) {
		tasks[i].MaxEpoch = 0 // an offer comes before anything is started, and tells them
		e.dropReservation(owner, tasks[i].ID)
		e.enqueue(&queuedTask{task: &tasks[i], owner: owner, enqueuedAt: now, reserved: true})
	}
	e.returnExpired(now)
	e.schedule(now)
}

// Unreserve drops reservations and what is held for them.
func (e *Executor) Unreserve(now time.Duration, owner member.Process, ids []task.ID) {
	for _, id := range ids {
		e.dropReservation(owner, id)
		e.releaseHoldOf(owner, id)
	}
	e.schedule(now)
}

// Reservations returns the number of tasks that wait elsewhere and have a place in the queue here.
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

// enqueue puts a task into its place in the queue.
func (e *Executor) enqueue(q *queuedTask) {
	at, _ := slices.BinarySearchFunc(e.queue, q, compareQueued)
	e.queue = slices.Insert(e.queue, at, q)
}

// startOrHold uses the room that a worker has for what is next in the queue.
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

// startHeld starts an offered task where room is held for it. One that comes too late isn't
// started, as its caller may have an answer by then; it is given back with what waits.
func (e *Executor) startOnHeldCapacity(now time.Duration, q *queuedTask) bool {
	e.dropReservation(q.owner, q.task.ID)
	w := e.releaseHoldOf(q.owner, q.task.ID)
	if w == nil || now >= q.task.StartBy || !e.eligible(now, w, q.task) {
		return false
	}
	e.startTask(now, w, q)
	return true
}

// takeHold gives held room back and returns its worker; nil when none is held for the task.
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

func (e *Executor) releaseHolds(match func(capacityHold) bool) {
	e.capacityHolds = slices.DeleteFunc(e.capacityHolds, func(h capacityHold) bool {
		if !match(h) {
			return false
		}
		h.worker.used = h.worker.used.Minus(h.demand)
		return true
	})
}
