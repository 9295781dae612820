package fleet

import "time"

const (
	// MinHeartbeatInterval is the interval of heartbeats in a small fleet.
	MinHeartbeatInterval = 100 * time.Millisecond
	// slowestHeartbeat bounds the interval. A peer's silence is noticed by heartbeats that
	// were not echoed, which takes two intervals when all is well; with 200 ms there is more
	// than that left until the peer counts as lost.
	maxHeartbeatInterval = 200 * time.Millisecond
	// heartbeatsPerSecond is how many heartbeats a daemon sends to all its peers together
	// while their interval may still grow. A small daemon among many peers would else
	// spend much of its processor on them.
	heartbeatsPerSecond = 100
)

// HeartbeatInterval is the time between a daemon's heartbeats to each of its peers. It
// grows with their number, so that what a daemon spends on heartbeats doesn't. Where peers
// are many, older news of their room costs nothing: some of them have room in any case.
func HeartbeatInterval(peers int) time.Duration {
	return min(max(time.Duration(peers)*time.Second/heartbeatsPerSecond, MinHeartbeatInterval), maxHeartbeatInterval)
}
