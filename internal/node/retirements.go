// Failure domains that the operator has retired: their workers get no new runs.

package node

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

// applyRetirementSnapshot applies all entries that retire failure domains, as the store shows them
// at a revision. Domains that it doesn't show have been reinstated.
func (n *Node) applyRetirementSnapshot(items []registry.Item, revision int64) {
	var shown []registry.Retirement
	for _, i := range items {
		if i.Kind == registry.RetiredDomain && n.validRetirement(i) {
			shown = append(shown, registry.Retirement{Domain: i.ID, Revision: i.Revision, Retired: true})
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.enforceDomainStates(n.fleet.retirements.ApplySnapshot(shown, revision), "store")
}

// applyRetirement applies a change of an entry that retires a failure domain.
func (n *Node) applyRetirement(item registry.Item) {
	if !item.Deleted && !n.validRetirement(item) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyDomainState(registry.Retirement{Domain: item.ID, Revision: item.Revision, Retired: !item.Deleted}, "store")
}

// validRetirement reports whether an entry names a failure domain. It logs and counts an entry that
// is invalid. An entry that names a domain counts even if the rest of it is invalid: to start tasks
// there against the operator's decision would be the worse error.
func (n *Node) validRetirement(i registry.Item) bool {
	err := n.platform.DecodeRetirement(i.ID, i.Content)
	if err != nil {
		n.metrics.countInvalidEntry("retired_domain")
		n.log.WithFields(logrus.Fields{"event": "entry_invalid", "domain": i.ID, "error": err}).Error()
	}
	return err == nil || i.ID != ""
}

// handleReportedRetirements applies the retirements that a peer reports: it may reach the store
// when this daemon can't. The caller holds the lock.
func (n *Node) handleReportedRetirements(p mesh.Peer, heartbeat *schema.Pulse) {
	for _, d := range heartbeat.GetDomains() {
		n.applyDomainState(registry.Retirement{Domain: d.GetDomain(), Revision: d.GetRevision(), Retired: d.GetRetired()}, "peer "+p.Name)
	}
}

func (n *Node) applyDomainState(state registry.Retirement, source string) {
	if n.fleet.retirements.Apply(state) {
		n.enforceDomainStates([]registry.Retirement{state}, source)
	}
}

// enforceDomainStates puts changed states of failure domains in force. The caller holds the lock.
func (n *Node) enforceDomainStates(changed []registry.Retirement, source string) {
	if len(changed) == 0 {
		return
	}
	for _, state := range changed {
		event := "domain_reinstated"
		if state.Retired {
			event = "domain_retired"
		}
		workers := 0
		for _, w := range n.fleet.workers {
			if w.info.Domain == state.Domain {
				workers++
			}
		}
		n.log.WithFields(logrus.Fields{"event": event, "domain": state.Domain, "revision": state.Revision, "source": source, "workers": workers}).Info()
		n.metrics.publishRetired(state.Domain, state.Retired)
	}
	retired := make(map[string]bool)
	for _, state := range n.fleet.retirements.List() {
		if state.Retired {
			retired[state.Domain] = true
		}
	}
	n.coordinator.SetRetiredDomains(retired)
	n.executor.RetireDomains(n.clock.now(), retired)
}

// publishRetired publishes whether a failure domain is retired.
func (m *metricSet) publishRetired(domain string, retired bool) {
	value := 0.0
	if retired {
		value = 1
	}
	m.set.GetOrCreateGauge(fmt.Sprintf("lavendercleat_retired_domain{domain=%q}", domain), nil).Set(value)
}

func retirementsToWire(states []registry.Retirement) []*schema.DomainWord {
	out := make([]*schema.DomainWord, len(states))
	for i, state := range states {
		out[i] = &schema.DomainWord{Domain: state.Domain, Revision: state.Revision, Retired: state.Retired}
	}
	return out
}

// setDomains adds the workers' failure domains to an executor's report. Heartbeats don't contain
// them, as each daemon knows them from the workers' entries.
func (f *fleetView) setDomains(workers []executor.WorkerCapacity) {
	for i := range workers {
		if w := f.workers[workers[i].Worker]; w != nil {
			workers[i].Domain = w.info.Domain
		}
	}
}
