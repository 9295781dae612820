// The view of the peers: which are alive, and which may be contacted.

package member

import (
	"net/netip"
	"slices"
	"time"
)

// Config holds the settings of a view.
type Config struct {
	// Self is the address of this entry's peer interface.
	Self netip.AddrPort
	// Incarnation identifies this process among those that ran at the address.
	Incarnation uint64
	// Domain is this entry's failure domain.
	Domain string
	// Timeout is the time without a heartbeat after which a peer counts as dead. It must be several
	// heartbeat intervals.
	Timeout time.Duration
	// RemoteTimeout is the same for a peer of another failure domain.
	RemoteTimeout time.Duration
}

// Peer is the state of another entry at its latest heartbeat.
type Peer struct {
	Address     netip.AddrPort
	Incarnation uint64
	Domain      string
	// LastHeartbeat is when the latest heartbeat arrived.
	LastHeartbeat time.Duration
	// Stopping is set once the peer has handed back its slots.
	Stopping bool
	// Clock is the peer's own time at its latest heartbeat. The peer mints identifiers by this clock.
	// When IdentifierLifetime has passed since an identifier was minted, the peer neither starts the
	// identifier's job nor reports an answer of it.
	Clock              time.Duration
	IdentifierLifetime time.Duration
	// FreeSlots is the number of slots that the peer could lend at its latest heartbeat.
	FreeSlots int
	// ConfigRevision and VMListVersion are the versions in force at the peer.
	ConfigRevision uint64
	VMListVersion  uint64
}

// Process identifies a process by its address and incarnation.
type Process struct {
	Address     netip.AddrPort
	Incarnation uint64
}

// View is one entry's view of the others. It is not safe for concurrent use.
type View struct {
	config     Config
	peers      map[netip.AddrPort]*Peer
	candidates map[netip.AddrPort]string
	successors map[Process]successorRecord
	heartbeats map[Process]heartbeatRecord
	// heartbeatOrder holds the keys of heartbeats, the oldest first.
	heartbeatOrder []Process
}

// NewView returns a view without peers.
func NewView(c Config) *View {
	return &View{
		config:     c,
		peers:      make(map[netip.AddrPort]*Peer),
		candidates: make(map[netip.AddrPort]string),
		successors: make(map[Process]successorRecord),
		heartbeats: make(map[Process]heartbeatRecord),
	}
}

// SetCandidates sets the addresses that may be contacted, with their failure domains where known. It
// leaves out this entry's own address.
func (v *View) SetCandidates(c map[netip.AddrPort]string) {
	v.candidates = make(map[netip.AddrPort]string, len(c))
	for a, domain := range c {
		if a != v.config.Self {
			v.candidates[a] = domain
		}
	}
}

// Candidates returns the addresses that may be contacted, sorted: those of the VM list and settings, and
// those from which a heartbeat arrived.
func (v *View) Candidates() []netip.AddrPort {
	all := make([]netip.AddrPort, 0, len(v.candidates)+len(v.peers))
	for a := range v.candidates {
		all = append(all, a)
	}
	for a := range v.peers {
		if _, ok := v.candidates[a]; !ok {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all
}

// Domain returns the failure domain of an address, or "" if it is not known.
func (v *View) Domain(a netip.AddrPort) string {
	if p := v.peers[a]; p != nil {
		return p.Domain
	}
	return v.candidates[a]
}

// Known reports whether an address belongs to an entry. Only known addresses may be connected to, because
// an address inside an identifier is input of a caller.
func (v *View) Known(a netip.AddrPort) bool {
	if _, ok := v.candidates[a]; ok {
		return true
	}
	return v.peers[a] != nil
}

// HandleHeartbeat records a peer's heartbeat and reports whether the set of live peers changed.
func (v *View) HandleHeartbeat(now time.Duration, p Peer) (changed bool) {
	if p.Address == v.config.Self {
		return false
	}
	old := v.peers[p.Address]
	changed = old == nil || !v.live(old, now) || old.Incarnation != p.Incarnation || old.Stopping != p.Stopping
	p.LastHeartbeat = now
	v.peers[p.Address] = &p
	v.recordHeartbeat(now, &p)
	return changed
}

// HandlePause records that this entry itself was paused for a time d, in which it could receive no
// heartbeats. Without this, an entry that resumes would count all peers as dead and take all slots.
func (v *View) HandlePause(now, d time.Duration) {
	for _, p := range v.peers {
		p.LastHeartbeat = min(p.LastHeartbeat+d, now)
	}
}

// AllHeardSince reports whether every live peer has sent a heartbeat at time t or later.
func (v *View) AllHeardSince(t time.Duration) bool {
	for _, p := range v.peers {
		if p.LastHeartbeat < t {
			return false
		}
	}
	return true
}

// Tick removes the peers whose time-out has passed, and reports whether there were any.
func (v *View) Tick(now time.Duration) (changed bool) {
	v.removeExpiredSuccessors(now)
	for a, p := range v.peers {
		if !v.live(p, now) {
			delete(v.peers, a)
			changed = true
		}
	}
	return changed
}

func (v *View) live(p *Peer, now time.Duration) bool {
	if p.Domain != v.config.Domain {
		return now-p.LastHeartbeat <= v.config.RemoteTimeout
	}
	return now-p.LastHeartbeat <= v.config.Timeout
}

// Peer returns the live peer at an address, or nil if there is none.
func (v *View) Peer(a netip.AddrPort) *Peer { return v.peers[a] }

// Live returns the live peers of a failure domain, or all of them for "", sorted by address.
func (v *View) Live(domain string) []*Peer {
	var live []*Peer
	for _, p := range v.peers {
		if domain == "" || p.Domain == domain {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b *Peer) int { return a.Address.Compare(b.Address) })
	return live
}

// Members returns the addresses among which the slots of this failure domain are divided, sorted: this
// entry and its live peers that are not stopping. An entry that is stopping continues to count itself,
// for retries of the tasks that it still runs, while its peers have already divided the slots among
// themselves.
func (v *View) Members() []netip.AddrPort {
	members := []netip.AddrPort{v.config.Self}
	for _, p := range v.Live(v.config.Domain) {
		if !p.Stopping {
			members = append(members, p.Address)
		}
	}
	slices.SortFunc(members, netip.AddrPort.Compare)
	return members
}
