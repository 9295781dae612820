package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// ExecutorState is what an executor last told of its workers.
type ExecutorState struct {
	Process member.Process
	// Distance is the order of preference: 0 for this daemon, 1 for its failure domain, 2 beyond.
	Distance int
	// Domain is its failure domain, Demands what its callers ask for.
	Domain  string
	Demands []Demand
	// Workers is what is left on each worker; the coordinator takes off what it offers
	// until the next word of the executor.
	Workers []executor.WorkerCapacity
	// Backlog is the work that waits there, by service.
	Backlog map[string]executor.Backlog
	// Leaving executors get nothing new.
	Leaving bool
	// ReportedAt is when the executor told this; 0: not known.
	ReportedAt time.Duration
	// ReportInterval is the time after which its next word is due; 0: 100 ms.
	ReportInterval time.Duration
	fitCount       fitCount
	// tenures is how many of its tenures are known; 0: not told.
	maxEpoch uint64
}

// counted is how many tasks of a kind an executor's workers can run at a time, as it was asked
// last: the tasks of a job are alike, and each asks it of all executors several times.
type fitCount struct {
	key         fitCountKey
	inTime, all int
}

// countKey is what the count depends on beside the rooms.
type fitCountKey struct {
	service       string
	demand        capacity.Vector
	median        medianSlowdown
	now           time.Duration
	due, expected time.Duration
}

const (
	// usualInterval is the time between an executor's words where it doesn't name it.
	defaultReportInterval = 100 * time.Millisecond
	// overdueSlack is how late an executor's next word may be before it is offered nothing
	// new. It is given up only after several intervals; until then tasks offered to one that
	// is cut off, frozen or without power would be lost to their callers.
	overdueTolerance = 200 * time.Millisecond
)

// offerable reports whether the executor is offered new tasks.
func (h *ExecutorState) offerable(now time.Duration) bool {
	return !h.Leaving && (h.ReportedAt == 0 || now-h.ReportedAt <= cmp.Or(h.ReportInterval, defaultReportInterval)+overdueTolerance)
}

// rooms is the coordinator's idea of all executors.
type executors struct {
	list []*ExecutorState
	// retired are the failure domains whose workers get no new runs.
	retired   map[string]bool
	slowdowns slowdowns
}

func (r *executors) update(h ExecutorState) {
	before := r.get(h.Process)
	h.updateMaxEpoch(before)
	if before == nil || before.Distance != h.Distance {
		r.remove(h.Process)
		r.insert(h)
		return
	}
	*before = h // in its place: this daemon's own is set at each event
	before.closeRetired(r.retired)
}

func (r *executors) insert(h ExecutorState) {
	h.closeRetired(r.retired)
	at, _ := slices.BinarySearchFunc(r.list, &h, func(a, b *ExecutorState) int {
		return cmp.Or(cmp.Compare(a.Distance, b.Distance), a.Process.Address.Compare(b.Process.Address), cmp.Compare(a.Process.Incarnation, b.Process.Incarnation))
	})
	r.list = slices.Insert(r.list, at, &h)
}

// copyTo makes p a copy for trying out where tasks would go. What p has is used again, as in
// an overload each job that finds no room needs such a copy.
func (r *executors) copyTo(p *executors) {
	p.retired, p.slowdowns = r.retired, r.slowdowns
	for len(p.list) < len(r.list) {
		p.list = append(p.list, new(ExecutorState))
	}
	p.list = p.list[:len(r.list)]
	for i, h := range r.list {
		n := p.list[i]
		list, backlog := append(n.Workers[:0], h.Workers...), n.Backlog
		if backlog == nil {
			backlog = make(map[string]executor.Backlog, len(h.Backlog))
		}
		clear(backlog)
		maps.Copy(backlog, h.Backlog)
		*n = *h
		n.Workers, n.Backlog = list, backlog
	}
}

func (r *executors) get(p member.Process) *ExecutorState {
	for _, h := range r.list {
		if h.Process == p {
			return h
		}
	}
	return nil
}

func (r *executors) remove(p member.Process) {
	r.list = slices.DeleteFunc(r.list, func(h *ExecutorState) bool { return h.Process == p })
}

