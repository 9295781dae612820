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

// The store has turned this daemon away since it started, and a peer tells it in a heartbeat
// that a failure domain is retired; later its own, older news comes. It obeys from the first
// heartbeat on, and tells its own peers, until a later word ends it.
func TestLatestRetirementOfPeersAndStoreCounts(t *testing.T) {
	n := newNodeWithDecoders(t)
	config := follower{n.Node, false}
	// Its first heartbeat comes before the link is up, and isn't repeated.
	(*peerHandler)(n.Node).HandleHeartbeat(peer(9), &schema.Pulse{Domains: []*schema.DomainWord{{Domain: "a", Revision: 20, Retired: true}}})
	assert.Assert(t, n.fleet.retirements.Retired("a"))
	config.HandleSnapshot(nil, 15)
	assert.Assert(t, n.fleet.retirements.Retired("a"), "read before the operator's word")
	told := (*peerHandler)(n.Node).Heartbeat().GetDomains()
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].GetDomain(), "a")
	assert.Assert(t, told[0].GetRetired())

	config.HandleChanges(registry.Changes{Items: []registry.Item{{Kind: registry.RetiredDomain, ID: "a", Revision: 30, Deleted: true}}, Revision: 30})
	assert.Assert(t, !n.fleet.retirements.Retired("a"))
	n.handleReportedRetirements(peer(2), &schema.Pulse{Domains: []*schema.DomainWord{{Domain: "a", Revision: 20, Retired: true}}})
	assert.Assert(t, !n.fleet.retirements.Retired("a"), "a peer that doesn't know yet")
}

// The first thing that a new process reads tells a retirement and the configuration. The
// retirement is in force before the configuration, without which nothing is served.
func TestRetirementPrecedesFirstConfiguration(t *testing.T) {
	n := newNodeWithDecoders(t)
	follower{n.Node, false}.HandleSnapshot([]registry.Item{
		{Kind: registry.Configuration, Content: []byte("{}"), Revision: 3}, retirement("b", 4),
	}, 5)
	assert.Assert(t, n.Table() != nil)
	assert.Assert(t, n.fleet.retirements.Retired("b"))
}

// The operator's entry is cut off or names nothing. One that names a domain is obeyed: its
// key says all. One without a name changes nothing, and the daemon serves on.
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
