package node

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

// decodeWorker decodes an entry whose content only tells whether the worker is draining.
func decodeWorker(id string, content []byte) (executor.WorkerInfo, error) {
	return executor.WorkerInfo{ID: id, Domain: "a", Draining: string(content) == "draining"}, nil
}

func workerEntry(id, content string, revision int64) registry.Item {
	return registry.Item{Kind: registry.Worker, ID: id, Content: []byte(content), Revision: revision}
}

func workerDeletion(id string, revision int64) registry.Item {
	return registry.Item{Kind: registry.Worker, ID: id, Revision: revision, Deleted: true}
}

func registryFrame(items ...registry.Item) *schema.Registry {
	frame := &schema.Registry{Term: 1}
	for _, i := range items {
		frame.Entries = append(frame.Entries, recordOf(i))
	}
	return frame
}

// newLinkedNode returns a daemon with peers that are up.
func newLinkedNode(t *testing.T, peers int) *testNode {
	n := newTestNode(t)
	n.platform.DecodeWorker = decodeWorker
	n.configuration.answeredAt = n.now
	for i := range peers {
		n.fleet.peerUp(peer(uint64(i + 2)))
	}
	return n
}

// A worker drains and leaves. Two relays send that to a third daemon, the slower one last. The
// daemon must not add the worker again: it would offer tasks to the worker until the next full
// read.
func TestLateEntryDoesNotRestoreRemovedWorker(t *testing.T) {
	n := newLinkedNode(t, 2)
	n.handleRegistry(n.now, peer(2), registryFrame(workerEntry("w", "", 10), workerEntry("w", "draining", 20), workerDeletion("w", 30)))
	assert.Equal(t, len(n.fleet.workers), 0)
	n.handleRegistry(n.now, peer(3), registryFrame(workerEntry("w", "", 10), workerEntry("w", "draining", 20)))
	assert.Equal(t, len(n.fleet.workers), 0)
	n.handleRegistry(n.now, peer(3), registryFrame(workerEntry("w", "", 40)))
	assert.Equal(t, len(n.fleet.workers), 1, "it registered again")
	n.handleRegistry(n.now, peer(2), registryFrame(workerDeletion("w", 30)))
	assert.Equal(t, len(n.fleet.workers), 1)
}

// A relay sends peers the entries that workers only renew. Those are all that is written in a quiet
// fleet.
func TestRelaySendsChangesOnly(t *testing.T) {
	n := newLinkedNode(t, 1)
	n.fleet.sync.isRelay = true
	apply := func(items ...registry.Item) int {
		n.applyWorkers(n.now, items, func(id string) bool { return n.fleet.entryMissing(n.now, id) })
		changes := len(n.fleet.sync.changes)
		n.sendChanges()
		return changes
	}
	assert.Equal(t, apply(workerEntry("v", "", 1), workerEntry("w", "", 2)), 2)
	assert.Equal(t, apply(workerEntry("v", "renewed", 3), workerEntry("w", "renewed", 4)), 0)
	assert.Equal(t, apply(workerEntry("v", "draining", 5), workerEntry("w", "renewed", 6)), 1)
	assert.Equal(t, apply(workerDeletion("v", 7)), 1)
	n.fleet.storeFailedAt = n.now
	assert.Equal(t, apply(workerDeletion("w", 8)), 0, "its entry may have expired in the store's outage")
	n.now += missingGrace
	n.fleet.removeMissing(n.now)
	assert.Equal(t, len(n.fleet.sync.changes), 1, "the relay decides for all")
}

