package share

import "time"

const (
	// usualMemory is the time in which what claims usually ask for follows a change while there is
	// room for all.
	usualMemory = 10 * time.Second
	// shortMemory is the same while room is short. A claim that asks for more than there is must
	// not earn a larger part by it; one that goes on for many minutes has changed for good.
	shortMemory = 5 * time.Minute
	// usualStart is how long claims are learned after a start also while room is short: a
	// process that begins in a burst has to begin with something.
	usualStart = 2 * time.Second
	// longestStep bounds the time for which one observation stands.
	longestStep = 500 * time.Millisecond
	// floorPart is the part of the room that is divided equally among claims whatever they
	// usually ask for: the floor of each, also of one that is new.
	floorPart = 0.25
)

// LearnedShares learns what each claim gets, mostly while there is room for all, and divides short room
// by it: whoever asks for more than usual is cut before those who don't. The zero value is ready
// for use. It is not safe for concurrent use.
type LearnedShares[K comparable] struct {
	means map[K]float64
	// age is for how long it was learned, at the time of the last division.
	age, at time.Duration
}

// Divide returns each claim's part of the capacity: a floor equally, the rest by what is usual.
// Nobody gets more than the demand.
func (u *LearnedShares[K]) Divide(now time.Duration, capacity float64, names []K, demands map[K]float64) map[K]float64 {
	equal, usual := make([]Demand, len(names)), make([]Demand, len(names))
	for i, k := range names {
		equal[i] = Demand{Amount: demands[k]}
	}
	floors := Divide(floorPart*capacity, equal)
	rest, asked := capacity, 0.0
	for i, k := range names {
		rest -= floors[i]
		asked += demands[k]
		usual[i] = Demand{Amount: demands[k] - floors[i], Weight: max(u.means[k], 1)}
	}
	parts := make(map[K]float64, len(names))
	for i, part := range Divide(rest, usual) {
		parts[names[i]] = floors[i] + part
	}
	u.learn(now, parts, asked > capacity)
	return parts
}

// learn takes what claims got, not what they asked for: that has no bounds.
func (u *LearnedShares[K]) learn(now time.Duration, parts map[K]float64, short bool) {
	if u.means == nil {
		u.means, u.at = make(map[K]float64), now
	}
	step := min(max(now-u.at, 0), longestStep)
	u.at = now
	gain := step.Seconds() / shortMemory.Seconds()
	if !short || u.age < usualStart {
		u.age = min(u.age+step, usualMemory)
		gain = step.Seconds() / max(u.age, time.Millisecond).Seconds()
	}
	for k := range parts {
		u.means[k] += 0 // a new claim begins with nothing
	}
	for k, mean := range u.means {
		u.means[k] = mean + gain*(parts[k]-mean)
		if _, asked := parts[k]; !asked && u.means[k] < 1 {
			delete(u.means, k)
		}
	}
}
