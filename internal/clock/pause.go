package clock

import (
	"sync"
	"time"
)

const (
	// PauseThreshold is how late a step may be before the process counts as paused: far above
	// what scheduling and collecting garbage cost, below the time after which peers take
	// a silent entry's slots.
	PauseThreshold = time.Second
	// drainTime is the time after a pause within which requests that waited unread in
	// the sockets are read, by a process that gets the processor when it needs it.
	drainDuration = time.Second
	// drainSlack is how late a beat may be by which the process still counts as getting
	// the processor: ten times the time between beats.
	maxTickDelay = 100 * time.Millisecond
	// maxDrain bounds the drain of a process that never gets the processor in time: until
	// its end, what has just come counts as old, and most of it is refused.
	maxDrainDuration = 5 * time.Second
)

// PauseDetector notices pauses of the process, so that requests which waited unread meanwhile
// are not taken for new ones: their callers may have given up long ago. It is safe
// for concurrent use.
type PauseDetector struct {
	mu sync.Mutex
	// beat is the time of the latest beat.
	lastTick time.Duration
	// paused is when the latest pause began, woken when it ended. drained is by when what
	// waited meanwhile has been read.
	pauseStart, pauseEnd, drainEnd time.Duration
}

// Tick tells that the process runs; call it many times within a second.
func (p *PauseDetector) Tick(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(now)
}

// EarliestArrival returns the earliest time at which a request that is read now may have
// arrived: now, or the start of a pause that has just ended.
func (p *PauseDetector) EarliestArrival(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(now) // on waking, a request may be read before the next beat
	if now < p.drainEnd {
		return p.pauseStart
	}
	return now
}

func (p *PauseDetector) update(now time.Duration) {
	late, draining := now-p.lastTick, p.lastTick < p.drainEnd
	switch {
	case late > PauseThreshold:
		// A pause that begins before the sockets are read doesn't end the one before: what
		// waited since then would be started after its time.
		if !draining {
			p.pauseStart = p.lastTick
		}
		p.pauseEnd, p.drainEnd = now, now+drainDuration
	case late > maxTickDelay && draining:
		// Beside other processes a beat comes late, and so does the reading of requests.
		p.drainEnd = min(now+drainDuration, max(p.drainEnd, p.pauseEnd+maxDrainDuration))
	}
	p.lastTick = max(p.lastTick, now)
}
