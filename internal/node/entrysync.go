// Synchronization with the store's registry entries: a few daemons, the relays, read them and send
// the changes to the other daemons of their cell.

package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

// entriesRequestInterval is the pause between two requests to relays for missing entries. All
// entries, of 1,100 workers, take 90 ms on a link of 25 Mbit/s.
const entriesRequestInterval = 400 * time.Millisecond

// entrySync is the state of the synchronization with the store's entries. A few daemons, the
// relays, read the entries for all (package registry). Guarded by the node's lock.
type entrySync struct {
	// knownRevision is the store's revision up to which this daemon knows all changes.
	knownRevision int64
	// storeAnsweredAt is the time of the store's answer that this daemon last read, itself or from
	// a root relay, and appliedAt when it applied that answer. upToDateAt is when it last knew all
	// changes, from its own reads or from a relay.
	storeAnsweredAt, appliedAt, upToDateAt time.Duration
	planner                                registry.SyncPlanner
	// isRelay: this daemon reads for others. term counts how often it became a relay, the last time
	// at termStartedAt.
	isRelay       bool
	term          uint32
	termStartedAt time.Duration
	// announcedTerm is the term that linked peers were last informed of.
	announcedTerm uint32
	// firstRead: the entries being applied are the first that this process reads. They are not sent
	// as changes: peers that lack them ask.
	firstRead bool
	// changes are the entries that have changed since changes were last sent to peers.
	changes []*schema.EntryRecord
	// requestedAt is when this daemon last asked a relay for entries, and requestedFrom that relay.
	requestedAt   time.Duration
	requestedFrom member.Process
	copyLimiter   registry.CopyLimiter
	// root is the root relay from which this daemon last read, and rootAge the age of the store's
	// last answer to it; "" and 0: this daemon read the store itself.
	root    string
	rootAge time.Duration
	// nextRead is closed at the next read; nil: no request waits for it.
	nextRead chan struct{}
	// packed is the compressed list of all entries at packedRevision.
	packed         []byte
	packedRevision int64
}

// wakeFeeds tells waiting relays of other cells that there may be changes.
func (s *entrySync) wakeFeeds() {
	if s.nextRead != nil {
		close(s.nextRead)
		s.nextRead = nil
	}
}

// addChange records a change to be sent to peers.
func (s *entrySync) addChange(i registry.Item) {
	if s.isRelay && !s.firstRead {
		s.changes = append(s.changes, recordOf(i))
	}
}

func recordOf(i registry.Item) *schema.EntryRecord {
	return &schema.EntryRecord{Kind: uint32(i.Kind), Id: i.ID, Content: i.Content, Revision: i.Revision, Deleted: i.Deleted}
}

// updateRelayRole determines whether this daemon is a relay. The caller holds the lock.
func (n *Node) updateRelayRole(now time.Duration) {
	s := &n.fleet.sync
	if !n.cellResolved.Load() {
		return // the relays are in this daemon's cell, which is not known
	}
	isRelay := false
	for _, p := range n.relays(now) {
		isRelay = isRelay || p == n.self.Process
	}
	if isRelay == s.isRelay {
		return
	}
	if s.isRelay, s.changes = isRelay, nil; isRelay {
		s.term++
		s.termStartedAt = now
	}
	n.log.WithFields(logrus.Fields{"event": "reads_entries", "for_others": isRelay, "term": s.term}).Info()
}

// relays returns the daemons that read the store's entries for others, as far as this daemon knows.
func (n *Node) relays(now time.Duration) []member.Process {
	var candidates []registry.Relay
	if !n.configuration.storeUnreachable(now) && !n.stopping.Load() {
		candidates = append(candidates, registry.Relay{Process: n.self.Process, Domain: n.self.Domain, Weight: n.self.Weight})
	}
	for _, k := range n.fleet.peers {
		if k.up && !k.leaving && !k.storeUnreachable {
			candidates = append(candidates, registry.Relay{Process: k.Process, Domain: k.Domain, Weight: k.Weight})
		}
	}
	if now < n.fleet.daemonsReadAt+assumePeriod {
		// At a start each daemon would select itself as a relay until it is linked with the others.
		for _, m := range n.fleet.unlinkedMembers(n.self) {
			candidates = append(candidates, registry.Relay{Process: m.Process, Domain: m.Domain, Weight: m.Weight})
		}
	}
	return registry.SelectRelays(candidates)
}

