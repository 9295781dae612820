package node

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

// takeRetirements takes all entries that retire failure domains, as the store shows them at
// a revision: domains that are not shown have been reinstated.
func (n *Node) takeRetirements(items []registry.Item, revision int64) {
	var shown []registry.Retirement
	for _, i := range items {
		if i.Kind == registry.RetiredDomain && n.validRetirement(i) {
			shown = append(shown, registry.Retirement{Domain: i.ID, Revision: i.Revision, Retired: true})
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wordsTaken(n.fleet.retirements.ApplySnapshot(shown, revision), "store")
}

// takeRetirement takes a change of such an entry.
func (n *Node) takeRetirement(i registry.Item) {
	if !i.Deleted && !n.validRetirement(i) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takeWord(registry.Retirement{Domain: i.ID, Revision: i.Revision, Retired: !i.Deleted}, "store")
}

// validRetirement reports whether an entry names a failure domain; one that doesn't is
// logged and counted. An entry that names a domain and says something else besides is
// obeyed all the same: to start tasks there against the operator's word is the worse error.
func (n *Node) validRetirement(i registry.Item) bool {
	err := n.platform.DecodeRetirement(i.ID, i.Content)
	if err != nil {
		n.metrics.entryInvalid("retired_domain")
		n.log.WithFields(logrus.Fields{"event": "entry_invalid", "domain": i.ID, "error": err}).Error()
	}
	return err == nil || i.ID != ""
}

// domainsHeard takes what a peer knows of the operator's words: it may read the store when
// this daemon can't. The lock is held.
func (n *Node) domainsHeard(p mesh.Peer, pulse *schema.Pulse) {
	for _, d := range pulse.GetDomains() {
		n.takeWord(registry.Retirement{Domain: d.GetDomain(), Revision: d.GetRevision(), Retired: d.GetRetired()}, "peer "+p.Name)
	}
}

func (n *Node) takeWord(w registry.Retirement, source string) {
	if n.fleet.retirements.Apply(w) {
		n.wordsTaken([]registry.Retirement{w}, source)
	}
}

// wordsTaken puts changed words in force. The lock is held.
func (n *Node) wordsTaken(changed []registry.Retirement, source string) {
	if len(changed) == 0 {
		return
	}
	for _, w := range changed {
		event := "domain_reinstated"
		if w.Retired {
			event = "domain_retired"
		}
		workers := 0
		for _, k := range n.fleet.workers {
			if k.info.Domain == w.Domain {
				workers++
			}
		}
		n.log.WithFields(logrus.Fields{"event": event, "domain": w.Domain, "revision": w.Revision, "source": source, "workers": workers}).Info()
		n.metrics.retired(w.Domain, w.Retired)
	}
	retired := make(map[string]bool)
	for _, w := range n.fleet.retirements.List() {
		if w.Retired {
			retired[w.Domain] = true
		}
	}
	n.coordinator.SetRetiredDomains(retired)
	n.executor.RetireDomains(n.clock.now(), retired)
}

// retired publishes whether a failure domain is retired.
func (m *metricSet) retired(domain string, retired bool) {
	value := 0.0
	if retired {
		value = 1
	}
	m.set.GetOrCreateGauge(fmt.Sprintf("lavendercleat_retired_domain{domain=%q}", domain), nil).Set(value)
}

func domainsToWire(words []registry.Retirement) []*schema.DomainWord {
	out := make([]*schema.DomainWord, len(words))
	for i, w := range words {
		out[i] = &schema.DomainWord{Domain: w.Domain, Revision: w.Revision, Retired: w.Retired}
	}
	return out
}

// locate adds to an executor's rooms where the workers are: heartbeats leave it out, as
// each daemon knows it from the workers' entries.
func (f *fleetView) locate(rooms []executor.WorkerCapacity) {
	for i := range rooms {
		if w := f.workers[rooms[i].Worker]; w != nil {
			rooms[i].Domain = w.info.Domain
		}
	}
}
