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
	leastMemory = 100 * time.Millisecond
	lastingPart = 0.5
	fewestJobs  = 6
	// longestMemory bounds it: a burst of rare jobs has to show in time too.
	longestMemory = 3 * time.Second
	// gapGain is the weight of one more gap between jobs.
	gapGain = 0.125
	// forgetAfter is after how many such times without demand a claim is forgotten: its rate is
	// less than a thousandth of what it was.
	forgetAfter = 8
)

// Meter tells at which rate work is asked for, by claim. The zero value is ready for use. It is
// not safe for concurrent use.
type Meter[K comparable] struct{ rates map[K]rate }

// rate is a decaying mean.
type rate struct {
	perSecond float64
	// memory is the time in which it falls to a third, gap the usual one between jobs.
	memory, gap time.Duration
	// at is when the last job came.
	at time.Duration
}

func (r rate) now(now time.Duration) float64 {
	if r.memory == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-float64(now-r.at)/float64(r.memory))
}

// add counts a job's work, which lasts for a time.
func (r rate) add(now time.Duration, work float64, lasting time.Duration) rate {
	n := rate{gap: r.gap, at: now}
	if r.memory > 0 {
		n.gap += time.Duration(gapGain * float64(min(now-r.at, longestMemory)-r.gap))
	}
	n.memory = min(max(leastMemory+time.Duration(lastingPart*float64(lasting)), fewestJobs*n.gap), longestMemory)
	n.perSecond = r.now(now) + work/n.memory.Seconds()
	return n
}

// Add counts a job's work, which lasts for a time when it has room.
func (m *Meter[K]) Add(now time.Duration, claim K, work float64, lasting time.Duration) {
	if m.rates == nil {
		m.rates = make(map[K]rate)
	}
	m.rates[claim] = m.rates[claim].add(now, work, lasting)
}

// Rate returns the work that a claim asks for in a second.
func (m *Meter[K]) Rate(now time.Duration, claim K) float64 { return m.rates[claim].now(now) }

// Rates returns the work asked for in a second, and forgets claims that nobody has made for a
// while.
func (m *Meter[K]) Rates(now time.Duration) map[K]float64 {
	rates := make(map[K]float64, len(m.rates))
	for claim, r := range m.rates {
		if now-r.at > forgetAfter*r.memory {
			delete(m.rates, claim)
			continue
		}
		rates[claim] = r.now(now)
	}
	return rates
}