// awaitsRelays reports whether this daemon, which has just started and knows no entries, waits for
// the entries from the relays of its cell.
func (n *Node) awaitsRelays(now time.Duration) bool {
	f := &n.fleet
	if f.sync.knownRevision > 0 || f.sync.isRelay || !f.daemonsListed {
		return false
	}
	return registry.UsesRelays(f.livePeers()+len(f.unlinkedMembers(n.self)), f.cells.Count() > 1) && now < f.daemonsReadAt+2*assumePeriod
}

// addToHeartbeat adds the relay's own state to a heartbeat.
func (s *entrySync) addToHeartbeat(now time.Duration, heartbeat *schema.Pulse) {
	if s.isRelay && s.appliedAt > s.termStartedAt {
		heartbeat.RegistryRevision, heartbeat.RegistryTerm, heartbeat.RegistryAgeMs = s.knownRevision, s.term, (now - s.storeAnsweredAt).Milliseconds()
	}
}

// handleHeartbeat handles the relay state in a peer's heartbeat. A relay takes no changes from
// other relays, as it would have to pass them on.
func (s *entrySync) handleHeartbeat(now time.Duration, k *knownPeer, heartbeat *schema.Pulse) {
	k.reported = registry.RelayState{Revision: heartbeat.GetRegistryRevision(), Term: heartbeat.GetRegistryTerm(), Age: ms(heartbeat.GetRegistryAgeMs())}
	if s.isRelay {
		k.stream = registry.RelayStream{}
		return
	}
	s.knownRevision = k.stream.HandleState(now, s.knownRevision, k.reported)
	if k.stream.UpToDate(now) {
		s.upToDateAt = max(s.upToDateAt, now-k.reported.Age)
	}
}

// nextSyncAction returns the revision up to which this daemon knows all changes, and how it is to
// learn of later ones.
func (n *Node) nextSyncAction() (knownRevision int64, action registry.SyncAction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, s := n.clock.now(), &n.fleet.sync
	if !n.cellResolved.Load() && s.knownRevision == 0 {
		return 0, registry.WaitForRelay
	}
	n.updateRelayRole(now)
	action = s.planner.NextAction(now, registry.SyncStatus{
		IsRelay: s.isRelay, UsesRelays: n.fleet.usesRelays(), Starting: n.awaitsRelays(now), StoreUnreachable: n.configuration.storeUnreachable(now),
		RelayUpToDate: n.fleet.hasUpToDateRelay(now), RelayAhead: n.fleet.relayAhead() != nil, UpToDateAt: s.upToDateAt,
	})
	if action == registry.WatchStore && s.knownRevision == 0 {
		action = registry.ReadAll // there is no revision to watch from
	}
	return s.knownRevision, action
}

// usesRelays reports whether some daemons read the store for all.
func (f *fleetView) usesRelays() bool { return registry.UsesRelays(f.livePeers(), f.cells.Count() > 1) }

// relayAhead returns a relay that knows more than this daemon; nil when there is none. When there
// are two, it returns the one that was not asked last. Relays report in their heartbeats how much
// they know. A daemon that knows no entries doesn't wait for the next heartbeat.
func (f *fleetView) relayAhead() *knownPeer {
	var found *knownPeer
	for _, k := range f.peers {
		knowsMore := k.reported.Revision > f.sync.knownRevision || f.sync.knownRevision == 0 && k.sendsChanges
		if k.up && knowsMore && (found == nil || found.Process == f.sync.requestedFrom) {
			found = k
		}
	}
	return found
}

