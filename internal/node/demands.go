// Demands and shares of queues, in heartbeats and in metrics.

package node

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/schema"
)

// reportShares adds the demand of this daemon's callers to a heartbeat. It publishes demands and
// shares in the metrics.
func (n *Node) reportShares(now time.Duration, heartbeat *schema.Pulse) {
	queues := n.coordinator.ShareStates(now)
	n.metrics.publishShares(queues)
	for _, s := range queues {
		if s.OwnDemand > 0 {
			heartbeat.Demands = append(heartbeat.Demands, &schema.Demand{Service: s.Service, Queue: s.Queue, MilliCpu: s.OwnDemand})
		}
	}
}

// publishShares publishes a coordinator's queues, and removes the metrics of other queues.
func (m *metricSet) publishShares(list []coordinator.ShareState) {
	shown := make(map[string]bool, len(list))
	for _, s := range list {
		labels := fmt.Sprintf("{service=%q,queue=%q}", s.Service, s.Queue)
		shown[labels] = true
		m.publishShare(labels, s)
	}
	for labels := range m.publishedQueues {
		if !shown[labels] {
			for _, name := range []string{queueDemand, queueShare, overShareJobs, overShareRefusals} {
				m.set.UnregisterMetric(name + labels)
			}
		}
	}
	m.publishedQueues = shown
}

// Names of the metrics of a queue.
const (
	queueDemand       = "lavendercleat_queue_demand_cores"
	queueShare        = "lavendercleat_queue_share_cores"
	overShareJobs     = "lavendercleat_surplus_jobs_total"
	overShareRefusals = "lavendercleat_surplus_refusals_total"
)

// publishShare publishes a queue's demand and share in this failure domain, and this daemon's jobs
// over the share.
func (m *metricSet) publishShare(labels string, s coordinator.ShareState) {
	m.set.GetOrCreateGauge(queueDemand+labels, nil).Set(s.Demand / 1000)
	m.set.GetOrCreateGauge(queueShare+labels, nil).Set(s.Share / 1000)
	m.set.GetOrCreateCounter(overShareJobs + labels).Set(s.OverShare)
	m.set.GetOrCreateCounter(overShareRefusals + labels).Set(s.Refused)
}

// demandsFromHeartbeat returns the demands of a peer's callers.
func demandsFromHeartbeat(heartbeat *schema.Pulse) []coordinator.Demand {
	var list []coordinator.Demand
	for _, d := range heartbeat.GetDemands() {
		list = append(list, coordinator.Demand{Service: d.GetService(), Queue: d.GetQueue(), MilliCPU: d.GetMilliCpu()})
	}
	return list
}

// overShareToWire omits the backlog over the share when it is all zero, which is usual.
func overShareToWire(backlog []int64) []int64 {
	for _, w := range backlog {
		if w != 0 {
			return backlog
		}
	}
	return nil
}
