package clock

import (
	"sync"
	"time"
)

const (
	// PauseLimit is how late a step may be before the process counts as paused: far above
	// what scheduling and collecting garbage cost, below the time after which peers take
	// a silent entry's slots.
	PauseLimit = time.Second
	// drainTime is the time after a pause within which requests that waited unread in
	// the sockets are read.
	drainTime = time.Second
)

// Pauses notices pauses of the process, so that requests which waited unread meanwhile
// are not taken for new ones: their callers may have given up long ago. It is safe
// for concurrent use.
type Pauses struct {
	mu sync.Mutex
	// beat is the time of the latest beat.
	beat time.Duration
	// paused and resumed are the ends of the latest pause.
	paused, resumed time.Duration
}

// Beat tells that the process runs; call it many times within a second.
func (p *Pauses) Beat(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step(now)
}

// Received returns the earliest time at which a request that is read now may have
// arrived: now, or the start of a pause that has just ended.
func (p *Pauses) Received(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step(now) // on waking, a request may be read before the next beat
	if p.resumed > 0 && now < p.resumed+drainTime {
		return p.paused
	}
	return now
}

func (p *Pauses) step(now time.Duration) {
	if now-p.beat > PauseLimit {
		p.paused, p.resumed = p.beat, now
	}
	p.beat = max(p.beat, now)
}
