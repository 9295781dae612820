package share

import (
	"math"
	"time"
)

const (
	// When no more work is added, a rate falls to a third (1/e) in minDecayTime plus decayPerRunTime of the
	// run time of the work. The relevant quantity is the capacity that would be in use at one time. The
	// decay time is longer for demands of few jobs, each of which would otherwise look like a burst: it
	// covers at least minJobsPerDecay jobs.
	minDecayTime    = 100 * time.Millisecond
	decayPerRunTime = 0.5
	minJobsPerDecay = 6
	// maxDecayTime limits the decay time, so that a burst of rare jobs still raises the rate in time.
	maxDecayTime = 3 * time.Second
	// gapSmoothing is the weight of the latest gap between jobs in the mean gap.
	gapSmoothing = 0.125
	// forgetAfterDecays is the number of decay times without work after which a demand is removed. Its
	// rate is then less than a thousandth of its former value.
	forgetAfterDecays = 8
)

// Meter measures the rate at which work is demanded, by key. The zero value is ready for use. It is not
// safe for concurrent use.
type Meter[K comparable] struct{ rates map[K]rate }

// rate is an exponentially decaying mean.
type rate struct {
	perSecond float64
	// decayTime is the time in which the rate falls to a third, meanGap the mean time between jobs.
	decayTime, meanGap time.Duration
	// lastJobAt is when the last job was added.
	lastJobAt time.Duration
}

func (r rate) valueAt(at time.Duration) float64 {
	if r.decayTime == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-float64(at-r.lastJobAt)/float64(r.decayTime))
}

// add returns the rate after one more job with an amount of work and a run time.
func (r rate) add(now time.Duration, work float64, runTime time.Duration) rate {
	n := rate{meanGap: r.meanGap, lastJobAt: now}
	if r.decayTime > 0 {
		n.meanGap += time.Duration(gapSmoothing * float64(min(now-r.lastJobAt, maxDecayTime)-r.meanGap))
	}
	n.decayTime = min(max(minDecayTime+time.Duration(decayPerRunTime*float64(runTime)), minJobsPerDecay*n.meanGap), maxDecayTime)
	n.perSecond = r.valueAt(now) + work/n.decayTime.Seconds()
	return n
}

// Add counts one job's work, which takes runTime once it has capacity.
func (m *Meter[K]) Add(now time.Duration, key K, work float64, runTime time.Duration) {
	if m.rates == nil {
		m.rates = make(map[K]rate)
	}
	m.rates[key] = m.rates[key].add(now, work, runTime)
}

// Rate returns the work per second that is demanded under a key.
func (m *Meter[K]) Rate(now time.Duration, key K) float64 { return m.rates[key].valueAt(now) }

// Rates returns the work per second demanded under each key, and removes the keys without recent work.
func (m *Meter[K]) Rates(now time.Duration) map[K]float64 {
	rates := make(map[K]float64, len(m.rates))
	for key, r := range m.rates {
		if now-r.lastJobAt > forgetAfterDecays*r.decayTime {
			delete(m.rates, key)
			continue
		}
		rates[key] = r.valueAt(now)
	}
	return rates
}
