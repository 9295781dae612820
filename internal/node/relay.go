package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

// askEvery is the pause between two questions for what this daemon lacks: all entries, of
// 1,100 workers, take 90 ms on a link of 25 Mbit/s.
const entriesRequestInterval = 400 * time.Millisecond

// relay is a daemon's part in the reading of the store's entries: a few read them for all
// (package registry). Guarded by the node's lock.
type entrySync struct {
	// known is the store's revision up to which all changes are known here.
	knownRevision int64
	// readAt is when the store last answered what this daemon has read, itself or of a root,
	// and tookAt when it was taken here; knownAt is when all was last known, by reading or by
	// being told.
	storeAnsweredAt, appliedAt, upToDateAt time.Duration
	planner                 registry.SyncPlanner
	// reader: this daemon reads for others; term counts how often it began to, at beganAt.
	isRelay  bool
	term    uint32
	termStartedAt time.Duration
	// announced is the term of which peers that were linked have been told.
	announcedTerm uint32
	// first: what is taken is the first that this process reads. Peers that lack it ask.
	firstRead bool
	// news are entries that have changed since they were last passed on.
	changes []*schema.EntryRecord
	// askedAt is when a reader was last asked, and asked which one.
	requestedAt time.Duration
	requestedFrom   member.Process
	copyLimiter  registry.CopyLimiter
	// root is the daemon of another cell that told what was read last, and rootAge how long
	// before it had heard from the store; "" and 0: the store itself.
	root    string
	rootAge time.Duration
	// read is closed with the next read; nil: nobody waits for it.
	nextRead chan struct{}
	// packed is the list of all entries at packedAt, compressed.
	packed   []byte
	packedRevision int64
}

// wake tells readers of other cells that there may be changes.
func (r *entrySync) wakeFeeds() {
	if r.nextRead != nil {
		close(r.nextRead)
		r.nextRead = nil
	}
}

// note keeps a change to be passed on.
func (r *entrySync) addChange(i registry.Item) {
	if r.isRelay && !r.firstRead {
		r.changes = append(r.changes, recordOf(i))
	}
}

func recordOf(i registry.Item) *schema.EntryRecord {
	return &schema.EntryRecord{Kind: uint32(i.Kind), Id: i.ID, Content: i.Content, Revision: i.Revision, Deleted: i.Deleted}
}

// judgeReader finds out whether this daemon reads for others. The lock is held.
func (n *Node) updateRelayRole(now time.Duration) {
	r := &n.fleet.sync
	if !n.cellResolved.Load() {
		return // the readers are of this daemon's cell, which is not known
	}
	isRelay := false
	for _, p := range n.relays(now) {
		isRelay = isRelay || p == n.self.Process
	}
	if isRelay == r.isRelay {
		return
	}
	if r.isRelay, r.changes = isRelay, nil; isRelay {
		r.term++
		r.termStartedAt = now
	}
	n.log.WithFields(logrus.Fields{"event": "reads_entries", "for_others": isRelay, "term": r.term}).Info()
}

// readers are the daemons that read the store's entries, as this one sees it.
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
		// At a start each daemon would take itself for a reader until it is linked.
		for _, m := range n.fleet.unlinkedMembers(n.self) {
			candidates = append(candidates, registry.Relay{Process: m.Process, Domain: m.Domain, Weight: m.Weight})
		}
	}
	return registry.SelectRelays(candidates)
}

// awaitsReaders reports whether this daemon, which has just started and knows nothing, is to
// be told by those that read for its cell.
func (n *Node) awaitsRelays(now time.Duration) bool {
	f := &n.fleet
	if f.sync.knownRevision > 0 || f.sync.isRelay || !f.daemonsListed {
		return false
	}
	return registry.UsesRelays(f.livePeers()+len(f.unlinkedMembers(n.self)), f.cells.Count() > 1) && now < f.daemonsReadAt+2*assumePeriod
}

