package share

import "time"

const (
	// usualMemory is the time in which what claims usually ask for follows a change while there is
	// room for all.
	learnTime = 10 * time.Second
	// shortMemory is the same while room is short. A claim that asks for more than there is must
	// not earn a larger part by it; one that goes on for many minutes has changed for good.
	shortageLearnTime = 5 * time.Minute
	// usualStart is how long claims are learned after a start also while room is short: a
	// process that begins in a burst has to begin with something.
	initialLearnTime = 2 * time.Second
	// longestStep bounds the time for which one observation stands.
	maxStep = 500 * time.Millisecond
	// floorPart is the part of the room that is divided equally among claims whatever they
	// usually ask for: the floor of each, also of one that is new.
	floorShare = 0.25
)

// LearnedShares learns what each claim gets, mostly while there is room for all, and divides short room
// by it: whoever asks for more than usual is cut before those who don't. The zero value is ready
// for use. It is not safe for concurrent use.
type LearnedShares[K comparable] struct {
	means map[K]float64
	// age is for how long it was learned, at the time of the last division.
	learnedFor, lastDivision time.Duration
}

// Divide returns each claim's part of the capacity: a floor equally, the rest by what is usual.
// Nobody gets more than the demand.
func (u *LearnedShares[K]) Divide(now time.Duration, capacity float64, keys []K, demands map[K]float64) map[K]float64 {
	equal, byHistory := make([]Demand, len(keys)), make([]Demand, len(keys))
	for i, k := range keys {
		equal[i] = Demand{Amount: demands[k]}
	}
	floors := Divide(floorShare*capacity, equal)
	rest, totalDemand := capacity, 0.0
	for i, k := range keys {
		rest -= floors[i]
		totalDemand += demands[k]
		byHistory[i] = Demand{Amount: demands[k] - floors[i], Weight: max(u.means[k], 1)}
	}
	shares := make(map[K]float64, len(keys))
	for i, share := range Divide(rest, byHistory) {
		shares[keys[i]] = floors[i] + share
	}
	u.learn(now, shares, totalDemand > capacity)
	return shares
}

// learn takes what claims got, not what they asked for: that has no bounds.
func (u *LearnedShares[K]) learn(now time.Duration, shares map[K]float64, short bool) {
	if u.means == nil {
		u.means, u.lastDivision = make(map[K]float64), now
	}
	step := min(max(now-u.lastDivision, 0), maxStep)
	u.lastDivision = now
	gain := step.Seconds() / shortageLearnTime.Seconds()
	if !short || u.learnedFor < initialLearnTime {
		u.learnedFor = min(u.learnedFor+step, learnTime)
		gain = step.Seconds() / max(u.learnedFor, time.Millisecond).Seconds()
	}
	for k := range shares {
		u.means[k] += 0 // a new claim begins with nothing
	}
	for k, mean := range u.means {
		u.means[k] = mean + gain*(shares[k]-mean)
		if _, active := shares[k]; !active && u.means[k] < 1 {
			delete(u.means, k)
		}
	}
}
