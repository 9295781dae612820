// The daemon's view of its peers, and the assignment of workers to daemons.

package node

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/fleet"
	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// settleTimeout bounds how long a new process that can't read the list of daemons waits until
	// each peer is up or doesn't answer, before it takes over workers. Without the wait each new
	// process would first take every worker for itself.
	settleTimeout = 600 * time.Millisecond
	// listedSettleTimeout is the same for a process that knows the list of daemons. Links to live
	// daemons take some tens of ms, and all daemons start within 0.3 s after a loss of power.
	listedSettleTimeout = 350 * time.Millisecond
	// startingSettleTimeout is the same for a process that met only peers which have just started
	// too. All of them lost power, they have no runs to claim, and every caller waits for the first
	// worker. The process meets an established peer one round trip after its dial, within some ms;
	// the rest of the time is for the dials to all peers on a small VM.
	startingSettleTimeout = 100 * time.Millisecond
	// assumePeriod is how long after its start a daemon counts registered daemons as members before
	// it is linked with them. All may have lost power at once and start within 0.3 s of each other.
	// Each daemon then takes only its own part of the workers.
	assumePeriod = time.Second
	// assemblePeriod is how long after its start a daemon waits for reports on most workers before
	// it refuses jobs for lack of free capacity. It bounds the wait when no daemon takes some of
	// the workers.
	assemblePeriod = 3 * time.Second
	// dropInterval is the pause between checks of all entries for those that have been missing for
	// too long. In a large fleet a check at each tick would take a part of a busy daemon's time.
	dropInterval = 200 * time.Millisecond
	// maxDaemonListAge is the age up to which the list of daemons shows that one of them has left. The
	// store answers a watch at least every 1.3 s, and relays pass its answers on.
	maxDaemonListAge = 5 * time.Second
	// minorityWait is how long a daemon that has lost half of its peers or more by time-outs leaves
	// their workers alone. It is more likely cut off itself, and would take workers from holders
	// that still serve.
	minorityWait = 8 * time.Second
)

// knownPeer is a peer that is or was linked.
type knownPeer struct {
	mesh.Peer
	leaving          bool
	storeUnreachable bool
	// configurationVersion is the version of the configuration in force at the peer.
	configurationVersion uint64
	up                   bool
	// unreachableSince is when the peer's heartbeats timed out; 0 for a peer that is up. A peer
	// whose connections are refused is removed.
	unreachableSince time.Duration
	// pendingJobs counts its durable jobs that have not started, by queue.
	pendingJobs map[string]uint32
	// announced are the jobs that it has reported as stored since its last heartbeat, and whether they count.
	announced map[string]bool
	// reported is the relay state in its heartbeats, and stream tells whether its updates are
	// complete.
	reported registry.RelayState
	stream   registry.RelayStream
	// sendsChanges: it has announced that it sends the changes of entries.
	sendsChanges bool
}

// fleetView is the daemon's view of its peers and of the workers.
type fleetView struct {
	peers   map[netip.AddrPort]*knownPeer
	workers map[string]*knownWorker
	// removedWorkers holds the deletions of workers' entries for removedWorkerMemory.
	removedWorkers map[string]removedWorker
	// daemons are the other daemons' registry entries, by name; removedDaemons counts those of them
	// that were deleted.
	daemons        map[string]*knownDaemon
	removedDaemons int
	// cells divides large fleets; cell is the index of this daemon's cell.
	cells   fleet.Cells
	cell    int
	settled bool
	// daemonsListed: the store returned the list of daemons. assumeUnlinked: those of the list
	// count as members before they are linked.
	daemonsListed, assumeUnlinked bool
	// daemonsReadAt is when this daemon had read the list of daemons, or failed to.
	daemonsReadAt time.Duration
	// dropAt is when the next check for entries that have been missing for too long is due.
	dropAt time.Duration
	// reassignDue: the next tick reassigns the workers. reassignAt is when a tick does so without
	// any change; 0: never.
	reassignDue bool
	reassignAt  time.Duration
	// interval is the time between this daemon's heartbeats, as last reported to peers.
	interval time.Duration
	// storeFailedAt is when a call to the store last failed.
	storeFailedAt time.Duration
	sync          entrySync
	// retirements holds which failure domains the operator has retired or reinstated.
	retirements registry.Retirements
	// forgottenRevision is the latest revision of a deletion that the daemon no longer remembers.
	forgottenRevision int64
}

func newFleetView() fleetView {
	return fleetView{
		peers: make(map[netip.AddrPort]*knownPeer), workers: make(map[string]*knownWorker), removedWorkers: make(map[string]removedWorker),
		daemons: make(map[string]*knownDaemon), interval: fleet.MinHeartbeatInterval,
	}
}

func (f *fleetView) peerUp(p mesh.Peer) {
	f.peers[p.Address] = &knownPeer{Peer: p, up: true}
}

func (f *fleetView) isUp(p mesh.Peer) bool {
	k := f.peers[p.Address]
	return k != nil && k.up && k.Incarnation == p.Incarnation
}

