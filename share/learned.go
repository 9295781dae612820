package share

import "time"

const (
	// learnTime is the time in which a learned share follows a change while the capacity suffices for all.
	learnTime = 10 * time.Second
	// shortageLearnTime is the same while capacity is scarce. A demand that exceeds the capacity must not
	// gain a larger share by it. A demand that lasts for many minutes has changed permanently.
	shortageLearnTime = 5 * time.Minute
	// initialLearnTime is how long after a start shares are learned fast even if capacity is scarce. A
	// process that starts during a burst has no earlier shares to begin with.
	initialLearnTime = 2 * time.Second
	// maxStep limits the time for which one observation counts.
	maxStep = 500 * time.Millisecond
	// floorShare is the part of the capacity that is divided equally among the demands, independent of
	// what was learned. It is the least share of each demand, new ones included.
	floorShare = 0.25
)

// LearnedShares learns the share of each demand, mostly while the capacity suffices for all, and divides
// scarce capacity by these shares. A demand that is higher than usual is reduced before those that are
// not. The zero value is ready for use. It is not safe for concurrent use.
type LearnedShares[K comparable] struct {
	means map[K]float64
	// learnedFor is the time for which shares were learned, up to learnTime.
	learnedFor, lastDivision time.Duration
}

// Divide returns the share of the capacity for each key: first an equal floor, then the rest by the learned
// shares. No key gets more than its demand.
func (l *LearnedShares[K]) Divide(now time.Duration, capacity float64, keys []K, demands map[K]float64) map[K]float64 {
	equal, byHistory := make([]Demand, len(keys)), make([]Demand, len(keys))
	for i, k := range keys {
		equal[i] = Demand{Amount: demands[k]}
	}
	floors := Divide(floorShare*capacity, equal)
	rest, totalDemand := capacity, 0.0
	for i, k := range keys {
		rest -= floors[i]
		totalDemand += demands[k]
		byHistory[i] = Demand{Amount: demands[k] - floors[i], Weight: max(l.means[k], 1)}
	}
	shares := make(map[K]float64, len(keys))
	for i, share := range Divide(rest, byHistory) {
		shares[keys[i]] = floors[i] + share
	}
	l.learn(now, shares, totalDemand > capacity)
	return shares
}

// learn updates the means with the shares that the keys got. It does not use the demands, which are
// unbounded.
func (l *LearnedShares[K]) learn(now time.Duration, shares map[K]float64, short bool) {
	if l.means == nil {
		l.means, l.lastDivision = make(map[K]float64), now
	}
	step := min(max(now-l.lastDivision, 0), maxStep)
	l.lastDivision = now
	gain := step.Seconds() / shortageLearnTime.Seconds()
	if !short || l.learnedFor < initialLearnTime {
		l.learnedFor = min(l.learnedFor+step, learnTime)
		gain = step.Seconds() / max(l.learnedFor, time.Millisecond).Seconds()
	}
	for k := range shares {
		l.means[k] += 0 // a new key starts with a mean of 0
	}
	for k, mean := range l.means {
		l.means[k] = mean + gain*(shares[k]-mean)
		if _, active := shares[k]; !active && l.means[k] < 1 {
			delete(l.means, k)
		}
	}
}
