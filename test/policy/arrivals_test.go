// The arrivals of simulated jobs.

package policy

import (
	"fmt"
	"math"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/coordinator"
)

// drawFactor draws a number around 1 with the given spread, between 0.2 and 4.
func (m *model) drawFactor(spread float64) float64 {
	return min(max(math.Exp(m.arrivalRand.NormFloat64()*spread-spread*spread/2), 0.2), 4)
}

// scheduleArrivals draws the jobs of a kind.
func (m *model) scheduleArrivals(k *kind) {
	for at := time.Duration(0); at < m.workload.duration; {
		weights := m.callerWeights(at)
		rate := k.perSecond * sum(weights) / float64(len(weights))
		if m.workload.rateFactor != nil {
			rate *= m.workload.rateFactor(at)
		}
		if m.workload.kindRateFactor != nil {
			rate *= m.workload.kindRateFactor(k.name, at)
		}
		at += time.Duration(m.arrivalRand.ExpFloat64() / rate * float64(time.Second))
		m.scheduleArrival(k, warmUp+at)
	}
}

// callerWeights returns the callers' rate at each daemon, compared with a mean of 1. A single queue,
// which stands for all daemons, gets the weights of the fleet that it is compared with.
func (m *model) callerWeights(at time.Duration) []float64 {
	weights := make([]float64, m.workload.callerDomains*m.workload.daemonsPerCallerDomain)
	for i := range weights {
		weights[i] = 1
		if m.workload.callerShare != nil {
			weights[i] *= m.workload.callerShare(i % m.workload.daemonsPerCallerDomain)
		}
		if m.workload.domainRateFactor != nil {
			weights[i] *= m.workload.domainRateFactor(domainName(i/m.workload.daemonsPerCallerDomain), at)
		}
	}
	return weights
}

// pickPlace returns the index of the weight that a draw from 0 to 1 falls on.
func pickPlace(weights []float64, draw float64) int {
	draw *= sum(weights)
	for i, w := range weights {
		if draw -= w; draw < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func sum(list []float64) (s float64) {
	for _, x := range list {
		s += x
	}
	return s
}

func domainName(n int) string { return fmt.Sprintf("z%d", n) }

// scheduleArrival draws one job of a kind and schedules its submission.
func (m *model) scheduleArrival(k *kind, at time.Duration) {
	id := fmt.Sprintf("%s%06d", k.name, len(m.jobs))
	work := time.Duration(float64(k.runTime) * m.drawFactor(0.4))
	j := &job{kind: k, arrivedAt: at}
	declared := work
	if m.workload.longShare > 0 && m.arrivalRand.Float64() < m.workload.longShare {
		work *= longFactor
	}
	var longest time.Duration
	for range max(1, int(math.Round(k.tasks*m.drawFactor(0.4)))) {
		w := time.Duration(float64(work) * m.drawFactor(0.15))
		j.runTimes = append(j.runTimes, w)
		longest = max(longest, w)
	}
	const stretch, target = 1.6, 60 * time.Millisecond
	objective := time.Duration(stretch*float64(longest)) + target
	j.dueAt, j.endedAt = at+objective, at+3*objective
	m.jobs[id] = j
	c := coordinator.Job{
		ID: id, Service: service, Queue: k.name, Attempts: 3, Priority: k.priority, Stretch: stretch, Target: target, Deadline: j.endedAt,
		Steps: []coordinator.Step{{
			Count:           len(j.runTimes),
			Demand:          capacity.Vector{MilliCPU: int64(min(k.milliCPU*m.drawFactor(0.2), 1.43*k.milliCPU)), MemoryMB: 64},
			ExpectedRunTime: time.Duration(float64(declared) * m.drawFactor(0.4)),
		}},
	}
	j.demand = c.Steps[0].Demand.MilliCPU
	place := pickPlace(m.callerWeights(at-warmUp), m.arrivalRand.Float64())
	d := m.daemons[place*len(m.daemons)/(m.workload.callerDomains*m.workload.daemonsPerCallerDomain)]
	j.domain = domainName(place / m.workload.daemonsPerCallerDomain)
	j.submit = func() {
		j.submissions++
		m.submissions++
		c.Deadline = m.now + 3*objective
		j.dueAt = m.now + objective
		d.step(func() { d.coordinator.Submit(m.now, c) })
		d = m.daemons[int(m.otherRand.Float64()*float64(len(m.daemons)))] // gets the next submission
	}
	m.at(at, j.submit)
}
