package executor

import "time"

const (
	// maxOrderTime is how long an answer to a start or a stop is waited for at most. What was
	// lost, or comes late, is asked after by a look at the worker's lists, which costs little.
	maxOrderTimeout = 150 * time.Millisecond
	// minOrderTime is the least such time: a worker takes a few ms, and a daemon on a fifth of
	// a core may stand still for some tens.
	minOrderTimeout = 60 * time.Millisecond
	// minSuspicion is the least time after which a start without an answer is asked after,
	// beside the order, which is waited for on. A worker takes a few ms. The question costs one
	// look at the worker, and settles by itself what the order's answer would have; so it can
	// be asked sooner than an order can be given up. Asked too soon, starts that a busy machine
	// holds up would be barred as they come, and their tasks started once more.
	minSuspicionDelay = 30 * time.Millisecond
	// answerGain and deviationGain are the weights of one answer in the mean time and in the
	// mean deviation, deviations how many of these are added; as TCP does for its round trips,
	// with two more, as an order that is given up costs its connection too.
	answerGain     = 0.125
	deviationGain  = 0.25
	deviationCount = 6
)

// answerTime is how long workers take to answer orders. Orders that are not answered are
// found out by it: a tenth of a second sooner is, for jobs of some hundred ms, the
// difference between on time and late. The zero value knows nothing.
type latencyEstimate struct{ mean, deviation time.Duration }

func (a *latencyEstimate) observe(d time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = d, d/2
		return
	}
	a.deviation += time.Duration(deviationGain * float64((d-a.mean).Abs()-a.deviation))
	a.mean += time.Duration(answerGain * float64(d-a.mean))
}

// limit is how long an answer is waited for.
func (a *latencyEstimate) timeout() time.Duration { return a.boundedBelow(minOrderTimeout) }

// suspicion is the time after which a start without an answer is asked after.
func (a *latencyEstimate) suspicionDelay() time.Duration { return a.boundedBelow(minSuspicionDelay) }

func (a *latencyEstimate) boundedBelow(least time.Duration) time.Duration {
	if a.mean == 0 {
		return maxOrderTimeout
	}
	return min(max(a.mean+deviationCount*a.deviation, least), maxOrderTimeout)
}