// tell is what this daemon tells of its reading.
func (r *entrySync) addToHeartbeat(now time.Duration, p *schema.Pulse) {
	if r.isRelay && r.appliedAt > r.termStartedAt {
		p.RegistryRevision, p.RegistryTerm, p.RegistryAgeMs = r.knownRevision, r.term, (now - r.storeAnsweredAt).Milliseconds()
	}
}

// heard takes what a peer tells of its reading. A daemon that reads for others takes
// nothing from other readers, as it would have to pass it on.
func (r *entrySync) handleHeartbeat(now time.Duration, k *knownPeer, p *schema.Pulse) {
	k.reported = registry.RelayState{Revision: p.GetRegistryRevision(), Term: p.GetRegistryTerm(), Age: ms(p.GetRegistryAgeMs())}
	if r.isRelay {
		k.stream = registry.RelayStream{}
		return
	}
	r.knownRevision = k.stream.HandleState(now, r.knownRevision, k.reported)
	if k.stream.UpToDate(now) {
		r.upToDateAt = max(r.upToDateAt, now-k.reported.Age)
	}
}

// pursue returns the revision up to which all is known here, and how this daemon is to
// learn of later changes.
func (n *Node) nextSyncStep() (known int64, step registry.SyncAction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, r := n.clock.now(), &n.fleet.sync
	if !n.cellResolved.Load() && r.knownRevision == 0 {
		return 0, registry.WaitForRelay
	}
	n.updateRelayRole(now)
	step = r.planner.NextAction(now, registry.SyncStatus{
		IsRelay: r.isRelay, UsesRelays: n.fleet.usesRelays(), Starting: n.awaitsRelays(now), StoreUnreachable: n.configuration.storeUnreachable(now),
		RelayUpToDate: n.fleet.hasUpToDateRelay(now), RelayAhead: n.fleet.relayAhead() != nil, UpToDateAt: r.upToDateAt,
	})
	if step == registry.WatchStore && r.knownRevision == 0 {
		step = registry.ReadAll // there is nothing to watch from
	}
	return r.knownRevision, step
}

// wide reports whether some daemons read for all.
func (f *fleetView) usesRelays() bool { return registry.UsesRelays(f.livePeers(), f.cells.Count() > 1) }

// ahead returns a reader that knows more than this daemon; nil when there is none. It is
// another one than was asked last, if there are two. What a reader knows is told by its
// heartbeats; who knows nothing doesn't wait for the next.
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

// reliedOn reports whether there is a reader that this daemon can rely on.
func (f *fleetView) hasUpToDateRelay(now time.Duration) bool {
	for _, k := range f.peers {
		if k.up && k.stream.UpToDate(now) {
			return true
		}
	}
	return false
}

// passOn sends what has changed to all peers, and at the beginning of a term that it will.
// The lock is held.
func (n *Node) sendChanges() {
	r := &n.fleet.sync
	if len(r.changes) == 0 && (!r.isRelay || r.announcedTerm == r.term) {
		return
	}
	for _, k := range n.fleet.peers {
		if k.up {
			n.sendChangesTo(k.Process)
		}
	}
	r.changes, r.announcedTerm = nil, r.term
}

// passTo sends what has changed to one peer; without changes, that they will be sent.
func (n *Node) sendChangesTo(p member.Process) {
	r := &n.fleet.sync
	n.mesh.Send(p, &schema.Frame{Body: &schema.Frame_Registry{Registry: &schema.Registry{Entries: r.changes, Term: r.term}}})
}

// openTo tells a peer that was linked just now that it is sent what changes from here on.
// The lock is held.
func (n *Node) announceChangesTo(p member.Process) {
	if r := &n.fleet.sync; r.isRelay && r.announcedTerm == r.term {
		n.sendChangesTo(p)
	}
}

