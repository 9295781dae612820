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

// decodeWorker takes an entry's content as the worker's domain; "draining" is one.
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
	g := &schema.Registry{Term: 1}
	for _, i := range items {
		g.Entries = append(g.Entries, recordOf(i))
	}
	return g
}

// newLinked is a daemon with peers that are up.
func newLinkedNode(t *testing.T, peers int) *testNode {
	n := newTestNode(t)
	n.platform.DecodeWorker = decodeWorker
	n.configuration.answeredAt = n.now
	for i := range peers {
		n.fleet.peerUp(peer(uint64(i + 2)))
	}
	return n
}

// A worker drains and leaves. Two daemons read that and tell a third; what the slower one
// tells comes last. The worker must not come back by it: tasks would be offered to it until
// the next full read.
func TestLateEntryDoesNotRestoreRemovedWorker(t *testing.T) {
	n := newLinkedNode(t, 2)
	n.handleRegistry(n.now, peer(2), registryFrame(workerEntry("w", "", 10), workerEntry("w", "draining", 20), workerDeletion("w", 30)))
	assert.Equal(t, len(n.fleet.workers), 0)
	n.handleRegistry(n.now, peer(3), registryFrame(workerEntry("w", "", 10), workerEntry("w", "draining", 20)))
	assert.Equal(t, len(n.fleet.workers), 0)
	n.handleRegistry(n.now, peer(3), registryFrame(workerEntry("w", "", 40)))
	assert.Equal(t, len(n.fleet.workers), 1, "it registered anew")
	n.handleRegistry(n.now, peer(2), registryFrame(workerDeletion("w", 30)))
	assert.Equal(t, len(n.fleet.workers), 1)
}

// The one that reads for others passes on what has changed, and nothing of the entries that
// workers only renew: they are all that is written in a quiet fleet.
func TestRelaySendsChangesOnly(t *testing.T) {
	n := newLinkedNode(t, 1)
	n.fleet.sync.isRelay = true
	take := func(items ...registry.Item) int {
		n.applyWorkers(n.now, items, func(id string) bool { return n.fleet.entryMissing(n.now, id) })
		news := len(n.fleet.sync.changes)
		n.sendChanges()
		return news
	}
	assert.Equal(t, take(workerEntry("v", "", 1), workerEntry("w", "", 2)), 2)
	assert.Equal(t, take(workerEntry("v", "renewed", 3), workerEntry("w", "renewed", 4)), 0)
	assert.Equal(t, take(workerEntry("v", "draining", 5), workerEntry("w", "renewed", 6)), 1)
	assert.Equal(t, take(workerDeletion("v", 7)), 1)
	n.fleet.storeFailedAt = n.now
	assert.Equal(t, take(workerDeletion("w", 8)), 0, "its entry may have lapsed with the store")
	n.now += missingGrace
	n.fleet.removeMissing(n.now)
	assert.Equal(t, len(n.fleet.sync.changes), 1, "the reader judges for all")
}

// The store turns this daemon away since its start. A reader sends all entries, and the
// changes that follow keep the daemon informed; of what the reader lacks nothing is kept.
func TestDaemonWithoutStoreFollowsRelay(t *testing.T) {
	n := newLinkedNode(t, 2)
	n.configuration.answeredAt = n.now - 2*storeLostAfter
	n.handleRegistry(n.now, peer(2), registryFrame(workerEntry("old", "", 3)))
	g := registryFrame(workerEntry("v", "", 5), workerEntry("w", "draining", 9))
	g.Complete, g.Revision = true, 10
	n.handleRegistry(n.now, peer(2), g)
	assert.Equal(t, len(n.fleet.workers), 2)
	assert.Assert(t, n.fleet.workers["w"].info.Draining)
	assert.Equal(t, n.fleet.sync.knownRevision, int64(10))
	n.fleet.handleHeartbeat(n.now, peer(2), &schema.Pulse{RegistryRevision: 17, RegistryTerm: 1})
	assert.Equal(t, n.fleet.sync.knownRevision, int64(17))
	assert.Assert(t, n.fleet.hasUpToDateRelay(n.now))
	assert.Assert(t, !n.fleet.hasUpToDateRelay(n.now+2*time.Second), "the reader has told nothing since")
}

// In a fleet of a dozen daemons and more two read for all: the others leave the store alone
// while they hear from a reader, and read by themselves when they don't.
func TestDaemonsReadStoreWhenRelaysAreLost(t *testing.T) {
	n := newLinkedNode(t, 20)
	n.clock.start = time.Now().Add(-n.now)
	n.fleet.sync.knownRevision = 5
	told := &schema.Pulse{RegistryRevision: 5, RegistryTerm: 1}
	step := func() registry.SyncAction { _, s := n.nextSyncStep(); return s }
	n.handleRegistry(n.now, peer(2), registryFrame())
	n.handleRegistry(n.now, peer(3), registryFrame())
	n.fleet.handleHeartbeat(n.clock.now(), peer(2), told)
	assert.Equal(t, step(), registry.UseRelay)
	n.fleet.peerUnreachable(n.clock.now(), peer(2), true)
	assert.Assert(t, step() != registry.UseRelay)
	n.fleet.handleHeartbeat(n.clock.now(), peer(3), told)
	assert.Equal(t, step(), registry.UseRelay, "the second reader is there")
}

