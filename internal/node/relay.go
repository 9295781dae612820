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
const askEvery = 400 * time.Millisecond

// relay is a daemon's part in the reading of the store's entries: a few read them for all
// (package registry). Guarded by the node's lock.
type relay struct {
	// known is the store's revision up to which all changes are known here.
	known int64
	// readAt is when the store last answered what this daemon has read, itself or of a root,
	// and tookAt when it was taken here; knownAt is when all was last known, by reading or by
	// being told.
	readAt, tookAt, knownAt time.Duration
	pursuit                 registry.SyncPlanner
	// reader: this daemon reads for others; term counts how often it began to, at beganAt.
	reader  bool
	term    uint32
	beganAt time.Duration
	// announced is the term of which peers that were linked have been told.
	announced uint32
	// first: what is taken is the first that this process reads. Peers that lack it ask.
	first bool
	// news are entries that have changed since they were last passed on.
	news []*schema.EntryRecord
	// askedAt is when a reader was last asked, and asked which one.
	askedAt time.Duration
	asked   member.Process
	copies  registry.CopyLimiter
	// root is the daemon of another cell that told what was read last, and rootAge how long
	// before it had heard from the store; "" and 0: the store itself.
	root    string
	rootAge time.Duration
	// read is closed with the next read; nil: nobody waits for it.
	read chan struct{}
	// packed is the list of all entries at packedAt, compressed.
	packed   []byte
	packedAt int64
}

// wake tells readers of other cells that there may be changes.
func (r *relay) wake() {
	if r.read != nil {
		close(r.read)
		r.read = nil
	}
}

// note keeps a change to be passed on.
func (r *relay) note(i registry.Item) {
	if r.reader && !r.first {
		r.news = append(r.news, recordOf(i))
	}
}

func recordOf(i registry.Item) *schema.EntryRecord {
	return &schema.EntryRecord{Kind: uint32(i.Kind), Id: i.ID, Content: i.Content, Revision: i.Revision, Deleted: i.Deleted}
}

// judgeReader finds out whether this daemon reads for others. The lock is held.
func (n *Node) judgeReader(now time.Duration) {
	r := &n.fleet.relay
	if !n.placed.Load() {
		return // the readers are of this daemon's cell, which is not known
	}
	reader := false
	for _, p := range n.readers(now) {
		reader = reader || p == n.self.Process
	}
	if reader == r.reader {
		return
	}
	if r.reader, r.news = reader, nil; reader {
		r.term++
		r.beganAt = now
	}
	n.log.WithFields(logrus.Fields{"event": "reads_entries", "for_others": reader, "term": r.term}).Info()
}

// readers are the daemons that read the store's entries, as this one sees it.
func (n *Node) readers(now time.Duration) []member.Process {
	var able []registry.Relay
	if !n.documents.lost(now) && !n.stopping.Load() {
		able = append(able, registry.Relay{Process: n.self.Process, Domain: n.self.Domain, Weight: n.self.Weight})
	}
	for _, k := range n.fleet.up {
		if k.up && !k.leaving && !k.storeLost {
			able = append(able, registry.Relay{Process: k.Process, Domain: k.Domain, Weight: k.Weight})
		}
	}
	if now < n.fleet.placedAt+assumeTime {
		// At a start each daemon would take itself for a reader until it is linked.
		for _, m := range n.fleet.unlinked(n.self) {
			able = append(able, registry.Relay{Process: m.Process, Domain: m.Domain, Weight: m.Weight})
		}
	}
	return registry.SelectRelays(able)
}

// awaitsReaders reports whether this daemon, which has just started and knows nothing, is to
// be told by those that read for its cell.
func (n *Node) awaitsReaders(now time.Duration) bool {
	f := &n.fleet
	if f.relay.known > 0 || f.relay.reader || !f.listed {
		return false
	}
	return registry.UsesRelays(f.live()+len(f.unlinked(n.self)), f.cells.Count() > 1) && now < f.placedAt+2*assumeTime
}

// tell is what this daemon tells of its reading.
func (r *relay) tell(now time.Duration, p *schema.Pulse) {
	if r.reader && r.tookAt > r.beganAt {
		p.RegistryRevision, p.RegistryTerm, p.RegistryAgeMs = r.known, r.term, (now - r.readAt).Milliseconds()
	}
}