// hasUpToDateRelay reports whether this daemon has a relay whose updates are complete and recent.
func (f *fleetView) hasUpToDateRelay(now time.Duration) bool {
	for _, k := range f.peers {
		if k.up && k.stream.UpToDate(now) {
			return true
		}
	}
	return false
}

// sendChanges sends the changes to all peers. At the start of a term it also announces that changes
// will follow. The caller holds the lock.
func (n *Node) sendChanges() {
	s := &n.fleet.sync
	if len(s.changes) == 0 && (!s.isRelay || s.announcedTerm == s.term) {
		return
	}
	for _, k := range n.fleet.peers {
		if k.up {
			n.sendChangesTo(k.Process)
		}
	}
	s.changes, s.announcedTerm = nil, s.term
}

// sendChangesTo sends the changes to one peer; without changes it announces that they will follow.
func (n *Node) sendChangesTo(p member.Process) {
	s := &n.fleet.sync
	n.mesh.Send(p, &schema.Frame{Body: &schema.Frame_Registry{Registry: &schema.Registry{Entries: s.changes, Term: s.term}}})
}

// announceChangesTo tells a newly linked peer that this relay sends it the changes from now on. The
// caller holds the lock.
func (n *Node) announceChangesTo(p member.Process) {
	if s := &n.fleet.sync; s.isRelay && s.announcedTerm == s.term {
		n.sendChangesTo(p)
	}
}

// requestEntries asks a relay for the entries that this daemon lacks, unless it has an up-to-date
// relay already. The caller holds the lock.
func (n *Node) requestEntries(now time.Duration) {
	s := &n.fleet.sync
	storeUnreachable, awaitsRelays := n.configuration.storeUnreachable(now), n.awaitsRelays(now)
	readsStore := s.knownRevision == 0 && !storeUnreachable && !awaitsRelays // this daemon reads the store itself
	if s.isRelay || readsStore || !storeUnreachable && !awaitsRelays && !n.fleet.usesRelays() || s.requestedAt > 0 && now-s.requestedAt < entriesRequestInterval || n.fleet.hasUpToDateRelay(now) {
		return
	}
	relay := n.fleet.relayAhead()
	if relay == nil {
		return
	}
	s.requestedAt, s.requestedFrom = now, relay.Process
	n.log.WithFields(logrus.Fields{"event": "entries_asked_for", "peer": relay.Name, "revision": s.knownRevision, "age_ms": (now - s.upToDateAt).Milliseconds()}).Info()
	n.mesh.Send(relay.Process, &schema.Frame{Body: &schema.Frame_RegistryRequest{RegistryRequest: &schema.RegistryRequest{Revision: s.knownRevision}}})
}

// handleRegistryRequest sends a peer the changes since the revision that it knows, or all entries
// when this relay no longer remembers all deletions since then. A peer that gets no answer asks
// another relay. The caller holds the lock.
func (n *Node) handleRegistryRequest(now time.Duration, p mesh.Peer, request *schema.RegistryRequest) {
	s, since := &n.fleet.sync, request.GetRevision()
	if !s.isRelay || s.appliedAt <= s.termStartedAt || since >= s.knownRevision {
		return
	}
	answer := &schema.Registry{Revision: s.knownRevision, Term: s.term, Since: since}
	if since == 0 || since < n.fleet.forgottenRevision {
		answer.Since, answer.Complete, answer.Packed = 0, true, n.allPacked()
		if answer.Packed == nil || !s.copyLimiter.Allow(now, len(answer.Packed)) {
			return
		}
	} else {
		answer.Entries = n.fleet.changedSince(since)
	}
	n.mesh.Send(p.Process, &schema.Frame{Body: &schema.Frame_Registry{Registry: answer}})
}

