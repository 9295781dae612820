// Exchange of the configuration among peers, for daemons that the store does not serve in time.

package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

// requestNewerConfiguration asks a peer for its configuration when that is newer and the store does
// not deliver it in time. The caller holds the lock.
func (n *Node) requestNewerConfiguration(now time.Duration) {
	version := n.configurationVersion()
	if n.fleet.newestConfiguration() <= version {
		n.configuration.fetcher.NextSource(now, n.self.Process, version, false, nil)
		return
	}
	var peers []registry.ConfigSource
	for _, k := range n.fleet.peers {
		if k.up {
			peers = append(peers, registry.ConfigSource{Process: k.Process, Version: k.configurationVersion, SameDomain: k.Domain == n.self.Domain})
		}
	}
	source, ok := n.configuration.fetcher.NextSource(now, n.self.Process, version, n.configuration.storeUnreachable(now), peers)
	if !ok {
		return
	}
	n.log.WithFields(logrus.Fields{"event": "configuration_asked_for", "peer": n.fleet.peers[source.Address].Name, "version": version}).Info()
	n.mesh.Send(source, &schema.Frame{Body: &schema.Frame_DocumentRequest{DocumentRequest: &schema.DocumentRequest{Version: version}}})
}

// configurationVersion returns the version of the configuration in force; 0 before the first.
func (n *Node) configurationVersion() uint64 {
	if t := n.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// newestConfiguration returns the newest version that a peer has reported.
func (f *fleetView) newestConfiguration() uint64 {
	var newest uint64
	for _, k := range f.peers {
		if k.up {
			newest = max(newest, k.configurationVersion)
		}
	}
	return newest
}

// handleConfigurationRequest sends the configuration to a peer that has an older one. A peer that
// gets no copy asks another peer. The caller holds the lock.
func (n *Node) handleConfigurationRequest(now time.Duration, p mesh.Peer, r *schema.DocumentRequest) {
	t := n.table.Load()
	if t == nil || r.GetVersion() >= t.Version || !n.configuration.copyLimiter.Allow(now, len(n.configuration.content)) {
		return
	}
	n.mesh.Send(p.Process, &schema.Frame{Body: &schema.Frame_Document{Document: &schema.Document{
		Version: t.Version, Content: n.configuration.content,
	}}})
}

// handleConfiguration applies a copy of a peer's configuration.
func (n *Node) handleConfiguration(p mesh.Peer, d *schema.Document) {
	n.mu.Lock()
	n.configuration.fetcher.HandleCopy()
	n.mu.Unlock()
	if d.GetVersion() > n.configurationVersion() {
		n.applyConfiguration(d.GetContent(), "peer "+p.Name)
	}
}