// The store has refused this daemon since its start. The daemon keeps entries that a relay's
// complete list lacks, or doesn't follow the relay's changes.
func TestDaemonWithoutStoreFollowsRelay(t *testing.T) {
	n := newLinkedNode(t, 2)
	n.configuration.answeredAt = n.now - 2*storeLostAfter
	n.handleRegistry(n.now, peer(2), registryFrame(workerEntry("old", "", 3)))
	complete := registryFrame(workerEntry("v", "", 5), workerEntry("w", "draining", 9))
	complete.Complete, complete.Revision = true, 10
	n.handleRegistry(n.now, peer(2), complete)
	assert.Equal(t, len(n.fleet.workers), 2)
	assert.Assert(t, n.fleet.workers["w"].info.Draining)
	assert.Equal(t, n.fleet.sync.knownRevision, int64(10))
	n.fleet.handleHeartbeat(n.now, peer(2), &schema.Pulse{RegistryRevision: 17, RegistryTerm: 1})
	assert.Equal(t, n.fleet.sync.knownRevision, int64(17))
	assert.Assert(t, n.fleet.hasUpToDateRelay(n.now))
	assert.Assert(t, !n.fleet.hasUpToDateRelay(n.now+2*time.Second), "the relay has sent no heartbeat since")
}

// In a fleet that uses relays, other daemons read the store while a relay is up to date, or don't
// read it when none is.
func TestDaemonsReadStoreWhenRelaysAreLost(t *testing.T) {
	n := newLinkedNode(t, 20)
	n.clock.start = time.Now().Add(-n.now)
	n.fleet.sync.knownRevision = 5
	heartbeat := &schema.Pulse{RegistryRevision: 5, RegistryTerm: 1}
	action := func() registry.SyncAction { _, s := n.nextSyncAction(); return s }
	n.handleRegistry(n.now, peer(2), registryFrame())
	n.handleRegistry(n.now, peer(3), registryFrame())
	n.fleet.handleHeartbeat(n.clock.now(), peer(2), heartbeat)
	assert.Equal(t, action(), registry.UseRelay)
	n.fleet.peerUnreachable(n.clock.now(), peer(2), true)
	assert.Assert(t, action() != registry.UseRelay)
	n.fleet.handleHeartbeat(n.clock.now(), peer(3), heartbeat)
	assert.Equal(t, action(), registry.UseRelay, "the second relay is up")
}

// A failure domain was cut off for some seconds. A relay must send its daemons the changes since
// then, not all entries. The changes must include deletions, also one that the relay decided only
// after the entry had been missing for a while.
func TestRelaySendsMissedChangesAndDeletions(t *testing.T) {
	relay, cutOff := newLinkedNode(t, 2), newLinkedNode(t, 2)
	s := &relay.fleet.sync
	s.isRelay, s.term, s.storeAnsweredAt, s.appliedAt, s.termStartedAt = true, 1, 2, 2, 1
	var all []registry.Item
	for i, id := range []string{"a", "b", "c", "d"} {
		all = append(all, workerEntry(id, "", int64(i+1)))
	}
	s.knownRevision = 10
	relay.applyEntries(relay.now, all)
	cutOff.handleRegistry(cutOff.now, peer(2), registryFrame(all...))
	relay.fleet.storeFailedAt = relay.now
	relay.applyEntries(relay.now, []registry.Item{workerDeletion("a", 9)})
	cutOff.fleet.sync.knownRevision = 10 // the deletion of a was not sent yet

	s.knownRevision = 20
	relay.applyEntries(relay.now, []registry.Item{workerEntry("b", "draining", 15), workerEntry("c", "renewed", 16), workerDeletion("d", 17), workerEntry("e", "", 18)})
	relay.now += missingGrace
	relay.fleet.removeMissing(relay.now)
	relay.fleet.storeFailedAt = 0
	list := relay.fleet.changedSince(10)
	assert.Equal(t, len(list), 4)
	cutOff.handleRegistry(cutOff.now, peer(2), &schema.Registry{Since: 10, Revision: 20, Term: 1, Entries: list})
	assert.Equal(t, cutOff.fleet.sync.knownRevision, int64(20))
	assert.Equal(t, len(cutOff.fleet.workers), len(relay.fleet.workers))
	for id, w := range relay.fleet.workers {
		assert.Equal(t, cutOff.fleet.workers[id].info.Draining, w.info.Draining, id)
	}
	relay.now += removedWorkerMemory
	relay.fleet.removeMissing(relay.now)
	assert.Assert(t, relay.fleet.forgottenRevision >= 17, "a daemon that knows less gets all entries")
}