// take returns an executor with room for the task now and takes the room off: the nearest
// one, with the tightest fit. Among equally near ones each task begins with another:
// coordinators that all began with the same would take its room from each other.
func (r *executors) place(now time.Duration, t *task.Task) *ExecutorState {
	h, w := r.findPlacement(now, t)
	if h != nil {
		w.Free = w.Free.Minus(t.Demand)
	}
	return h
}

// fit reports whether there is room for all of the tasks now. It takes nothing.
func (r *executors) fitsAll(now time.Duration, tasks []*task.Task) bool {
	type taken struct {
		w    *executor.WorkerCapacity
		free capacity.Vector
	}
	var undo []taken
	fits := true
	for _, t := range tasks {
		h, w := r.findPlacement(now, t)
		if fits = h != nil; !fits {
			break
		}
		undo = append(undo, taken{w, w.Free})
		w.Free = w.Free.Minus(t.Demand)
	}
	for i := len(undo) - 1; i >= 0; i-- {
		undo[i].w.Free = undo[i].free
	}
	return fits
}

// find returns the executor and the worker that the task is to be offered for.
func (r *executors) findPlacement(now time.Duration, t *task.Task) (*ExecutorState, *executor.WorkerCapacity) {
	median := r.medianSlowdown(now, t.Service)
	draw := int(pseudoRandom(t) % (1 << 30))
	for rest := r.list; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].Distance == rest[0].Distance {
			n++
		}
		for i := range n {
			h := rest[(draw+i)%n]
			if !h.offerable(now) {
				continue
			}
			if w := h.bestFit(now, t, median); w != nil {
				return h, w
			}
		}
		rest = rest[n:]
	}
	return nil, nil
}

// usable is the number of workers that executors in touch have told of.
func (r *executors) usableWorkers(now time.Duration) (n int) {
	for _, h := range r.list {
		if !h.offerable(now) {
			continue
		}
		for i := range h.Workers {
			if h.Workers[i].Usable {
				n++
			}
		}
	}
	return n
}

// drawFor is a pseudo-random number for an offer of the task.
func pseudoRandom(t *task.Task) uint64 { return xxhash.Sum64String(t.ID.String()) + uint64(t.Run) }

// fit returns the worker with the tightest fit that isn't too slow.
func (h *ExecutorState) bestFit(now time.Duration, t *task.Task, median medianSlowdown) *executor.WorkerCapacity {
	var best *executor.WorkerCapacity
	for i := range h.Workers {
		w := &h.Workers[i]
		if !w.Open || w.Service != t.Service || !t.Demand.Fits(w.Free) || slices.Contains(t.Avoid, w.Worker) || median.tooSlow(now, w, t) {
			continue
		}
		if best == nil || w.Free.MilliCPU < best.Free.MilliCPU {
			best = w
		}
	}
	return best
}

// close notes that the executor takes nothing until its next word. Its workers stay known: what
// was offered there may run on them.
func (h *ExecutorState) markUnavailable() {
	for i := range h.Workers {
		h.Workers[i].Open, h.Workers[i].Usable = false, false
	}
	h.fitCount = fitCount{} // those were counted
}

// full notes that the executor has no room for the task now.
func (h *ExecutorState) markFull(t *task.Task) {
	for i := range h.Workers {
		if w := &h.Workers[i]; w.Service == t.Service && t.Demand.Fits(w.Free) {
			w.Free.MilliCPU = t.Demand.MilliCPU - 1
		}
	}
}

// queue returns the executor at which the task is to wait: of two, the one with the shorter
// wait. The shortest of all would be the choice of all coordinators until its next
// heartbeat. Nil when no worker may run the task.
func (r *executors) chooseQueue(now time.Duration, t *task.Task) *ExecutorState {
	usable := r.usableFor(now, t)
	n := uint64(len(usable))
	switch n {
	case 0:
		return nil
	case 1:
		return usable[0]
	}
	draw := pseudoRandom(t)
	first := usable[draw%n]
	second := usable[(draw%n+1+(draw>>32)%(n-1))%n]
	if r.waitAt(now, second, t) < r.waitAt(now, first, t) {
		return second
	}
	return first
}

