// Demands in heartbeats: a heartbeat contains them only after a significant change.

package mesh

import (
	"slices"

	"github.com/lavendercleat/lavendercleat/schema"
)

// demandChangeDivisor sets the smallest change of a queue's demand that is sent again: 1/8 of the demand.
// A demand is a decaying mean over a few jobs, so smaller changes carry no information.
const demandChangeDivisor = 8

// updateDemands records whether links must send the demands of a heartbeat again. If no demand has
// changed significantly, it puts the demands that were sent before into the heartbeat. If no demands are
// left, it puts in one empty demand, because a heartbeat without demands means that they are unchanged.
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

// addUnchangedDemands adds the demands that this connection received earlier, if the heartbeat has none.
func (s *receivedState) addUnchangedDemands(p *schema.Pulse) {
	if len(p.GetDemands()) > 0 {
		s.demands = p.GetDemands()
		return
	}
	p.Demands = s.demands
}