// All daemons lost power and start within 0.3 s of each other. Each must soon take its own part of
// the workers, by the others' entries, and not more until those are linked. Otherwise the first few
// would take all workers, and their runs would be stopped or lost when the others take their parts.
func TestDaemonTakesOnlyItsPartAtFleetStart(t *testing.T) {
	n := newLinkedNode(t, 0)
	var daemons []registry.Item
	for i := range uint64(7) {
		daemons = append(daemons, daemonEntry(i+2, false))
	}
	own := daemonEntry(9, false)
	b, err := proto.Marshal(&schema.Identity{Address: n.self.Address.String(), Incarnation: 99})
	assert.NilError(t, err)
	own.Content = b
	n.applyDaemons(0, append(daemons, own))
	n.fleet.daemonsListed = true
	assert.Assert(t, !n.maySettle(listedSettleTimeout, true), "the list of daemons is not known yet")
	n.cellResolved.Store(true)
	assert.Assert(t, !n.maySettle(listedSettleTimeout/2, true), "runs could not be claimed")
	assert.Assert(t, n.maySettle(listedSettleTimeout, true))
	assert.Assert(t, !n.maySettle(startingSettleTimeout/2, false), "there may be an established daemon")
	assert.Assert(t, n.maySettle(startingSettleTimeout, false), "all have just started: there are no runs")
	assert.Equal(t, len(n.fleet.members(assumePeriod/2, n.self, false)), 8)
	n.fleet.peerUp(peer(2))
	assert.Equal(t, len(n.fleet.members(assumePeriod/2, n.self, false)), 8)
	assert.Equal(t, len(n.fleet.members(assumePeriod, n.self, false)), 2, "the others don't count any more")
	for i := range uint64(7) {
		n.fleet.peerUp(peer(i + 2))
	}
	assert.Assert(t, n.maySettle(0, true), "all are linked: only one daemon restarted")
}

// The store truncates its answers to a relay. The relay's age must be that of the last complete
// answer: daemons that rely on it would otherwise miss a leaving worker while the relay is seconds
// behind.
func TestPartialReadDoesNotMakeRelayUpToDate(t *testing.T) {
	n := newLinkedNode(t, 12)
	entriesFollower := follower{n.Node, true}
	n.fleet.sync.isRelay, n.fleet.sync.termStartedAt = true, n.clock.now()
	time.Sleep(2 * time.Millisecond)
	entriesFollower.HandleChanges(registry.Changes{Items: []registry.Item{workerEntry("w", "", 7)}, Revision: 7})
	completeReadAt := n.fleet.sync.storeAnsweredAt
	assert.Assert(t, completeReadAt > 0)
	entriesFollower.HandleChanges(registry.Changes{Items: []registry.Item{workerEntry("w", "", 9)}, Revision: 9, More: true})
	assert.Equal(t, n.fleet.sync.knownRevision, int64(9))
	assert.Equal(t, n.fleet.sync.storeAnsweredAt, completeReadAt)
	assert.Equal(t, n.fleet.sync.upToDateAt, completeReadAt)
}

// A worker restarts under the same ID. Without the change of its incarnation among the changes that
// relays send, other daemons would take the new incarnation for the old one.
func TestIncarnationChangeIsSent(t *testing.T) {
	n := newLinkedNode(t, 1)
	n.platform.DecodeWorker = func(id string, content []byte) (executor.WorkerInfo, error) {
		return executor.WorkerInfo{ID: id, Domain: "a", Incarnation: int64(len(content))}, nil
	}
	n.fleet.sync.isRelay = true
	hasLeft := func(id string) bool { return n.fleet.entryMissing(n.now, id) }
	n.applyWorkers(n.now, []registry.Item{workerEntry("w", "one", 1)}, hasLeft)
	n.sendChanges()
	assert.Assert(t, n.applyWorkers(n.now, []registry.Item{workerEntry("w", "three", 2)}, hasLeft), "the workers are reassigned")
	assert.Equal(t, len(n.fleet.sync.changes), 1)
}
