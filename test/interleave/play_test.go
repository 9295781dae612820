package interleave

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// kind is a kind of fault.
type faultKind string

const (
	// silent: nothing passes from at to to.
	blockedOneWay faultKind = "silent"
	// parted: nothing passes between at and to.
	blockedBothWays faultKind = "parted"
	// still: a daemon stands still.
	paused faultKind = "still"
	// noticesLate, pulsesLate: a daemon notices silence later; sends no heartbeats for a while.
	lateDetection  faultKind = "notices late"
	lateHeartbeats faultKind = "pulses late"
	// answersLost: a worker's answers are held up beyond all limits. ordersLate: it carries orders
	// out later, and doesn't answer.
	lostAnswers faultKind = "answers lost"
	lateOrders  faultKind = "orders late"
	// draining: a worker begins to drain.
	draining faultKind = "drains"
	// assigned: the worker at is assigned to the daemon to.
	reassigned faultKind = "assigned"
	// leaves: the caller hangs up, which is read some time later.
	callerLeaves faultKind = "caller leaves"
)

// fault is one deviation from the usual course, relative to the job's arrival.
type fault struct {
	kind         faultKind
	node, target string
	start        time.Duration
	// lasts is its length, or by how much something is late.
	duration time.Duration
}

// orderWindow is for how long a worker leaves orders or answers for later.
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

// arrange schedules what a fault does by itself.
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

// cut reports whether nothing passes now.
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

// extra is by how much something is late now.
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

// base is what a play begins with.
type base struct {
	name string
	// preferences are the daemons that hold each worker, the first that is a member.
	preferences []string
	// fillBefore is how long before the job all workers got other work, of length fillWork.
	fillBefore, fillWork time.Duration
	// work is how long the job's first task takes, each further one more longer than the one before.
	work, extraWork time.Duration
	// tasks is the number of the job's tasks; 0: 2.
	tasks int
	// draw names the job, which decides where of several places its tasks go.
	jobName string
	// kept: the job is stored. again: a caller whose job is given up comes again elsewhere.
	durable, callerRetries bool
	// standing are faults of all plays of the base.
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

// length is how long a play is watched from the job's arrival on.
func (b *base) watchTime() time.Duration {
	if b.durable {
		return 7 * time.Second
	}
	return waitLimit + 500*time.Millisecond
}

// play is a base with its faults.
type scenario struct {
	base   base
	faults []fault
}

func (p scenario) String() string { return fmt.Sprintf("%s %v", p.base.name, p.faults) }
