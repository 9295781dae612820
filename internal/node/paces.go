package node

import "time"

// sharePaces takes what peers have told of workers' speed into what this daemon's executor
// decides by: what is usual, and what earlier holders knew of its workers. The lock is held.
func (n *Node) shareSlowdowns(now time.Duration) {
	n.executor.SetMedianSlowdowns(n.coordinator.MedianSlowdowns(now))
	n.executor.ImportSlowdowns(now, func(worker string) (float64, time.Duration) { return n.coordinator.Slowdown(now, worker) })
}
