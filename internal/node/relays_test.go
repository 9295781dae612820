package node

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

// startingNode returns a daemon that has just started after all of a fleet lost power. Twenty other
// daemons are registered, two of which have more cores than the rest.
func startingNode(t *testing.T, weight float64) *testNode {
	n := newLinkedNode(t, 0)
	n.self.Weight = weight
	n.clock.start = time.Now()
	n.configuration.answeredAt = 0
	var items []registry.Item
	for i := range uint64(20) {
		id := &schema.Identity{Address: peer(i + 2).Address.String(), Domain: fmt.Sprint(i % 3), MilliCores: 192}
		if i < 2 {
			id.MilliCores = 1600
		}
		content, err := proto.Marshal(id)
		assert.NilError(t, err)
		items = append(items, registry.Item{Kind: registry.Daemon, ID: fmt.Sprint(i), Content: content, Revision: int64(i + 1)})
	}
	n.applyDaemons(0, items)
	n.fleet.daemonsListed, n.fleet.daemonsReadAt = true, n.clock.now()
	n.cellResolved.Store(true)
	return n
}

// All daemons of a fleet start at once. If each read all entries, the store's link would be busy
// for seconds, in which no daemon knows a worker and refuses every caller. Only the relays of a
// cell must read, and the others ask them as soon as they announce their entries.
func TestOnlyRelaysReadAtFleetStart(t *testing.T) {
	strong := startingNode(t, 2)
	_, action := strong.nextSyncAction()
	assert.Equal(t, action, registry.ReadAll)

	weak := startingNode(t, 0.192)
	_, action = weak.nextSyncAction()
	assert.Equal(t, action, registry.WaitForRelay)
	weak.fleet.peerUp(peer(2))
	weak.requestEntries(weak.clock.now())
	assert.Equal(t, weak.fleet.sync.requestedAt, time.Duration(0), "it has not read yet")
	weak.handleRegistry(weak.now, peer(2), registryFrame())
	weak.requestEntries(weak.clock.now())
	assert.Equal(t, weak.fleet.sync.requestedFrom, peer(2).Process, "asked at once, not with the next heartbeat")

	var list []*schema.EntryRecord
	for i := range 100 {
		list = append(list, recordOf(workerEntry(fmt.Sprint("w", i), "", int64(i+50))))
	}
	packed, err := packEntries(list)
	assert.NilError(t, err)
	weak.handleRegistry(weak.now, peer(2), &schema.Registry{Revision: 400, Term: 1, Complete: true, Packed: packed})
	assert.Equal(t, len(weak.fleet.workers), 100)
	assert.Equal(t, weak.fleet.sync.knownRevision, int64(400))
}

// The relays of the cell don't return. A daemon must read by itself before its callers' jobs are
// too late.
func TestDaemonReadsStoreWhenRelaysDoNotReturn(t *testing.T) {
	n := startingNode(t, 0.192)
	_, action := n.nextSyncAction()
	assert.Equal(t, action, registry.WaitForRelay)
	n.clock.start = n.clock.start.Add(-1100 * time.Millisecond)
	_, action = n.nextSyncAction()
	assert.Equal(t, action, registry.ReadAll)
}

// A relay must not send the entries of its first read to all peers as changes: each peer that lacks
// them asks, and gets them once and compressed.
func TestFirstReadIsNotSentAsChanges(t *testing.T) {
	n := newLinkedNode(t, 12)
	n.fleet.sync.isRelay, n.fleet.sync.termStartedAt, n.fleet.sync.term = true, 1, 1
	follower{n.Node, true}.HandleSnapshot([]registry.Item{workerEntry("v", "", 3), workerEntry("w", "", 4)}, 5)
	assert.Equal(t, len(n.fleet.sync.changes), 0)
	assert.Equal(t, n.fleet.sync.announcedTerm, uint32(1))
	n.fleet.sync.isRelay = true
	n.applyWorkers(n.now, []registry.Item{workerEntry("v", "draining", 6)}, nil)
	assert.Equal(t, len(n.fleet.sync.changes), 1)
}

// A packed list that is truncated or invalid returns entries instead of an error.
func FuzzUnpackEntries(f *testing.F) {
	packed, err := packEntries([]*schema.EntryRecord{{Id: "w", Content: []byte("{}"), Revision: 3}})
	assert.NilError(f, err)
	f.Add(packed)
	f.Add(packed[:len(packed)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		list, err := unpackEntries(content)
		if err != nil {
			assert.Equal(t, len(list), 0)
		}
	})
}

// The hash has put few daemons into a cell of a large fleet. Without relays each of them would read
// every worker's renewals, and that load grows with the fleet.
func TestSmallCellHasRelays(t *testing.T) {
	n := newLinkedNode(t, 7)
	assert.Assert(t, !n.fleet.usesRelays(), "a small fleet")
	n.fleet.cells = n.fleet.cells.ResizedFor(100)
	assert.Assert(t, n.fleet.usesRelays())
}