// askReader asks a reader for what this daemon lacks, if it can't rely on one already. The
// lock is held.
func (n *Node) requestEntries(now time.Duration) {
	r := &n.fleet.sync
	storeUnreachable, awaitsRelays := n.configuration.storeUnreachable(now), n.awaitsRelays(now)
	readsStore := r.knownRevision == 0 && !storeUnreachable && !awaitsRelays // by itself
	if r.isRelay || readsStore || !storeUnreachable && !awaitsRelays && !n.fleet.usesRelays() || r.requestedAt > 0 && now-r.requestedAt < entriesRequestInterval || n.fleet.hasUpToDateRelay(now) {
		return
	}
	k := n.fleet.relayAhead()
	if k == nil {
		return
	}
	r.requestedAt, r.requestedFrom = now, k.Process
	n.log.WithFields(logrus.Fields{"event": "entries_asked_for", "peer": k.Name, "revision": r.knownRevision, "age_ms": (now - r.upToDateAt).Milliseconds()}).Info()
	n.mesh.Send(k.Process, &schema.Frame{Body: &schema.Frame_RegistryRequest{RegistryRequest: &schema.RegistryRequest{Revision: r.knownRevision}}})
}

// readerAsked sends a peer what has changed since it last knew all; where that is too long
// ago to be told, all entries. One that gets none of these asks another reader. The lock is
// held.
func (n *Node) handleRegistryRequest(now time.Duration, p mesh.Peer, q *schema.RegistryRequest) {
	r, since := &n.fleet.sync, q.GetRevision()
	if !r.isRelay || r.appliedAt <= r.termStartedAt || since >= r.knownRevision {
		return
	}
	out := &schema.Registry{Revision: r.knownRevision, Term: r.term, Since: since}
	if since == 0 || since < n.fleet.forgottenRevision {
		out.Since, out.Complete, out.Packed = 0, true, n.allPacked()
		if out.Packed == nil || !r.copyLimiter.Allow(now, len(out.Packed)) {
			return
		}
	} else {
		out.Entries = n.fleet.changedSince(since)
	}
	n.mesh.Send(p.Process, &schema.Frame{Body: &schema.Frame_Registry{Registry: out}})
}

// allPacked returns all entries, compressed: after a loss of power all daemons of the cell ask
// for them at once. The lock is held.
func (n *Node) allPacked() []byte {
	r := &n.fleet.sync
	if r.packedRevision == r.knownRevision {
		return r.packed
	}
	packed, err := packEntries(n.fleet.entriesSince(0))
	if err != nil {
		n.log.WithFields(logrus.Fields{"event": "entries_not_packed", "error": err}).Error()
	}
	r.packed, r.packedRevision = packed, r.knownRevision
	return packed
}

// changedSince returns the entries that have changed after a revision, and those that ended.
func (f *fleetView) changedSince(revision int64) []*schema.EntryRecord {
	list := f.entriesSince(revision)
	for id, g := range f.removedWorkers {
		if g.reportedRevision > revision {
			list = append(list, recordOf(registry.Item{Kind: registry.Worker, ID: id, Revision: g.revision, Deleted: true}))
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

// takeRegistry takes what a peer has read in the store. The lock is held.
func (n *Node) handleRegistry(now time.Duration, p mesh.Peer, g *schema.Registry) {
	r := &n.fleet.sync
	if r.isRelay {
		return
	}
	k := n.fleet.peers[p.Address]
	k.stream.HandleOpened(g.GetTerm())
	k.sendsChanges = true
	entries := g.GetEntries()
	if len(g.GetPacked()) > 0 {
		if g.GetRevision() <= r.knownRevision {
			return // all of it is known
		}
		var err error
		if entries, err = unpackEntries(g.GetPacked()); err != nil {
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
	if g.GetRevision() > 0 {
		if g.GetRevision() <= r.knownRevision || r.knownRevision < g.GetSince() {
			return
		}
		if g.GetComplete() {
			workers = append(workers, n.fleet.deletionsOfUnlisted(workers, g.GetRevision())...)
		}
		r.knownRevision = g.GetRevision()
		k.stream.HandleCopy(g.GetTerm())
	}
	// The peer has seen that a worker left, or its entry lapse; it judged.
	changed := n.applyWorkers(now, workers, func(string) bool { return true })
	if len(daemons) > 0 {
		n.applyDaemons(now, daemons)
	}
	if changed {
		n.scheduleReassign()
	}
}

// unlisted returns the ends of workers that a complete list doesn't show.
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
