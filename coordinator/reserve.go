package coordinator

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// maxReservations is the number of further executors that are asked to reserve capacity for a queued
// task. A job is as late as its last task: if each task were queued at one executor only, a wide job
// would wait for the slowest of many queues. Each reservation costs an entry in a message to the
// executor, and another to drop it.
const maxReservations = 2

// EventTaskMoves is the name of the event that a task is asked back to use reserved capacity.
const EventTaskMoves = "task_moves"

// reserve asks other executors to reserve capacity for a task that is queued at one.
func (c *Coordinator) reserve(now time.Duration, t *jobTask) {
	if t.Durable {
		return
	}
	// The offer has replaced the reservation at its executor; lost executors have forgotten theirs.
	t.reservedAt = slices.DeleteFunc(t.reservedAt, func(p member.Process) bool { return p == t.holder || c.executors.get(p) == nil })
	var usable []member.Process
	for _, h := range c.executors.usableFor(now, &t.Task) {
		if h.Process != t.holder && !slices.Contains(t.reservedAt, h.Process) {
			usable = append(usable, h.Process)
		}
	}
	wanted := t.Task
	wanted.Payload, wanted.MaxEpoch = "", 0 // the offer carries them
	first := int(pseudoRandom(&t.Task) % (1 << 30))
	for i := range min(len(usable), maxReservations-len(t.reservedAt)) {
		p := usable[(first+i)%len(usable)]
		t.reservedAt = append(t.reservedAt, p)
		m := c.messageTo(p, func(m *Message) bool { return m.Reserve != nil })
		m.Reserve = append(m.Reserve, wanted)
	}
}

// messageTo returns the last message to an executor if it is of the kind, and else a new one. It
// never adds to an earlier message: what was sent in between would be overtaken.
func (c *Coordinator) messageTo(to member.Process, ofKind func(*Message) bool) *Message {
	for i := len(c.out.Messages) - 1; i >= 0; i-- {
		if m := &c.out.Messages[i]; m.To == to {
			if ofKind(m) {
				return m
			}
			break
		}
	}
	c.out.Messages = append(c.out.Messages, Message{To: to})
	return &c.out.Messages[len(c.out.Messages)-1]
}

// unreserve drops all reservations of a task, and the capacity that is reserved for it.
func (c *Coordinator) unreserve(t *jobTask) {
	for _, p := range t.reservedAt {
		c.dropReservation(p, t.ID)
	}
	if t.moveTo != (member.Process{}) {
		c.dropReservation(t.moveTo, t.ID)
	}
	t.reservedAt, t.moveTo = nil, member.Process{}
}

func (c *Coordinator) dropReservation(at member.Process, id task.ID) {
	m := c.messageTo(at, func(m *Message) bool { return m.Unreserve != nil })
	m.Unreserve = append(m.Unreserve, id)
}

// handleReservedCapacity handles the report of an executor that has reserved capacity for a task. It
// asks the task back, if it is still queued elsewhere, to offer it to that executor.
func (c *Coordinator) handleReservedCapacity(from member.Process, r task.Report) {
	t := c.lookup(r.ID)
	if t == nil {
		c.dropReservation(from, r.ID)
		return
	}
	t.reservedAt = slices.DeleteFunc(t.reservedAt, func(p member.Process) bool { return p == from })
	if t.state != offered || !t.queued || t.reclaiming || t.holder == from || t.offers >= maxMoves {
		c.dropReservation(from, r.ID)
		return
	}
	t.reclaiming, t.moveTo = true, from
	c.event(EventTaskMoves, t, fmt.Sprintf("from=%s to=%s", t.holder.Address, from.Address))
	c.reclaim(t)
}

// chooseExecutor returns the executor to offer the task to: one with reserved capacity, one with free
// capacity, or one at which the task has to queue. hasCapacity is false for the last; h is nil when no
// executor can take the task.
func (c *Coordinator) chooseExecutor(now time.Duration, t *jobTask) (h *ExecutorState, hasCapacity bool) {
	h = c.executors.get(t.moveTo)
	t.moveTo = member.Process{}
	if h != nil && h.offerable(now) {
		return h, true
	}
	if h = c.executors.place(now, &t.Task); h != nil {
		return h, true
	}
	if h = c.executors.chooseQueue(now, &t.Task); h != nil {
		h.addBacklog(now, &t.Task)
	}
	return h, false
}