// allPacked returns all entries, compressed. After a loss of power all daemons of the cell ask for
// them at once. The caller holds the lock.
func (n *Node) allPacked() []byte {
	s := &n.fleet.sync
	if s.packedRevision == s.knownRevision {
		return s.packed
	}
	packed, err := packEntries(n.fleet.entriesSince(0))
	if err != nil {
		n.log.WithFields(logrus.Fields{"event": "entries_not_packed", "error": err}).Error()
	}
	s.packed, s.packedRevision = packed, s.knownRevision
	return packed
}

// changedSince returns the entries that have changed after a revision, and the deletions.
func (f *fleetView) changedSince(revision int64) []*schema.EntryRecord {
	list := f.entriesSince(revision)
	for id, w := range f.removedWorkers {
		if w.reportedRevision > revision {
			list = append(list, recordOf(registry.Item{Kind: registry.Worker, ID: id, Revision: w.revision, Deleted: true}))
		}
	}
	for id, d := range f.daemons {
		if d.removedAt > 0 && d.revision > revision {
			list = append(list, recordOf(registry.Item{Kind: registry.Daemon, ID: id, Revision: d.revision, Deleted: true}))
		}
	}
	return list
}

// entriesSince returns the entries that have changed after a revision.
func (f *fleetView) entriesSince(revision int64) (list []*schema.EntryRecord) {
	for id, w := range f.workers {
		if w.missingSince == 0 && w.changedRevision > revision {
			list = append(list, recordOf(registry.Item{Kind: registry.Worker, ID: id, Content: w.content, Revision: w.revision}))
		}
	}
	for id, d := range f.daemons {
		if d.removedAt == 0 && d.revision > revision {
			list = append(list, recordOf(registry.Item{Kind: registry.Daemon, ID: id, Content: d.content, Revision: d.revision}))
		}
	}
	return list
}

// handleRegistry applies entries that a relay has read in the store. The caller holds the lock.
func (n *Node) handleRegistry(now time.Duration, p mesh.Peer, update *schema.Registry) {
	s := &n.fleet.sync
	if s.isRelay {
		return
	}
	relay := n.fleet.peers[p.Address]
	relay.stream.HandleOpened(update.GetTerm())
	relay.sendsChanges = true
	entries := update.GetEntries()
	if len(update.GetPacked()) > 0 {
		if update.GetRevision() <= s.knownRevision {
			return // this daemon knows all of it
		}
		var err error
		if entries, err = unpackEntries(update.GetPacked()); err != nil {
			n.log.WithFields(logrus.Fields{"event": "entries_unreadable", "peer": p.Name, "error": err}).Error()
			return
		}
	}
	var workers, daemons []registry.Item
	for _, i := range itemsOf(entries) {
		switch i.Kind {
		case registry.Worker:
			workers = append(workers, i)
		case registry.Daemon:
			daemons = append(daemons, i)
		}
	}
	if update.GetRevision() > 0 {
		if update.GetRevision() <= s.knownRevision || s.knownRevision < update.GetSince() {
			return
		}
		if update.GetComplete() {
			workers = append(workers, n.fleet.deletionsOfUnlisted(workers, update.GetRevision())...)
		}
		s.knownRevision = update.GetRevision()
		relay.stream.HandleCopy(update.GetTerm())
	}
	// The relay decided whether a worker has left or its entry has only expired.
	changed := n.applyWorkers(now, workers, func(string) bool { return true })
	if len(daemons) > 0 {
		n.applyDaemons(now, daemons)
	}
	if changed {
		n.scheduleReassign()
	}
}

// deletionsOfUnlisted returns deletions of the workers that a complete list doesn't contain.
func (f *fleetView) deletionsOfUnlisted(list []registry.Item, revision int64) (deletions []registry.Item) {
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
	}
	for id := range f.workers {
		if !listed[id] {
			deletions = append(deletions, registry.Item{Kind: registry.Worker, ID: id, Revision: revision, Deleted: true})
		}
	}
	return deletions
}
