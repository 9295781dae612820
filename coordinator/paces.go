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
	minPaces = 4
	// usualAge is for how long the usual pace is used before it is found anew: paces are told with
	// heartbeats.
	usualAge = 100 * time.Millisecond
	// slowRatio is how many times as long as usual runs take on a worker that counts as slow;
	// less is chance, or makes no task late.
	slowRatio = 1.3
	// paceMemory is how long a pace that a lost holder told is kept for the worker's next one.
	paceMemory = 30 * time.Second
)

// toldPace is what a holder told of a worker.
type toldPace struct {
	ratio float64
	at    time.Duration
}

// paces is what is known of the speed of workers.
type paces struct {
	// usual is the median of all told ratios, by service, found at a time.
	usual map[string]float64
	at    time.Duration
	// lost holds what holders told that are gone, by worker.
	lost map[string]toldPace
}

// MedianSlowdowns returns, by service, how many times as long as declared runs take on a usual worker:
// the median over all executors that are in touch, which half of the workers can't change.
func (c *Coordinator) MedianSlowdowns(now time.Duration) map[string]float64 {
	return c.rooms.usualPaces(now)
}

func (r *rooms) usualPaces(now time.Duration) map[string]float64 {
	if r.paces.usual != nil && now-r.paces.at < usualAge {
		return r.paces.usual
	}
	told := make(map[string][]float64)
	for _, h := range r.holders {
		for i := range h.Workers {
			if w := &h.Workers[i]; w.Slowdown > 0 && h.offerable(now) {
				told[w.Service] = append(told[w.Service], w.Slowdown)
			}
		}
	}
	r.paces.usual, r.paces.at = make(map[string]float64, len(told)), now
	for service, list := range told {
		if len(list) >= minPaces {
			slices.Sort(list)
			r.paces.usual[service] = list[len(list)/2]
		}
	}
	return r.paces.usual
}

// Slowdown returns what was told of a worker last, and how long ago; 0 where nothing was.
func (c *Coordinator) Slowdown(now time.Duration, worker string) (ratio float64, age time.Duration) {
	for _, h := range c.rooms.holders {
		for i := range h.Workers {
			if w := &h.Workers[i]; w.Worker == worker && w.Slowdown > 0 {
				return w.Slowdown, now - h.ReportedAt
			}
		}
	}
	if p, ok := c.rooms.paces.lost[worker]; ok {
		return p.ratio, now - p.at
	}
	return 0, 0
}

// keep remembers what a holder told that is lost.
func (p *paces) keep(now time.Duration, h *ExecutorState) {
	if p.lost == nil {
		p.lost = make(map[string]toldPace)
	}
	for worker, told := range p.lost {
		if now-told.at > paceMemory {
			delete(p.lost, worker)
		}
	}
	for i := range h.Workers {
		if w := &h.Workers[i]; w.Slowdown > 0 {
			p.lost[w.Worker] = toldPace{w.Slowdown, h.ReportedAt}
		}
	}
}

// usualRatio is what runs take on a usual worker of a service; 0: not known.
type usualRatio float64

func (r *rooms) usualRatio(now time.Duration, service string) usualRatio {
	return usualRatio(r.usualPaces(now)[service])
}

// maxSpeed bounds by how much a worker counts for more, or for less, than its room: a pace that is
// told wrongly must not make room out of nothing.
const maxSpeed = 3

// speed is the declared work that a worker does in the time that was declared for it.
func (u usualRatio) speed(w *executor.WorkerCapacity) float64 {
	pace := cmp.Or(w.Slowdown, float64(u), 1)
	return min(max(1/pace, 1.0/maxSpeed), maxSpeed)
}

// lasting is how long work lasts on usual workers that takes a time by what was declared.
func (u usualRatio) lasting(declared time.Duration) time.Duration {
	if u <= 0 {
		return declared
	}
	return time.Duration(min(max(float64(u), 1.0/maxSpeed), maxSpeed) * float64(declared))
}

// tooSlow reports whether a worker is no room for the task by its speed.
func (u usualRatio) tooSlow(now time.Duration, w *executor.WorkerCapacity, t *task.Task) bool {
	return u > 0 && w.Slowdown >= slowRatio*float64(u) && executor.TooSlow(now, t, w.Slowdown/float64(u))
}
