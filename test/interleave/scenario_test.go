// Scenarios and their faults, and the effects of faults on the simulation.

package interleave

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// faultKind is the kind of a fault. The groups of aimVariable name its text.
type faultKind string

const (
	// blockedOneWay: no message passes from node to target.
	blockedOneWay faultKind = "silent"
	// blockedBothWays: no message passes between node and target.
	blockedBothWays faultKind = "parted"
	// paused: a daemon does nothing, as a process that gets no processor time.
	paused faultKind = "still"
	// lateDetection: a daemon detects later that a peer is unreachable. lateHeartbeats: it sends no
	// heartbeats for a while.
	lateDetection  faultKind = "notices late"
	lateHeartbeats faultKind = "pulses late"
	// lostAnswers: a worker's answers arrive after all time-outs. lateOrders: a worker carries orders
	// out later, and doesn't answer them.
	lostAnswers faultKind = "answers lost"
	lateOrders  faultKind = "orders late"
	// draining: a worker starts to drain.
	draining faultKind = "drains"
	// reassigned: the worker node is assigned to the daemon target.
	reassigned faultKind = "assigned"
	// callerLeaves: the caller closes its connection, and the daemon reads this some time later.
	callerLeaves faultKind = "caller leaves"
)

// fault is one deviation from the regular course. Its start is relative to the job's arrival.
type fault struct {
	kind         faultKind
	node, target string
	start        time.Duration
	// duration is how long the fault lasts, or by how much it delays something.
	duration time.Duration
}

// delayWindow is for how long a worker delays the orders that it gets, or its answers.
const delayWindow = 40 * time.Millisecond

func (f fault) String() string {
	s := fmt.Sprintf("%s %s", f.kind, f.node)
	if f.target != "" {
		s += "-" + f.target
	}
	return fmt.Sprintf("{%s at %v for %v}", strings.TrimSpace(s), f.start, f.duration)
}

func (f fault) active(now time.Duration) bool {
	length := f.duration
	if f.kind == lateOrders {
		length = delayWindow
	}
	return now >= arrival+f.start && now < arrival+f.start+length
}

// schedule schedules the events of a fault that happen by themselves.
func (f fault) schedule(w *world) {
	switch f.kind {
	case paused:
		w.schedule(arrival+f.start, nil, func() { w.daemonNamed(f.node).pausedUntil = w.now + f.duration })
	case draining:
		w.schedule(arrival+f.start, nil, func() {
			w.workers[f.node].draining = true
			for _, d := range w.daemons {
				w.at(w.now+viewDelay(d), d, func() { d.reassign = true })
			}
		})
	case reassigned:
		for _, d := range w.daemons {
			w.schedule(arrival+f.start+viewDelay(d), d, func() { d.reassign = true })
			w.schedule(arrival+f.start+f.duration+viewDelay(d), d, func() { d.reassign = true })
		}
	case callerLeaves:
		w.schedule(arrival+f.start, nil, func() { w.callerHangUp(f.duration) })
	}
}

// blocked reports whether a fault lets no message pass from one node to another now.
func (w *world) blocked(from, to string) bool {
	for _, f := range w.faults {
		switch {
		case f.kind == blockedOneWay && f.node == from && f.target == to,
			f.kind == blockedBothWays && (f.node == from && f.target == to || f.node == to && f.target == from):
			if f.active(w.now) {
				return true
			}
		}
	}
	return false
}

// delay returns by how much a fault of a kind delays something at a node now.
func (w *world) delay(at string, k faultKind) time.Duration {
	for _, f := range w.faults {
		if f.kind == k && f.node == at && (k == lateDetection || f.active(w.now)) {
			if k == lostAnswers {
				return time.Hour
			}
			return f.duration
		}
	}
	return 0
}

// base is the fleet and the job of a scenario.
type base struct {
	name string
	// preferences lists for each worker the daemons in their order: the first that is a member holds it.
	preferences []string
	// fillBefore is how long before the job all workers get another job's tasks, fillWork how long the
	// first of these runs.
	fillBefore, fillWork time.Duration
	// work is how long the job's first task runs; each further one runs extraWork longer than the one before.
	work, extraWork time.Duration
	// tasks is the number of the job's tasks; 0 stands for 2.
	tasks int
	// jobName is the job's identifier, which decides on which of several places its tasks go; "" stands for "job".
	jobName string
	// durable: the job is stored. callerRetries: a caller whose job is given up submits it again at
	// another daemon.
	durable, callerRetries bool
	// faults are the faults that all scenarios of the base have.
	faults []fault
}

func (b *base) taskCount() int { return cmp.Or(b.tasks, 2) }

func (b *base) jobID() string { return cmp.Or(b.jobName, "job") }

func (b *base) runTime(id task.ID) time.Duration {
	if id.Job == filler {
		return b.fillWork + time.Duration(id.Index)*150*time.Millisecond
	}
	return b.work + time.Duration(id.Index)*b.extraWork
}

// watchTime is how long after the job's arrival the simulation ends.
func (b *base) watchTime() time.Duration {
	if b.durable {
		return 7 * time.Second
	}
	return waitLimit + 500*time.Millisecond
}

// scenario is a base with its faults.
type scenario struct {
	base   base
	faults []fault
}

func (s scenario) String() string { return fmt.Sprintf("%s %v", s.base.name, s.faults) }
