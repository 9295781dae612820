package executor

import "time"

const (
	// maxOrderTimeout is the longest wait for an answer to a start or a stop. If the answer is lost
	// or late, an extra poll of the worker's lists finds out what happened, at little cost.
	maxOrderTimeout = 150 * time.Millisecond
	// minOrderTimeout is the shortest such wait. A worker answers within a few ms, but a daemon on a
	// fifth of a core may stand still for some tens of ms.
	minOrderTimeout = 60 * time.Millisecond
	// minSuspicionDelay is the least time after which an extra poll asks about a start without an
	// answer. The wait for the start's answer goes on meanwhile. A worker answers within a few ms.
	// The extra poll is cheap and settles by itself what the start's answer would have settled, so
	// it may come sooner than the start's time-out. If it came too soon, the executor would stop
	// starts that a busy machine delays just as they arrive, and start their tasks a second time.
	minSuspicionDelay = 30 * time.Millisecond
	// answerGain and deviationGain are the weights of one answer in the mean and in the mean
	// deviation, as in TCP's round-trip estimate. deviationCount is how many deviations are added
	// to the mean. It is two more than in TCP, as an order that times out costs its connection too.
	answerGain     = 0.125
	deviationGain  = 0.25
	deviationCount = 6
)

// latencyEstimate estimates how long workers take to answer orders. It sets how soon the executor
// looks into orders without an answer: for jobs of some hundred ms, a tenth of a second sooner
// decides whether they are on time. The zero value has no observations.
type latencyEstimate struct{ mean, deviation time.Duration }

func (l *latencyEstimate) observe(d time.Duration) {
	if l.mean == 0 {
		l.mean, l.deviation = d, d/2
		return
	}
	l.deviation += time.Duration(deviationGain * float64((d-l.mean).Abs()-l.deviation))
	l.mean += time.Duration(answerGain * float64(d-l.mean))
}

// timeout is how long to wait for an answer.
func (l *latencyEstimate) timeout() time.Duration { return l.boundedBelow(minOrderTimeout) }

// suspicionDelay is the time after which an extra poll asks about a start without an answer.
func (l *latencyEstimate) suspicionDelay() time.Duration { return l.boundedBelow(minSuspicionDelay) }

// boundedBelow returns the estimate, at least the given time and at most maxOrderTimeout.
func (l *latencyEstimate) boundedBelow(least time.Duration) time.Duration {
	if l.mean == 0 {
		return maxOrderTimeout
	}
	return min(max(l.mean+deviationCount*l.deviation, least), maxOrderTimeout)
}
