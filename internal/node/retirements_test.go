package node

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/routing"
	"github.com/lavendercleat/lavendercleat/schema"
)

func newNodeWithDecoders(t *testing.T) *testNode {
	n := newLinkedNode(t, 1)
	n.platform.DecodeConfiguration = func([]byte) (*routing.Table, error) { return routing.NewTable(1, 0, 0, nil), nil }
	n.platform.DecodeRetirement = func(domain string, content []byte) error {
		if domain == "" || len(content) == 0 {
			return errors.New("bad")
		}
		return nil
	}
	return n
}

func retirement(domain string, revision int64) registry.Item {
	return registry.Item{Kind: registry.RetiredDomain, ID: domain, Content: []byte("{}"), Revision: revision}
}

// The store has refused this daemon since its start, and a peer's heartbeat reports that a failure
// domain is retired. The daemon must apply that from the first heartbeat on and report it to its
// peers, although its own read is older, until a later change reinstates the domain.
func TestLatestRetirementOfPeersAndStoreCounts(t *testing.T) {
	n := newNodeWithDecoders(t)
	config := follower{n.Node, false}
	// The peer's first heartbeat arrives before the link is up, and is not repeated.
	(*peerHandler)(n.Node).HandleHeartbeat(peer(9), &schema.Pulse{Domains: []*schema.DomainWord{{Domain: "a", Revision: 20, Retired: true}}})
	assert.Assert(t, n.fleet.retirements.Retired("a"))
	config.HandleSnapshot(nil, 15)
	assert.Assert(t, n.fleet.retirements.Retired("a"), "the read is older than the retirement")
	reported := (*peerHandler)(n.Node).Heartbeat().GetDomains()
	assert.Equal(t, len(reported), 1)
	assert.Equal(t, reported[0].GetDomain(), "a")
	assert.Assert(t, reported[0].GetRetired())

	config.HandleChanges(registry.Changes{Items: []registry.Item{{Kind: registry.RetiredDomain, ID: "a", Revision: 30, Deleted: true}}, Revision: 30})
	assert.Assert(t, !n.fleet.retirements.Retired("a"))
	n.handleReportedRetirements(peer(2), &schema.Pulse{Domains: []*schema.DomainWord{{Domain: "a", Revision: 20, Retired: true}}})
	assert.Assert(t, !n.fleet.retirements.Retired("a"), "the peer's report is older")
}

// A new process reads a retirement and its first configuration together. It must apply the
// retirement before the configuration, without which it serves nothing.
func TestRetirementPrecedesFirstConfiguration(t *testing.T) {
	n := newNodeWithDecoders(t)
	follower{n.Node, false}.HandleSnapshot([]registry.Item{
		{Kind: registry.Configuration, Content: []byte("{}"), Revision: 3}, retirement("b", 4),
	}, 5)
	assert.Assert(t, n.Table() != nil)
	assert.Assert(t, n.fleet.retirements.Retired("b"))
}

// The operator's entry is truncated or has no name. One that names a domain must count, as its key
// contains all that is needed. One without a name must change nothing, and the daemon serves on.
func TestInvalidRetirements(t *testing.T) {
	n := newNodeWithDecoders(t)
	config := follower{n.Node, false}
	bad := retirement("c", 7)
	bad.Content = nil
	config.HandleChanges(registry.Changes{Items: []registry.Item{bad, retirement("", 8), retirement("d", 9)}, Revision: 9})
	assert.Assert(t, n.fleet.retirements.Retired("c"))
	assert.Assert(t, n.fleet.retirements.Retired("d"))
	assert.Assert(t, !n.fleet.retirements.Retired(""))
	assert.Equal(t, len(n.fleet.retirements.List()), 2)
}