// handleHeartbeat applies a peer's heartbeat and reports whether it changes the assignment of
// workers.
func (f *fleetView) handleHeartbeat(now time.Duration, p mesh.Peer, heartbeat *schema.Pulse) bool {
	k := f.peers[p.Address]
	leaving := heartbeat.GetLeaving()
	changed := k.leaving != leaving
	k.leaving, k.storeUnreachable, k.pendingJobs, k.announced = leaving, heartbeat.GetStoreLost(), heartbeat.GetPending(), nil
	k.configurationVersion = heartbeat.GetDocumentVersion()
	f.sync.handleHeartbeat(now, k, heartbeat)
	return changed
}

func (f *fleetView) peerUnreachable(now time.Duration, p mesh.Peer, refused bool) {
	k := f.peers[p.Address]
	if k == nil || k.Incarnation != p.Incarnation {
		return
	}
	if refused {
		delete(f.peers, p.Address)
		return
	}
	k.up, k.unreachableSince = false, now
}

// setInterval adapts the heartbeat interval to the number of peers.
func (f *fleetView) setInterval() { f.interval = fleet.HeartbeatInterval(f.livePeers()) }

// livePeers returns the number of peers that are up.
func (f *fleetView) livePeers() int {
	live := 0
	for _, k := range f.peers {
		if k.up {
			live++
		}
	}
	return live
}

// inMinority reports whether this daemon has lost half of its peers or more by time-outs: it is more
// likely cut off itself. Peers whose connections are refused don't count.
func (f *fleetView) inMinority() bool {
	live, unreachable := 1, 0
	for _, k := range f.peers {
		if k.up {
			live++
		} else {
			unreachable++
		}
	}
	return unreachable >= live
}

// processes returns this daemon and the peers that are up and not leaving.
func (f *fleetView) processes(self mesh.Peer) []member.Process {
	list := []member.Process{self.Process}
	for _, k := range f.peers {
		if k.up && !k.leaving {
			list = append(list, k.Process)
		}
	}
	return list
}

// members returns the daemons among which the workers are assigned.
func (f *fleetView) members(now time.Duration, self mesh.Peer, stopping bool) []fleet.Member {
	minority := f.inMinority()
	var list []fleet.Member
	for a, k := range f.peers {
		assumed := k.up
		if !k.up && minority && now-k.unreachableSince < minorityWait {
			assumed = true
		}
		if !k.up && now-k.unreachableSince >= minorityWait {
			delete(f.peers, a)
		}
		if assumed && !k.leaving {
			list = append(list, fleet.Member{Process: k.Process, Domain: k.Domain, Weight: k.Weight})
		}
	}
	if now < f.daemonsReadAt+assumePeriod {
		list = append(list, f.unlinkedMembers(self)...)
	}
	if !stopping || len(list) == 0 {
		list = append(list, fleet.Member{Process: self.Process, Domain: self.Domain, Weight: self.Weight})
	}
	return list
}

// unlinkedMembers returns the registered daemons of this cell that have not been linked yet.
func (f *fleetView) unlinkedMembers(self mesh.Peer) (list []fleet.Member) {
	for _, d := range f.daemons {
		if d.Address != self.Address && d.removedAt == 0 && f.peers[d.Address] == nil && f.inCell(d.Address) {
			list = append(list, fleet.Member{Process: member.Process{Address: d.Address}, Domain: d.Domain, Weight: d.Weight})
		}
	}
	return list
}

// hasUnlinkedMember reports whether a daemon of this daemon's cell that runs or may run is not linked now.
func (f *fleetView) hasUnlinkedMember(self netip.AddrPort) bool {
	for _, k := range f.peers {
		if !k.up {
			return true
		}
	}
	for _, d := range f.daemons {
		if d.Address != self && f.peers[d.Address] == nil && f.inCell(d.Address) {
			return true
		}
	}
	return false
}

// daemonInfos returns the known daemons, this one included. Daemons whose entries were deleted
// recently are still among them.
func (f *fleetView) daemonInfos(self mesh.Peer) []fleet.DaemonInfo {
	list := []fleet.DaemonInfo{{Address: self.Address, Domain: self.Domain, Weight: self.Weight}}
	for _, d := range f.daemons {
		if d.Address != self.Address {
			list = append(list, d.DaemonInfo)
		}
	}
	return list
}

// inCell reports whether a daemon belongs to this daemon's cell.
func (f *fleetView) inCell(a netip.AddrPort) bool { return f.cells.CellOf(a) == f.cell }

// knowsCellOf reports whether any daemon of the cell to which an address belongs has an entry, or had one
// within removedDaemonGrace.
func (f *fleetView) knowsCellOf(a netip.AddrPort) bool {
	cell := f.cells.CellOf(a)
	for _, d := range f.daemons {
		if f.cells.CellOf(d.Address) == cell {
			return true
		}
	}
	return false
}

// isRegistered reports whether a daemon has an entry in the registry.
func (f *fleetView) isRegistered(a netip.AddrPort) bool {
	for _, d := range f.daemons {
		if d.Address == a && d.removedAt == 0 {
			return true
		}
	}
	return false
}

