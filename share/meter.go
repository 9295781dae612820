package share

import (
	"math"
	"time"
)

const (
	// A rate falls to a third in leastMemory and lastingPart of the time that the work lasts,
	// when nothing more is asked for: what counts is how much would be busy at a time. It is
	// longer for claims of few jobs, where fewestJobs count at least, as each alone would look
	// like a burst.
	minDecayTime    = 100 * time.Millisecond
	decayPerRunTime = 0.5
	minJobsPerDecay = 6
	// longestMemory bounds it: a burst of rare jobs has to show in time too.
	maxDecayTime = 3 * time.Second
	// gapGain is the weight of one more gap between jobs.
	gapSmoothing = 0.125
	// forgetAfter is after how many such times without demand a claim is forgotten: its rate is
	// less than a thousandth of what it was.
	forgetAfterDecays = 8
)

// Meter tells at which rate work is asked for, by claim. The zero value is ready for use. It is
// not safe for concurrent use.
type Meter[K comparable] struct{ rates map[K]rate }

// rate is a decaying mean.
type rate struct {
	perSecond float64
	// memory is the time in which it falls to a third, gap the usual one between jobs.
	decayTime, meanGap time.Duration
	// at is when the last job came.
	lastJobAt time.Duration
}

func (r rate) valueAt(at time.Duration) float64 {
	if r.decayTime == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-float64(at-r.lastJobAt)/float64(r.decayTime))
}

// add counts a job's work, which lasts for a time.
func (r rate) add(now time.Duration, work float64, runTime time.Duration) rate {
	n := rate{meanGap: r.meanGap, lastJobAt: now}
	if r.decayTime > 0 {
		n.meanGap += time.Duration(gapSmoothing * float64(min(now-r.lastJobAt, maxDecayTime)-r.meanGap))
	}
	n.decayTime = min(max(minDecayTime+time.Duration(decayPerRunTime*float64(runTime)), minJobsPerDecay*n.meanGap), maxDecayTime)
	n.perSecond = r.valueAt(now) + work/n.decayTime.Seconds()
	return n
}

// Add counts a job's work, which lasts for a time when it has room.
func (m *Meter[K]) Add(now time.Duration, key K, work float64, runTime time.Duration) {
	if m.rates == nil {
		m.rates = make(map[K]rate)
	}
	m.rates[key] = m.rates[key].add(now, work, runTime)
}

// Rate returns the work that a claim asks for in a second.
func (m *Meter[K]) Rate(now time.Duration, key K) float64 { return m.rates[key].valueAt(now) }

// Rates returns the work asked for in a second, and forgets claims that nobody has made for a
// while.
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
