package mesh

import (
	"slices"

	"github.com/lavendercleat/lavendercleat/schema"
)

// demandStep is by which part a queue's demand has to change to be told again: it is a decaying
// mean of some jobs, so smaller changes say nothing.
const demandChangeDivisor = 8

// takeDemands notes whether a heartbeat's demands are to be told anew. Those that have hardly
// changed stay as they were told. Where none are left, an empty one says so.
func (c *heartbeatCache) updateDemands(before []*schema.Demand, p *schema.Pulse) {
	if len(p.Demands) == 0 && len(before) > 0 {
		p.Demands = []*schema.Demand{{}}
	}
	if slices.EqualFunc(before, p.Demands, similarDemands) {
		p.Demands = before
		return
	}
	c.demandsChanged = c.number
}

func similarDemands(a, b *schema.Demand) bool {
	change := max(a.MilliCpu-b.MilliCpu, b.MilliCpu-a.MilliCpu)
	return a.Service == b.Service && a.Queue == b.Queue && change <= a.MilliCpu/demandChangeDivisor
}

// completeDemands adds what the connection was told of demands before.
func (s *receivedState) addUnchangedDemands(p *schema.Pulse) {
	if len(p.GetDemands()) > 0 {
		s.demands = p.GetDemands()
		return
	}
	p.Demands = s.demands
}
