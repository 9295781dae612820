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

// ExecutorState is what an executor reported last of its workers and its daemon's callers.
type ExecutorState struct {
	Process member.Process
	// Distance orders executors by preference: 0 for this daemon, 1 for its failure domain, 2 beyond.
	Distance int
	// Domain is the failure domain of the daemon, Demands is what its callers ask for.
	Domain  string
	Demands []Demand
	// Workers is the free capacity of each worker. The coordinator subtracts what it offers until the
	// executor's next report.
	Workers []executor.WorkerCapacity
	// Backlog is the work that is queued there, by service.
	Backlog map[string]executor.Backlog
	// Leaving executors are offered no new tasks.
	Leaving bool
	// ReportedAt is when the executor reported this; 0: not known.
	ReportedAt time.Duration
	// ReportInterval is the time until the executor's next report is due; 0: 100 ms.
	ReportInterval time.Duration
	fitCount       fitCount
	// maxEpoch is the number of the executor's latest known holding epoch; 0: not reported.
	maxEpoch uint64
}

// fitCount caches how many tasks of one kind an executor's workers can run at a time. The tasks of a
// job are alike, and placing each of them asks for the count of every executor several times.
type fitCount struct {
	key         fitCountKey
	inTime, all int
}

// fitCountKey is what the count depends on besides the workers.
type fitCountKey struct {
	service       string
	demand        capacity.Vector
	median        medianSlowdown
	now           time.Duration
	due, expected time.Duration
}

const (
	// defaultReportInterval is the interval of reports of an executor that does not name its own.
	defaultReportInterval = 100 * time.Millisecond
	// overdueTolerance is how late an executor's next report may be before the executor is offered no
	// new tasks. It counts as lost only after several intervals. Tasks offered until then to an executor
	// that is cut off, frozen or without power would be lost to their callers.
	overdueTolerance = 200 * time.Millisecond
)

// offerable reports whether new tasks are offered to the executor.
func (h *ExecutorState) offerable(now time.Duration) bool {
	return !h.Leaving && (h.ReportedAt == 0 || now-h.ReportedAt <= cmp.Or(h.ReportInterval, defaultReportInterval)+overdueTolerance)
}

// executors is the coordinator's view of all executors.
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
	*before = h // replaced in place, as the state of this daemon's own executor is updated at each event
	before.closeRetired(r.retired)
}

func (r *executors) insert(h ExecutorState) {
	h.closeRetired(r.retired)
	at, _ := slices.BinarySearchFunc(r.list, &h, func(a, b *ExecutorState) int {
		return cmp.Or(cmp.Compare(a.Distance, b.Distance), a.Process.Address.Compare(b.Process.Address), cmp.Compare(a.Process.Incarnation, b.Process.Incarnation))
	})
	r.list = slices.Insert(r.list, at, &h)
}

// copyTo makes p a copy in which placements can be simulated. It reuses the memory of p, as in an
// overload each job without free capacity needs a copy.
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

// place returns an executor with free capacity for the task, and subtracts the task's demand there: the
// nearest executor, and on it the worker with the tightest fit. Among equally near executors the
// search starts at a pseudo-random one for each task: coordinators that all started with the same one
// would compete for its capacity.
func (r *executors) place(now time.Duration, t *task.Task) *ExecutorState {
	h, w := r.findPlacement(now, t)
	if h != nil {
		w.Free = w.Free.Minus(t.Demand)
	}
	return h
}

// fitsAll reports whether there is free capacity for all of the tasks now. It changes nothing.
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

// findPlacement returns the executor to offer the task to, and its worker with free capacity; nil if
// there is none.
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

// usableWorkers returns the number of usable workers of all executors that are offered tasks.
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

// pseudoRandom returns a number that differs between tasks and between the offers of one task.
func pseudoRandom(t *task.Task) uint64 { return xxhash.Sum64String(t.ID.String()) + uint64(t.Run) }

// bestFit returns the worker with the tightest fit for the task that is not too slow for it.
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

// markUnavailable notes that the executor takes no tasks until its next report. Its workers stay
// known: tasks that were offered there may run on them.
func (h *ExecutorState) markUnavailable() {
	for i := range h.Workers {
		h.Workers[i].Open, h.Workers[i].Usable = false, false
	}
	h.fitCount = fitCount{} // it counted the workers that are closed now
}

// markFull notes that the executor has no free capacity for the task now.
func (h *ExecutorState) markFull(t *task.Task) {
	for i := range h.Workers {
		if w := &h.Workers[i]; w.Service == t.Service && t.Demand.Fits(w.Free) {
			w.Free.MilliCPU = t.Demand.MilliCPU - 1
		}
	}
}

// chooseQueue returns the executor at which the task is to be queued: of two pseudo-random ones, the
// one with the shorter wait. If all coordinators chose the shortest wait of all, they would choose the
// same executor until its next heartbeat. It returns nil when no worker may run the task.
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

// usableFor returns the executors with a worker for the task that is not too slow; if there are none,
// those with any worker for the task.
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

// hasService reports whether a usable worker of the service is known.
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

// maxFitCount bounds how many tasks count as fitting on one worker at a time.
const maxFitCount = 1000

// fitCounts returns how many tasks like t the executor's workers can run at a time. A remainder of a
// worker that is too small for one task counts for nothing. all includes workers that are too slow.
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

// waitAt returns how long the work that is queued ahead of the task keeps an executor's workers busy.
func (r *executors) waitAt(now time.Duration, h *ExecutorState, t *task.Task) time.Duration {
	count, _ := h.fitCounts(now, t, r.medianSlowdown(now, t.Service))
	return drainTime(t, h.workAhead(now, t), count)
}

func (h *ExecutorState) workAhead(now time.Duration, t *task.Task) int64 {
	b := h.Backlog[t.Service]
	return b.Ahead(now, t)
}

// sharedWait returns how long the task would wait if all executors had one queue, as tasks are moved
// to free capacity. count is how many such tasks run at a time; 0: no worker may run it. Workers that
// are too slow for the task count only if there are no others.
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

// drainTime returns how long work in core-ms takes on capacity for count tasks like t at a time.
func drainTime(t *task.Task, work int64, count int) time.Duration {
	slots := work * 1000 / max(t.Demand.MilliCPU, 1)
	return time.Duration(slots/int64(max(count, 1))) * time.Millisecond
}

// addBacklog adds a task to the work that is queued at an executor.
func (h *ExecutorState) addBacklog(now time.Duration, t *task.Task) {
	if h.Backlog == nil {
		h.Backlog = make(map[string]executor.Backlog)
	}
	b := h.Backlog[t.Service]
	b.Add(now, t)
	h.Backlog[t.Service] = b
}

// daemonShare returns the cores of all workers of a service divided by the number of daemons.
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
