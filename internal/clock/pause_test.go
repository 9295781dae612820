package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process is paused for 30 s. A request that it reads right after the pause may have arrived when the pause
// began, and must not count as new. A request that it reads before or later has just arrived.
func TestRequestReadAfterPauseCountsAsOld(t *testing.T) {
	var p PauseDetector
	const ms = time.Millisecond
	p.Tick(10 * ms)
	assert.Equal(t, p.EarliestArrival(15*ms), 15*ms)
	p.Tick(20 * ms)
	resumed := 30*time.Second + 20*ms
	assert.Equal(t, p.EarliestArrival(resumed), 20*ms)
	for _, at := range every(10*ms, 500*ms) {
		p.Tick(resumed + at)
	}
	assert.Equal(t, p.EarliestArrival(resumed+500*ms), 20*ms)
	for _, at := range every(10*ms, 600*ms) {
		p.Tick(resumed + 500*ms + at)
	}
	assert.Equal(t, p.EarliestArrival(resumed+1100*ms), resumed+1100*ms)
}

// A process resumes after a pause but gets little processor time. It reads requests that waited during the
// pause long after it resumed, or pauses again before it reads them. They must not count as new, or a booking
// would start after its caller has stopped waiting.
func TestDrainIsExtendedOnBusyMachine(t *testing.T) {
	const ms, resumed = time.Millisecond, 5 * time.Second
	for name, c := range map[string]struct {
		// ticks are the times of ticks after the process resumed.
		ticks   []time.Duration
		readAt  time.Duration
		arrival time.Duration
	}{
		"enough processor time":              {ticks: []time.Duration{0, 10 * ms, 20 * ms}, readAt: 900 * ms, arrival: 10 * ms},
		"new request, enough processor time": {ticks: every(90*ms, time.Second), readAt: 1080 * ms, arrival: resumed + 1080*ms},
		"late ticks":                         {ticks: []time.Duration{0, 400 * ms, 800 * ms, 1200 * ms}, readAt: 1300 * ms, arrival: 10 * ms},
		"second pause":                       {ticks: []time.Duration{0, 1500 * ms}, readAt: 1600 * ms, arrival: 10 * ms},
		"second pause after the drain":       {ticks: append(every(90*ms, 1100*ms), 2900*ms), readAt: 2950 * ms, arrival: resumed + 1080*ms},
		"late ticks until the longest drain": {ticks: every(400*ms, 6*time.Second), readAt: 6100 * ms, arrival: resumed + 6100*ms},
	} {
		var p PauseDetector
		p.Tick(10 * ms)
		for _, tick := range c.ticks {
			p.Tick(resumed + tick)
		}
		assert.Equal(t, p.EarliestArrival(resumed+c.readAt), c.arrival, name)
	}
}

func every(step, until time.Duration) (list []time.Duration) {
	for at := time.Duration(0); at < until; at += step {
		list = append(list, at)
	}
	return list
}