// hasLeft reports whether the current list of daemons doesn't contain a daemon. A daemon that runs and
// reaches the store restores its entry there, so one without an entry has left, or has to link this
// daemon itself. While the list is old nobody has left: the store may be unreachable.
func (f *fleetView) hasLeft(now time.Duration, a netip.AddrPort) bool {
	if f.sync.knownRevision == 0 || now-f.sync.upToDateAt > maxDaemonListAge {
		return false
	}
	for _, d := range f.daemons {
		if d.Address == a {
			return false
		}
	}
	return true
}

// resizeCells divides the fleet into a new number of cells when its size requires it.
func (n *Node) resizeCells(now time.Duration) {
	f := &n.fleet
	f.forgetRemovedDaemons(now)
	count := len(f.daemonInfos(n.self))
	cells := f.cells.ResizedFor(count)
	if cells == f.cells {
		return
	}
	f.cells, f.cell = cells, cells.CellOf(n.self.Address)
	f.resetCellMemberships() // too many workers change cells to leave each to its former cell for a while
	n.log.WithFields(logrus.Fields{"event": "cells_changed", "cells": cells.Count(), "cell": f.cell, "daemons": count}).Info()
	n.mesh.RestrictPeers(func(a netip.AddrPort) bool { return cells.CellOf(a) == cells.CellOf(n.self.Address) })
}

// fleetTick handles the changes that the passing of time causes.
func (n *Node) fleetTick(now time.Duration) {
	f := &n.fleet
	changed := false
	if now >= f.dropAt {
		f.dropAt = now + dropInterval
		changed = f.removeMissing(now)
	}
	if f.forgetRemovedDaemons(now) {
		n.resizeCells(now)
		changed = true
	}
	n.requestEntries(now)
	if now >= assemblePeriod {
		n.coordinator.ExpectWorkers(0)
	}
	if !f.settled && len(f.workers) > 0 && n.maySettle(now, n.mesh.MetEstablishedPeer()) {
		f.settled, f.assumeUnlinked = true, true
		changed = true
	}
	if f.assumeUnlinked && now >= f.daemonsReadAt+assumePeriod {
		f.assumeUnlinked = false
		changed = true
	}
	for _, k := range f.peers {
		if !k.up && now-k.unreachableSince >= minorityWait {
			changed = true
		}
	}
	switch {
	case changed, f.reassignDue, f.reassignAt > 0 && now >= f.reassignAt:
		n.assignWorkers(now)
	case f.settled:
		// The executor drops a departed worker when its last run has ended.
		n.executor.Remove(now, func(id string) bool { return f.workers[id] == nil })
	}
}

// maySettle reports whether a new process may take over workers. A coordinator without a link to it
// could not claim its runs there, and the process would stop them. So it waits for links to all
// daemons. It waits only briefly for daemons that may have lost power too, as they have no runs.
// metEstablished: it has met an established daemon.
func (n *Node) maySettle(now time.Duration, metEstablished bool) bool {
	f := &n.fleet
	waitLimit := listedSettleTimeout
	if !metEstablished {
		waitLimit = startingSettleTimeout
	}
	switch {
	case !n.cellResolved.Load():
		return false
	case f.daemonsListed:
		return len(f.unlinkedMembers(n.self)) == 0 || now >= f.daemonsReadAt+waitLimit
	default:
		return n.mesh.AllPeersTried() || now >= f.daemonsReadAt+settleTimeout
	}
}

// scheduleReassign makes the next tick reassign the workers. Changes arrive in bursts, at a start a
// new peer every few ms, and an assignment of a thousand workers takes a small VM several ms. The
// caller holds the lock.
func (n *Node) scheduleReassign() { n.fleet.reassignDue = true }

// assignWorkers assigns the workers to the members that this daemon knows. The caller holds the
// lock.
func (n *Node) assignWorkers(now time.Duration) {
	f := &n.fleet
	f.reassignDue = false
	all := make([]executor.WorkerInfo, 0, len(f.workers))
	for _, w := range f.workers {
		all = append(all, w.info)
		n.executor.Update(now, w.info)
	}
	all = f.cells.Workers(f.cell, all, f.daemonInfos(n.self))
	n.executor.SetDeparting(f.notIn(all))
	all = f.readyForTakeover(now, all)
	if now < assemblePeriod {
		n.coordinator.ExpectWorkers(len(all))
	}
	if !f.settled {
		return
	}
	holders := fleet.Assign(all, f.members(now, n.self, n.stopping.Load()))
	var assigned []executor.WorkerInfo
	for _, w := range all {
		if holders[w.ID] == n.self.Process {
			assigned = append(assigned, w)
		}
	}
	n.executor.SetWorkers(now, assigned)
	n.shareSlowdowns(now)
	n.executor.Remove(now, func(id string) bool { return f.workers[id] == nil })
	n.log.WithFields(logrus.Fields{"event": "workers_assigned", "own": len(assigned), "all": len(all), "peers": len(f.peers)}).Debug()
}
