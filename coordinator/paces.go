package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// minPaces is how many workers' paces tell what is usual.
	minSlowdownReports = 4
	// usualAge is for how long the usual pace is used before it is found anew: paces are told with
	// heartbeats.
	medianMaxAge = 100 * time.Millisecond
	// slowRatio is how many times as long as usual runs take on a worker that counts as slow;
	// less is chance, or makes no task late.
	slowFactor = 1.3
	// paceMemory is how long a pace that a lost holder told is kept for the worker's next one.
	slowdownRetention = 30 * time.Second
)

// toldPace is what a holder told of a worker.
type reportedSlowdown struct {
	slowdown   float64
	reportedAt time.Duration
}

// paces is what is known of the speed of workers.
type slowdowns struct {
	// usual is the median of all told ratios, by service, found at a time.
	median     map[string]float64
	computedAt time.Duration
	// lost holds what holders told that are gone, by worker.
	lost map[string]reportedSlowdown
}

// MedianSlowdowns returns, by service, how many times as long as declared runs take on a usual worker:
// the median over all executors that are in touch, which half of the workers can't change.
func (c *Coordinator) MedianSlowdowns(now time.Duration) map[string]float64 {
	return c.executors.medianSlowdowns(now)
}

func (r *executors) medianSlowdowns(now time.Duration) map[string]float64 {
	if r.slowdowns.median != nil && now-r.slowdowns.computedAt < medianMaxAge {
		return r.slowdowns.median
	}
	byService := make(map[string][]float64)
	for _, h := range r.list {
		for i := range h.Workers {
			if w := &h.Workers[i]; w.Slowdown > 0 && h.offerable(now) {
				byService[w.Service] = append(byService[w.Service], w.Slowdown)
			}
		}
	}
	r.slowdowns.median, r.slowdowns.computedAt = make(map[string]float64, len(byService)), now
	for service, list := range byService {
		if len(list) >= minSlowdownReports {
			slices.Sort(list)
			r.slowdowns.median[service] = list[len(list)/2]
		}
	}
	return r.slowdowns.median
}

// Slowdown returns what was told of a worker last, and how long ago; 0 where nothing was.
func (c *Coordinator) Slowdown(now time.Duration, worker string) (slowdown float64, age time.Duration) {
	for _, h := range c.executors.list {
		for i := range h.Workers {
			if w := &h.Workers[i]; w.Worker == worker && w.Slowdown > 0 {
				return w.Slowdown, now - h.ReportedAt
			}
		}
	}
	if p, ok := c.executors.slowdowns.lost[worker]; ok {
		return p.slowdown, now - p.reportedAt
	}
	return 0, 0
}

// keep remembers what a holder told that is lost.
func (p *slowdowns) retain(now time.Duration, h *ExecutorState) {
	if p.lost == nil {
		p.lost = make(map[string]reportedSlowdown)
	}
	for worker, reported := range p.lost {
		if now-reported.reportedAt > slowdownRetention {
			delete(p.lost, worker)
		}
	}
	for i := range h.Workers {
		if w := &h.Workers[i]; w.Slowdown > 0 {
			p.lost[w.Worker] = reportedSlowdown{w.Slowdown, h.ReportedAt}
		}
	}
}

// usualRatio is what runs take on a usual worker of a service; 0: not known.
type medianSlowdown float64

func (r *executors) medianSlowdown(now time.Duration, service string) medianSlowdown {
	return medianSlowdown(r.medianSlowdowns(now)[service])
}

// maxSpeed bounds by how much a worker counts for more, or for less, than its room: a pace that is
// told wrongly must not make room out of nothing.
const maxSpeed = 3

// speed is the declared work that a worker does in the time that was declared for it.
func (median medianSlowdown) speed(w *executor.WorkerCapacity) float64 {
	slowdown := cmp.Or(w.Slowdown, float64(median), 1)
	return min(max(1/slowdown, 1.0/maxSpeed), maxSpeed)
}

// lasting is how long work lasts on usual workers that takes a time by what was declared.
func (median medianSlowdown) scale(declared time.Duration) time.Duration {
	if median <= 0 {
		return declared
	}
	return time.Duration(min(max(float64(median), 1.0/maxSpeed), maxSpeed) * float64(declared))
}

// tooSlow reports whether a worker is no room for the task by its speed.
func (median medianSlowdown) tooSlow(now time.Duration, w *executor.WorkerCapacity, t *task.Task) bool {
	return median > 0 && w.Slowdown >= slowFactor*float64(median) && executor.TooSlow(now, t, w.Slowdown/float64(median))
}
