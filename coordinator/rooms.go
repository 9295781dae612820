package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// Holder is what an executor last told of its workers.
type Holder struct {
	Process member.Process
	// Near is the order of preference: 0 for this daemon, 1 for its failure domain, 2 beyond.
	Near int
	// Rooms is what is left on each worker; the coordinator takes off what it offers
	// until the next word of the executor.
	Rooms []executor.Room
	// Backlog is the work in core-ms that waits there, by service.
	Backlog map[string]int64
	// Leaving executors get nothing new.
	Leaving bool
	// Heard is when the executor told this.
	Heard time.Duration
}

// rooms is the coordinator's idea of all executors.
type rooms struct {
	holders []*Holder
}

func (r *rooms) set(h Holder) {
	r.remove(h.Process)
	at, _ := slices.BinarySearchFunc(r.holders, &h, func(a, b *Holder) int {
		return cmp.Or(cmp.Compare(a.Near, b.Near), a.Process.Address.Compare(b.Process.Address), cmp.Compare(a.Process.Incarnation, b.Process.Incarnation))
	})
	r.holders = slices.Insert(r.holders, at, &h)
}

func (r *rooms) get(p member.Process) *Holder {
	for _, h := range r.holders {
		if h.Process == p {
			return h
		}
	}
	return nil
}

func (r *rooms) remove(p member.Process) {
	r.holders = slices.DeleteFunc(r.holders, func(h *Holder) bool { return h.Process == p })
}

// take returns an executor with room for the task now and takes the room off; the
// nearest one with the tightest fit.
func (r *rooms) take(t *task.Task) *Holder {
	for _, h := range r.holders {
		if h.Leaving {
			continue
		}
		if room := h.fit(t); room != nil {
			room.Free = room.Free.Minus(t.Demand)
			return h
		}
	}
	return nil
}

func (h *Holder) fit(t *task.Task) *executor.Room {
	var best *executor.Room
	for i := range h.Rooms {
		w := &h.Rooms[i]
		if !w.Open || w.Service != t.Service || !t.Demand.Fits(w.Free) || slices.Contains(t.Avoid, w.Worker) {
			continue
		}
		if best == nil || w.Free.MilliCPU < best.Free.MilliCPU {
			best = w
		}
	}
	return best
}

// queue returns the executor where the task waits the shortest time and that time.
func (r *rooms) queue(t *task.Task) (*Holder, time.Duration) {
	var best *Holder
	var wait time.Duration
	for _, h := range r.holders {
		if h.Leaving {
			continue
		}
		w, ok := h.wait(t)
		if !ok {
			continue
		}
		if best == nil || w < wait {
			best, wait = h, w
		}
	}
	return best, wait
}

// serves reports whether a worker of the service is known.
func (r *rooms) serves(service string) bool {
	for _, h := range r.holders {
		for _, room := range h.Rooms {
			if room.Usable && room.Service == service {
				return true
			}
		}
	}
	return false
}

// maxCopies bounds how many tasks count as fitting on one worker at a time.
const maxCopies = 1000

// wait is the time for which the work that waits keeps the executor's workers busy; ok is
// false when none of them may run the task. Workers are counted by the number of such
// tasks that fit on them: a part of a worker too small for one task is no room.
func (h *Holder) wait(t *task.Task) (d time.Duration, ok bool) {
	copies := 0
	for _, r := range h.Rooms {
		if r.Usable && r.Service == t.Service {
			copies += t.Demand.Copies(r.Total, maxCopies)
		}
	}
	if copies == 0 {
		return 0, false
	}
	waiting := h.Backlog[t.Service] * 1000 / max(t.Demand.MilliCPU, 1)
	return time.Duration(waiting/int64(copies)) * time.Millisecond, true
}

// charge adds a task to the work that waits at an executor.
func (h *Holder) charge(t *task.Task) {
	if h.Backlog == nil {
		h.Backlog = make(map[string]int64)
	}
	h.Backlog[t.Service] += t.Demand.MilliCPU * t.Expected.Milliseconds() / 1000
}
