// The detection of pauses of the process, and of requests that waited unread during a pause.

package clock

import (
	"sync"
	"time"
)

const (
	// PauseThreshold is how late a periodic step may be before the process counts as paused. It is far above
	// the delays of scheduling and garbage collection, and below the time after which peers use a silent
	// entry's slots.
	PauseThreshold = time.Second
	// drainDuration is the time after a pause within which a process that gets enough processor time has read
	// the requests that waited in its sockets.
	drainDuration = time.Second
	// maxTickDelay is the time between ticks up to which the process counts as getting enough processor time.
	// It is ten times the usual time between ticks.
	maxTickDelay = 100 * time.Millisecond
	// maxDrainDuration limits the drain of a process that never gets enough processor time. Until the drain
	// ends, new requests count as old too, and the process refuses most of them.
	maxDrainDuration = 5 * time.Second
)

// PauseDetector detects pauses of the process. Requests that waited unread during a pause must not count as
// new, because their callers may have stopped waiting long ago. It is safe for concurrent use.
type PauseDetector struct {
	mu sync.Mutex
	// lastTick is the time of the latest tick.
	lastTick time.Duration
	// pauseStart and pauseEnd are when the latest pause began and ended. By drainEnd, the process has read the
	// requests that waited during the pause.
	pauseStart, pauseEnd, drainEnd time.Duration
}

// Tick records that the process runs. The process must call it many times a second.
func (p *PauseDetector) Tick(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(now)
}

// EarliestArrival returns the earliest time at which a request that is read now may have arrived. During
// the drain after a pause it is the start of the pause, and otherwise now.
func (p *PauseDetector) EarliestArrival(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(now) // after a pause, the process may read a request before the next tick
	if now < p.drainEnd {
		return p.pauseStart
	}
	return now
}

// update detects a pause by the time since the last tick. The caller holds mu.
func (p *PauseDetector) update(now time.Duration) {
	sinceTick, draining := now-p.lastTick, p.lastTick < p.drainEnd
	switch {
	case sinceTick > PauseThreshold:
		// A pause that begins during a drain does not replace the earlier pause. Otherwise requests that have
		// waited since the earlier pause would start after their deadlines.
		if !draining {
			p.pauseStart = p.lastTick
		}
		p.pauseEnd, p.drainEnd = now, now+drainDuration
	case sinceTick > maxTickDelay && draining:
		// While other processes use the processor, ticks are late, and so are the reads of requests.
		p.drainEnd = min(now+drainDuration, max(p.drainEnd, p.pauseEnd+maxDrainDuration))
	}
	p.lastTick = max(p.lastTick, now)
}