// A failure domain was cut off for some seconds. A reader answers one of its daemons with
// what has changed since, and not with all: ends too, also one that was judged only when its
// entry had been away for a while.
func TestRelaySendsMissedChangesAndDeletions(t *testing.T) {
	reader, cut := newLinkedNode(t, 2), newLinkedNode(t, 2)
	r := &reader.fleet.sync
	r.isRelay, r.term, r.storeAnsweredAt, r.appliedAt, r.termStartedAt = true, 1, 2, 2, 1
	var all []registry.Item
	for i, id := range []string{"a", "b", "c", "d"} {
		all = append(all, workerEntry(id, "", int64(i+1)))
	}
	r.knownRevision = 10
	reader.applyEntries(reader.now, all)
	cut.handleRegistry(cut.now, peer(2), registryFrame(all...))
	reader.fleet.storeFailedAt = reader.now
	reader.applyEntries(reader.now, []registry.Item{workerDeletion("a", 9)})
	cut.fleet.sync.knownRevision = 10 // the end of a was not told yet

	r.knownRevision = 20
	reader.applyEntries(reader.now, []registry.Item{workerEntry("b", "draining", 15), workerEntry("c", "renewed", 16), workerDeletion("d", 17), workerEntry("e", "", 18)})
	reader.now += missingGrace
	reader.fleet.removeMissing(reader.now)
	reader.fleet.storeFailedAt = 0
	list := reader.fleet.changedSince(10)
	assert.Equal(t, len(list), 4)
	cut.handleRegistry(cut.now, peer(2), &schema.Registry{Since: 10, Revision: 20, Term: 1, Entries: list})
	assert.Equal(t, cut.fleet.sync.knownRevision, int64(20))
	assert.Equal(t, len(cut.fleet.workers), len(reader.fleet.workers))
	for id, w := range reader.fleet.workers {
		assert.Equal(t, cut.fleet.workers[id].info.Draining, w.info.Draining, id)
	}
	reader.now += removedWorkerMemory
	reader.fleet.removeMissing(reader.now)
	assert.Assert(t, reader.fleet.forgottenRevision >= 17, "who knows less is told all")
}

// All daemons have lost power and start within 0.3 s of each other. Each takes its own part
// of the workers soon, by the entries of the others, and not more until those are linked:
// the first few would take all of them, and what they start would be stopped or lost when the
// others take their parts.
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
	assert.Assert(t, !n.maySettle(listedSettleTimeout, true), "it is not known yet which daemons there are")
	n.cellResolved.Store(true)
	assert.Assert(t, !n.maySettle(listedSettleTimeout/2, true), "what runs could not be claimed")
	assert.Assert(t, n.maySettle(listedSettleTimeout, true))
	assert.Assert(t, !n.maySettle(startingSettleTimeout/2, false), "there may be a daemon that was there before")
	assert.Assert(t, n.maySettle(startingSettleTimeout, false), "all have just started: nothing runs for anybody")
	assert.Equal(t, len(n.fleet.members(assumePeriod/2, n.self, false)), 8)
	n.fleet.peerUp(peer(2))
	assert.Equal(t, len(n.fleet.members(assumePeriod/2, n.self, false)), 8)
	assert.Equal(t, len(n.fleet.members(assumePeriod, n.self, false)), 2, "the others are not there")
	for i := range uint64(7) {
		n.fleet.peerUp(peer(i + 2))
	}
	assert.Assert(t, n.maySettle(0, true), "all are linked: one daemon alone was restarted")
}

// The store cuts its answers to a reader off. What the reader tells is as old as the last
// answer that was whole: those who rely on it would believe to know of a worker that leaves
// while the reader itself is seconds behind.
func TestPartialReadDoesNotMakeRelayUpToDate(t *testing.T) {
	n := newLinkedNode(t, 12)
	fleet := follower{n.Node, true}
	n.fleet.sync.isRelay, n.fleet.sync.termStartedAt = true, n.clock.now()
	time.Sleep(2 * time.Millisecond)
	fleet.HandleChanges(registry.Changes{Items: []registry.Item{workerEntry("w", "", 7)}, Revision: 7})
	whole := n.fleet.sync.storeAnsweredAt
	assert.Assert(t, whole > 0)
	fleet.HandleChanges(registry.Changes{Items: []registry.Item{workerEntry("w", "", 9)}, Revision: 9, More: true})
	assert.Equal(t, n.fleet.sync.knownRevision, int64(9))
	assert.Equal(t, n.fleet.sync.storeAnsweredAt, whole)
	assert.Equal(t, n.fleet.sync.upToDateAt, whole)
}

// A worker is back under its ID, and readers tell peers so: with the birth unchanged among what
// is passed on, other daemons would take the new life for the old one.
func TestIncarnationChangeIsSent(t *testing.T) {
	n := newLinkedNode(t, 1)
	n.platform.DecodeWorker = func(id string, content []byte) (executor.WorkerInfo, error) {
		return executor.WorkerInfo{ID: id, Domain: "a", Incarnation: int64(len(content))}, nil
	}
	n.fleet.sync.isRelay = true
	gone := func(id string) bool { return n.fleet.entryMissing(n.now, id) }
	n.applyWorkers(n.now, []registry.Item{workerEntry("w", "one", 1)}, gone)
	n.sendChanges()
	assert.Assert(t, n.applyWorkers(n.now, []registry.Item{workerEntry("w", "three", 2)}, gone), "the workers are divided anew")
	assert.Equal(t, len(n.fleet.sync.changes), 1)
}
