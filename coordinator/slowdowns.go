package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// minSlowdownReports is the least number of workers whose median slowdown is used.
	minSlowdownReports = 4
	// medianMaxAge is how long the computed median slowdowns are used. Executors report slowdowns with
	// their heartbeats only.
	medianMaxAge = 100 * time.Millisecond
	// slowFactor is the slowdown, in multiples of the median one, from which on a worker counts as
	// slow. A smaller difference is chance, or makes no task late.
	slowFactor = 1.3
	// slowdownRetention is how long a slowdown that a lost executor reported is kept for the worker's
	// next holder.
	slowdownRetention = 30 * time.Second
)

// reportedSlowdown is what an executor reported of a worker.
type reportedSlowdown struct {
	slowdown   float64
	reportedAt time.Duration
}

// slowdowns holds what is known of the speed of workers.
type slowdowns struct {
	// median is the median of the reported slowdowns by service, computed at computedAt.
	median     map[string]float64
	computedAt time.Duration
	// lost holds, by worker, what executors reported that are lost since.
	lost map[string]reportedSlowdown
}

// MedianSlowdowns returns the median slowdown by service: the median over the workers of all reachable
// executors. Wrong values of fewer than half of the workers cannot move it beyond the right ones.
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

// Slowdown returns the slowdown that was reported last of a worker, and the age of the report; 0
// where none was.
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

// retain keeps what a lost executor reported.
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

// medianSlowdown is the median slowdown of a service's workers; 0: not known.
type medianSlowdown float64

func (r *executors) medianSlowdown(now time.Duration, service string) medianSlowdown {
	return medianSlowdown(r.medianSlowdowns(now)[service])
}

// maxSpeed bounds the speed of a worker that is computed from its slowdown, and by 1/maxSpeed from
// below: a wrong report must not create capacity out of nothing.
const maxSpeed = 3

// speed returns how much declared work a worker does per unit of time; 1 is as declared.
func (median medianSlowdown) speed(w *executor.WorkerCapacity) float64 {
	slowdown := cmp.Or(w.Slowdown, float64(median), 1)
	return min(max(1/slowdown, 1.0/maxSpeed), maxSpeed)
}

// scale returns how long work of a declared duration takes on workers of the median slowdown.
func (median medianSlowdown) scale(declared time.Duration) time.Duration {
	if median <= 0 {
		return declared
	}
	return time.Duration(min(max(float64(median), 1.0/maxSpeed), maxSpeed) * float64(declared))
}

// tooSlow reports whether the worker is so slow that the task must not be placed on it.
func (median medianSlowdown) tooSlow(now time.Duration, w *executor.WorkerCapacity, t *task.Task) bool {
	return median > 0 && w.Slowdown >= slowFactor*float64(median) && executor.TooSlow(now, t, w.Slowdown/float64(median))
}
