package node

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/schema"
)

// tellShares adds what callers ask for to a heartbeat, and publishes it with their shares.
func (n *Node) tellShares(now time.Duration, p *schema.Pulse) {
	for _, s := range n.coordinator.Shares(now) {
		n.metrics.share(s)
		if s.Own > 0 {
			p.Demands = append(p.Demands, &schema.Demand{Service: s.Service, Queue: s.Queue, MilliCpu: s.Own})
		}
	}
}

// share publishes a queue's demand and share in this failure domain, and this daemon's jobs
// beyond it.
func (m *metricSet) share(s coordinator.ShareState) {
	labels := fmt.Sprintf("{service=%q,queue=%q}", s.Service, s.Queue)
	m.set.GetOrCreateGauge("lavendercleat_queue_demand_cores"+labels, nil).Set(s.Demand / 1000)
	m.set.GetOrCreateGauge("lavendercleat_queue_share_cores"+labels, nil).Set(s.Share / 1000)
	m.set.GetOrCreateCounter("lavendercleat_surplus_jobs_total" + labels).Set(s.Surplus)
	m.set.GetOrCreateCounter("lavendercleat_surplus_refusals_total" + labels).Set(s.Refused)
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