// heard takes what a peer tells of its reading. A daemon that reads for others takes
// nothing from other readers, as it would have to pass it on.
func (r *relay) heard(now time.Duration, k *knownPeer, p *schema.Pulse) {
	k.told = registry.RelayState{Revision: p.GetRegistryRevision(), Term: p.GetRegistryTerm(), Age: ms(p.GetRegistryAgeMs())}
	if r.reader {
		k.chain = registry.RelayStream{}
		return
	}
	r.known = k.chain.HandleState(now, r.known, k.told)
	if k.chain.UpToDate(now) {
		r.knownAt = max(r.knownAt, now-k.told.Age)
	}
}

// pursue returns the revision up to which all is known here, and how this daemon is to
// learn of later changes.
func (n *Node) pursue() (known int64, step registry.SyncAction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, r := n.clock.now(), &n.fleet.relay
	if !n.placed.Load() && r.known == 0 {
		return 0, registry.WaitForRelay
	}
	n.judgeReader(now)
	step = r.pursuit.NextAction(now, registry.SyncStatus{
		IsRelay: r.reader, UsesRelays: n.fleet.wide(), Starting: n.awaitsReaders(now), StoreUnreachable: n.documents.lost(now),
		RelayUpToDate: n.fleet.reliedOn(now), RelayAhead: n.fleet.ahead() != nil, UpToDateAt: r.knownAt,
	})
	if step == registry.WatchStore && r.known == 0 {
		step = registry.ReadAll // there is nothing to watch from
	}
	return r.known, step
}

// wide reports whether some daemons read for all.
func (f *fleetView) wide() bool { return registry.UsesRelays(f.live(), f.cells.Count() > 1) }

// ahead returns a reader that knows more than this daemon; nil when there is none. It is
// another one than was asked last, if there are two. What a reader knows is told by its
// heartbeats; who knows nothing doesn't wait for the next.
func (f *fleetView) ahead() *knownPeer {
	var found *knownPeer
	for _, k := range f.up {
		more := k.told.Revision > f.relay.known || f.relay.known == 0 && k.sends
		if k.up && more && (found == nil || found.Process == f.relay.asked) {
			found = k
		}
	}
	return found
}

// reliedOn reports whether there is a reader that this daemon can rely on.
func (f *fleetView) reliedOn(now time.Duration) bool {
	for _, k := range f.up {
		if k.up && k.chain.UpToDate(now) {
			return true
		}
	}
	return false
}

// passOn sends what has changed to all peers, and at the beginning of a term that it will.
// The lock is held.
func (n *Node) passOn() {
	r := &n.fleet.relay
	if len(r.news) == 0 && (!r.reader || r.announced == r.term) {
		return
	}
	for _, k := range n.fleet.up {
		if k.up {
			n.passTo(k.Process)
		}
	}
	r.news, r.announced = nil, r.term
}

// passTo sends what has changed to one peer; without changes, that they will be sent.
func (n *Node) passTo(p member.Process) {
	r := &n.fleet.relay
	n.mesh.Send(p, &schema.Frame{Body: &schema.Frame_Registry{Registry: &schema.Registry{Entries: r.news, Term: r.term}}})
}

// openTo tells a peer that was linked just now that it is sent what changes from here on.
// The lock is held.
func (n *Node) openTo(p member.Process) {
	if r := &n.fleet.relay; r.reader && r.announced == r.term {
		n.passTo(p)
	}
}

// askReader asks a reader for what this daemon lacks, if it can't rely on one already. The
// lock is held.
func (n *Node) askReader(now time.Duration) {
	r := &n.fleet.relay
	lost, told := n.documents.lost(now), n.awaitsReaders(now)
	reads := r.known == 0 && !lost && !told // by itself
	if r.reader || reads || !lost && !told && !n.fleet.wide() || r.askedAt > 0 && now-r.askedAt < askEvery || n.fleet.reliedOn(now) {
		return
	}
	k := n.fleet.ahead()
	if k == nil {
		return
	}
	r.askedAt, r.asked = now, k.Process
	n.log.WithFields(logrus.Fields{"event": "entries_asked_for", "peer": k.Name, "revision": r.known, "age_ms": (now - r.knownAt).Milliseconds()}).Info()
	n.mesh.Send(k.Process, &schema.Frame{Body: &schema.Frame_RegistryRequest{RegistryRequest: &schema.RegistryRequest{Revision: r.known}}})
}