// holdersFor returns the executors with a worker for the task that isn't too slow; where there
// is none, those with any.
func (r *executors) usableFor(now time.Duration, t *task.Task) []*ExecutorState {
	var inTime, all []*ExecutorState
	median := r.medianSlowdown(now, t.Service)
	for _, h := range r.list {
		if !h.offerable(now) {
			continue
		}
		inTimeCount, count := h.fitCounts(now, t, median)
		if inTimeCount > 0 {
			inTime = append(inTime, h)
		}
		if count > 0 {
			all = append(all, h)
		}
	}
	if len(inTime) == 0 {
		return all
	}
	return inTime
}

// serves reports whether a worker of the service is known.
func (r *executors) hasService(service string) bool {
	for _, h := range r.list {
		for _, w := range h.Workers {
			if w.Usable && w.Service == service {
				return true
			}
		}
	}
	return false
}

// maxCopies bounds how many tasks count as fitting on one worker at a time.
const maxFitCount = 1000

// copies is how many such tasks the executor's workers can run at a time: a part of a
// worker too small for one task is no room. Workers that are too slow are counted in all only.
func (h *ExecutorState) fitCounts(now time.Duration, t *task.Task, median medianSlowdown) (inTime, all int) {
	k := fitCountKey{t.Service, t.Demand, median, now, t.Due, t.ExpectedRunTime}
	if h.fitCount.key == k {
		return h.fitCount.inTime, h.fitCount.all
	}
	for i := range h.Workers {
		w := &h.Workers[i]
		if !w.Usable || w.Service != t.Service {
			continue
		}
		n := t.Demand.FitCount(w.Total, maxFitCount)
		all += n
		if !median.tooSlow(now, w, t) {
			inTime += n
		}
	}
	h.fitCount = fitCount{k, inTime, all}
	return inTime, all
}

// waitAt is the time for which the work before the task keeps an executor's workers busy.
func (r *executors) waitAt(now time.Duration, h *ExecutorState, t *task.Task) time.Duration {
	count, _ := h.fitCounts(now, t, r.medianSlowdown(now, t.Service))
	return drainTime(t, h.workAhead(now, t), count)
}

func (h *ExecutorState) workAhead(now time.Duration, t *task.Task) int64 {
	b := h.Backlog[t.Service]
	return b.Ahead(now, t)
}

// wait is the time for which the task would wait if all executors had one queue: tasks move
// to where there is room. copies is how many of them run at a time; 0: no worker may run it.
// Workers that are too slow for it count only where there are no others.
func (r *executors) sharedWait(now time.Duration, t *task.Task) (wait time.Duration, count int) {
	median := r.medianSlowdown(now, t.Service)
	ahead, all := int64(0), 0
	for _, h := range r.list {
		if !h.offerable(now) {
			continue
		}
		if inTime, n := h.fitCounts(now, t, median); n > 0 {
			all += n
			count += inTime
			ahead += h.workAhead(now, t)
		}
	}
	if count == 0 {
		count = all
	}
	return median.scale(drainTime(t, ahead, count)), count
}

// waitFor is how long work in core-ms lasts on room for a number of copies of the task.
func drainTime(t *task.Task, work int64, count int) time.Duration {
	slots := work * 1000 / max(t.Demand.MilliCPU, 1)
	return time.Duration(slots/int64(max(count, 1))) * time.Millisecond
}

// charge adds a task to the work that waits at an executor.
func (h *ExecutorState) addBacklog(now time.Duration, t *task.Task) {
	if h.Backlog == nil {
		h.Backlog = make(map[string]executor.Backlog)
	}
	b := h.Backlog[t.Service]
	b.Add(now, t)
	h.Backlog[t.Service] = b
}

// share is one daemon's part of the processors, in cores, of all workers of a service.
func (r *executors) daemonShare(now time.Duration, service string) float64 {
	milli, daemons := int64(0), 0
	for _, h := range r.list {
		if !h.offerable(now) {
			continue
		}
		daemons++
		for _, w := range h.Workers {
			if w.Usable && w.Service == service {
				milli += w.Total.MilliCPU
			}
		}
	}
	return float64(milli) / 1000 / float64(max(daemons, 1))
}
