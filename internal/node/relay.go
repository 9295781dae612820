package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

// askCopyEvery is the pause between two questions for all entries: with 1,100 workers they
// take 90 ms on a link of 25 Mbit/s.
const askCopyEvery = time.Second

// relay is a daemon's part in the reading of the store's entries: a few read them for all
// (package registry). Guarded by the node's lock.
type relay struct {
	// known is the store's revision up to which all changes are known here.
	known int64
	// readAt is when the store last answered a read of this daemon's own.
	readAt time.Duration
	// reader: this daemon reads for others; term counts how often it began to, at beganAt.
	reader  bool
	term    uint32
	beganAt time.Duration
	// news are entries that have changed since they were last passed on.
	news []*schema.EntryRecord
	// askedAt is when a reader was last asked for all entries.
	askedAt time.Duration
	copies  registry.Copies
}

// note keeps a change to be passed on.
func (r *relay) note(i registry.Item) {
	if r.reader {
		r.news = append(r.news, recordOf(i))
	}
}

func recordOf(i registry.Item) *schema.EntryRecord {
	return &schema.EntryRecord{Kind: uint32(i.Kind), Id: i.ID, Content: i.Content, Revision: i.Revision, Deleted: i.Deleted}
}

// judgeReader finds out whether this daemon reads for others. The lock is held.
func (n *Node) judgeReader(now time.Duration) {
	r := &n.fleet.relay
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
	var able []registry.Reader
	if !n.documents.lost(now) && !n.stopping.Load() {
		able = append(able, registry.Reader{Process: n.self.Process, Domain: n.self.Domain, Weight: n.self.Weight})
	}
	for _, k := range n.fleet.up {
		if k.up && !k.leaving && !k.storeLost {
			able = append(able, registry.Reader{Process: k.Process, Domain: k.Domain, Weight: k.Weight})
		}
	}
	return registry.Readers(able)
}

// tell is what this daemon tells of its reading.
func (r *relay) tell(now time.Duration, p *schema.Pulse) {
	if r.reader && r.readAt > r.beganAt {
		p.RegistryRevision, p.RegistryTerm, p.RegistryAgeMs = r.known, r.term, (now - r.readAt).Milliseconds()
	}
}

// heard takes what a peer tells of its reading. A daemon that reads for others takes
// nothing from other readers, as it would have to pass it on.
func (r *relay) heard(now time.Duration, k *knownPeer, p *schema.Pulse) {
	k.told = registry.Told{Revision: p.GetRegistryRevision(), Term: p.GetRegistryTerm(), Age: ms(p.GetRegistryAgeMs())}
	if r.reader {
		k.chain = registry.Chain{}
		return
	}
	r.known = k.chain.Heard(now, r.known, k.told)
}

// relayed returns the revision up to which all is known here, and whether this daemon can
// rely on others to read.
func (n *Node) relayed() (known int64, current bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, r := n.clock.now(), &n.fleet.relay
	if r.reader || !registry.Relayed(n.fleet.live()) && !n.documents.lost(now) {
		return r.known, false
	}
	return r.known, n.fleet.reliedOn(now)
}

// reliedOn reports whether there is a reader that this daemon can rely on.
func (f *fleetView) reliedOn(now time.Duration) bool {
	for _, k := range f.up {
		if k.up && k.chain.Current(now) {
			return true
		}
	}
	return false
}

// passOn sends what has changed to all peers. The lock is held.
func (n *Node) passOn() {
	r := &n.fleet.relay
	if len(r.news) == 0 {
		return
	}
	for _, k := range n.fleet.up {
		if k.up {
			// A frame for each: the link numbers it.
			n.mesh.Send(k.Process, &schema.Frame{Body: &schema.Frame_Registry{Registry: &schema.Registry{Entries: r.news, Term: r.term}}})
		}
	}
	r.news = nil
}

// askForCopy asks a reader for all entries where the store turns this daemon away and it
// doesn't know enough to rely on the reader's changes. The lock is held.
func (n *Node) askForCopy(now time.Duration) {
	r := &n.fleet.relay
	if !n.documents.lost(now) || now-r.askedAt < askCopyEvery && r.askedAt > 0 || n.fleet.reliedOn(now) {
		return
	}
	for _, k := range n.fleet.up {
		if k.up && k.told.Revision > r.known && k.Process != n.fleet.askedLast {
			r.askedAt, n.fleet.askedLast = now, k.Process
			n.log.WithFields(logrus.Fields{"event": "entries_asked_for", "peer": k.Name, "revision": r.known}).Info()
			n.mesh.Send(k.Process, &schema.Frame{Body: &schema.Frame_RegistryRequest{RegistryRequest: &schema.RegistryRequest{Revision: r.known}}})
			return
		}
	}
	n.fleet.askedLast = member.Process{}
}

// copyAsked sends all entries to a peer. One that gets none asks another reader. The lock
// is held.
func (n *Node) copyAsked(now time.Duration, p mesh.Peer, q *schema.RegistryRequest) {
	r := &n.fleet.relay
	if !r.reader || r.readAt <= r.beganAt || q.GetRevision() >= r.known || !r.copies.Take(now) {
		return
	}
	out := &schema.Registry{Revision: r.known, Term: r.term, Complete: true}
	for id, w := range n.fleet.workers {
		if w.missing == 0 {
			out.Entries = append(out.Entries, recordOf(registry.Item{Kind: registry.Worker, ID: id, Content: w.content, Revision: w.revision}))
		}
	}
	for id, d := range n.fleet.daemons {
		if d.gone == 0 {
			out.Entries = append(out.Entries, recordOf(registry.Item{Kind: registry.Daemon, ID: id, Content: d.content, Revision: d.revision}))
		}
	}
	n.mesh.Send(p.Process, &schema.Frame{Body: &schema.Frame_Registry{Registry: out}})
}

// takeRegistry takes what a peer has read in the store. The lock is held.
func (n *Node) takeRegistry(now time.Duration, p mesh.Peer, g *schema.Registry) {
	r := &n.fleet.relay
	if r.reader {
		return
	}
	var workers, daemons []registry.Item
	for _, e := range g.GetEntries() {
		i := registry.Item{Kind: registry.Kind(e.GetKind()), ID: e.GetId(), Content: e.GetContent(), Revision: e.GetRevision(), Deleted: e.GetDeleted()}
		switch i.Kind {
		case registry.Worker:
			workers = append(workers, i)
		case registry.Daemon:
			daemons = append(daemons, i)
		}
	}
	if g.GetComplete() {
		if g.GetRevision() <= r.known || !n.documents.lost(now) {
			return
		}
		workers = append(workers, n.fleet.unlisted(workers, g.GetRevision())...)
		r.known = g.GetRevision()
		n.fleet.up[p.Address].chain.Copied(g.GetTerm())
	}
	// The peer has seen that a worker left, or its entry lapse; it judged.
	changed := n.takeWorkers(now, workers, func(string) bool { return true })
	if len(daemons) > 0 {
		n.takeDaemons(now, daemons)
	}
	if changed {
		n.reassign(now)
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
