package fleet

import "time"

const (
	// MinHeartbeatInterval is the interval of heartbeats in a small fleet.
	MinHeartbeatInterval = 100 * time.Millisecond
	// MaxHeartbeatInterval limits the interval. A daemon detects that a peer does not answer by
	// heartbeats that the peer did not echo, which takes two intervals in the normal case. With 200 ms,
	// more time than that is left until the peer counts as unreachable.
	MaxHeartbeatInterval = 200 * time.Millisecond
	// heartbeatsPerSecond is the number of heartbeats that a daemon sends to all its peers together,
	// until the interval reaches its maximum. Otherwise a small daemon with many peers would spend
	// much of its processor time on heartbeats.
	heartbeatsPerSecond = 100
)

// HeartbeatInterval returns the time between a daemon's heartbeats to each of its peers. It grows
// with the number of peers, so the cost of heartbeats for a daemon does not. With many peers, older
// reports of their free capacity do no harm: some of the peers have free capacity in any case.
func HeartbeatInterval(peers int) time.Duration {
	return min(max(time.Duration(peers)*time.Second/heartbeatsPerSecond, MinHeartbeatInterval), MaxHeartbeatInterval)
}
