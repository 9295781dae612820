package node

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/schema"
)

// tellShares adds what callers ask for to a heartbeat, and publishes it with their shares.
func (n *Node) tellShares(now time.Duration, p *schema.Pulse) {
	list := n.coordinator.ShareStates(now)
	n.metrics.shares(list)
	for _, s := range list {
		if s.OwnDemand > 0 {
			p.Demands = append(p.Demands, &schema.Demand{Service: s.Service, Queue: s.Queue, MilliCpu: s.OwnDemand})
		}
	}
}

// shares publishes what a coordinator tells of its queues; others leave the metrics.
func (m *metricSet) shares(list []coordinator.ShareState) {
	shown := make(map[string]bool, len(list))
	for _, s := range list {
		labels := fmt.Sprintf("{service=%q,queue=%q}", s.Service, s.Queue)
		shown[labels] = true
		m.share(labels, s)
	}
	for labels := range m.queues {
		if !shown[labels] {
			for _, name := range []string{queueDemand, queueShare, surplusJobs, surplusRefusals} {
				m.set.UnregisterMetric(name + labels)
			}
		}
	}
	m.queues = shown
}

// Names of the metrics of a queue.
const (
	queueDemand     = "lavendercleat_queue_demand_cores"
	queueShare      = "lavendercleat_queue_share_cores"
	surplusJobs     = "lavendercleat_surplus_jobs_total"
	surplusRefusals = "lavendercleat_surplus_refusals_total"
)

// share publishes a queue's demand and share in this failure domain, and this daemon's jobs
// beyond it.
func (m *metricSet) share(labels string, s coordinator.ShareState) {
	m.set.GetOrCreateGauge(queueDemand+labels, nil).Set(s.Demand / 1000)
	m.set.GetOrCreateGauge(queueShare+labels, nil).Set(s.Share / 1000)
	m.set.GetOrCreateCounter(surplusJobs + labels).Set(s.OverShare)
	m.set.GetOrCreateCounter(surplusRefusals + labels).Set(s.Refused)
}

// demandsFromPulse takes what a peer's callers ask for.
func demandsFromPulse(pulse *schema.Pulse) []coordinator.Demand {
	var list []coordinator.Demand
	for _, d := range pulse.GetDemands() {
		list = append(list, coordinator.Demand{Service: d.GetService(), Queue: d.GetQueue(), MilliCPU: d.GetMilliCpu()})
	}
	return list
}

// surplusToWire leaves out a band without work, which is the usual one.
func surplusToWire(work []int64) []int64 {
	for _, w := range work {
		if w != 0 {
			return work
		}
	}
	return nil
}
