// Exchange of the workers' slowdowns between coordinator and executor.

package node

import "time"

// shareSlowdowns passes the slowdowns that peers reported to this daemon's executor: the median of
// each service, and those that earlier holders measured for its workers. The caller holds the lock.
func (n *Node) shareSlowdowns(now time.Duration) {
	n.executor.SetMedianSlowdowns(n.coordinator.MedianSlowdowns(now))
	n.executor.ImportSlowdowns(now, func(worker string) (float64, time.Duration) { return n.coordinator.Slowdown(now, worker) })
}