// readerAsked sends a peer what has changed since it last knew all; where that is too long
// ago to be told, all entries. One that gets none of these asks another reader. The lock is
// held.
func (n *Node) readerAsked(now time.Duration, p mesh.Peer, q *schema.RegistryRequest) {
	r, since := &n.fleet.relay, q.GetRevision()
	if !r.reader || r.tookAt <= r.beganAt || since >= r.known {
		return
	}
	out := &schema.Registry{Revision: r.known, Term: r.term, Since: since}
	if since == 0 || since < n.fleet.forgotten {
		out.Since, out.Complete, out.Packed = 0, true, n.allPacked()
		if out.Packed == nil || !r.copies.Allow(now, len(out.Packed)) {
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
	r := &n.fleet.relay
	if r.packedAt == r.known {
		return r.packed
	}
	packed, err := packEntries(n.fleet.entriesSince(0))
	if err != nil {
		n.log.WithFields(logrus.Fields{"event": "entries_not_packed", "error": err}).Error()
	}
	r.packed, r.packedAt = packed, r.known
	return packed
}

// changedSince returns the entries that have changed after a revision, and those that ended.
func (f *fleetView) changedSince(revision int64) []*schema.EntryRecord {
	list := f.entriesSince(revision)
	for id, g := range f.gone {
		if g.told > revision {
			list = append(list, recordOf(registry.Item{Kind: registry.Worker, ID: id, Revision: g.revision, Deleted: true}))
		}
	}
	for id, d := range f.daemons {
		if d.gone > 0 && d.revision > revision {
			list = append(list, recordOf(registry.Item{Kind: registry.Daemon, ID: id, Revision: d.revision, Deleted: true}))
		}
	}
	return list
}

// entriesSince returns the entries that have changed after a revision.
func (f *fleetView) entriesSince(revision int64) (list []*schema.EntryRecord) {
	for id, w := range f.workers {
		if w.missing == 0 && w.changed > revision {
			list = append(list, recordOf(registry.Item{Kind: registry.Worker, ID: id, Content: w.content, Revision: w.revision}))
		}
	}
	for id, d := range f.daemons {
		if d.gone == 0 && d.revision > revision {
			list = append(list, recordOf(registry.Item{Kind: registry.Daemon, ID: id, Content: d.content, Revision: d.revision}))
		}
	}
	return list
}

// takeRegistry takes what a peer has read in the store. The lock is held.
func (n *Node) takeRegistry(now time.Duration, p mesh.Peer, g *schema.Registry) {
	r := &n.fleet.relay
	if r.reader {
		return
	}
	k := n.fleet.up[p.Address]
	k.chain.HandleOpened(g.GetTerm())
	k.sends = true
	entries := g.GetEntries()
	if len(g.GetPacked()) > 0 {
		if g.GetRevision() <= r.known {
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
		if g.GetRevision() <= r.known || r.known < g.GetSince() {
			return
		}
		if g.GetComplete() {
			workers = append(workers, n.fleet.unlisted(workers, g.GetRevision())...)
		}
		r.known = g.GetRevision()
		k.chain.HandleCopy(g.GetTerm())
	}
	// The peer has seen that a worker left, or its entry lapse; it judged.
	changed := n.takeWorkers(now, workers, func(string) bool { return true })
	if len(daemons) > 0 {
		n.takeDaemons(now, daemons)
	}
	if changed {
		n.reassign()
	}
}

// unlisted returns the ends of workers that a complete list doesn't show.
func (f *fleetView) unlisted(list []registry.Item, revision int64) (ends []registry.Item) {
	shown := make(map[string]bool, len(list))
	for _, i := range list {
		shown[i.ID] = true
	}
	for id := range f.workers {
		if !shown[id] {
			ends = append(ends, registry.Item{Kind: registry.Worker, ID: id, Revision: revision, Deleted: true})
		}
	}
	return ends
}
