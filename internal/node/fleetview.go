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
	// settleTime is how long a new process that can't read which daemons there are waits at
	// most for its peers to be up or found gone before it takes workers over: without it each
	// new process would take every worker for itself first.
	settleTimeout = 600 * time.Millisecond
	// listedSettleTime is the same for a process that knows which daemons there are: links to
	// live ones take some tens of ms, and all start within 0.3 s after a loss of power.
	listedSettleTimeout = 350 * time.Millisecond
	// youngSettleTime is the same for a process that has met no peer but such as have just
	// started too: all lost power, nothing runs that they could claim, and every caller waits
	// for the first worker. A peer that was there before is met a round trip after its dial,
	// within some ms; the rest is for the dials to all on a small machine.
	startingSettleTimeout = 100 * time.Millisecond
	// assumeTime is how long after its start a daemon takes those that have an entry, and that
	// it is not linked with yet, for members: all may have lost power at once, and start
	// within 0.3 s of each other. Each takes its own part of the workers then, and no more.
	assumePeriod = time.Second
	// assembleTime is how long after its start a daemon waits for news of most workers before
	// it refuses jobs for want of room. It bounds the wait where some workers are never taken.
	assemblePeriod = 3 * time.Second
	// dropPace is the pause between looks at all entries for those that have been missing for
	// too long: of a large fleet, a look with each tick would take a part of a busy daemon's time.
	dropInterval = 200 * time.Millisecond
	// minorityWait is how long a daemon that has lost half of its peers to silence
	// leaves their workers alone: it is more likely cut off itself, and would take
	// workers from holders that go on serving.
	minorityWait = 8 * time.Second
)

// knownPeer is a peer that was up.
type knownPeer struct {
	mesh.Peer
	leaving   bool
	storeUnreachable bool
	// documentVersion is that of the configuration in force there.
	configurationVersion uint64
	up              bool
	// silentSince is when it was lost to silence; 0 for one that is up or refused.
	unreachableSince time.Duration
	// pending are its kept jobs that have not begun, by queue.
	pendingJobs map[string]uint32
	// told is what it tells of its reading of the store, and chain what is learned by it.
	reported  registry.RelayState
	stream registry.RelayStream
	// sends: it has said that it sends what changes.
	sendsChanges bool
}

// fleetView is what the daemon believes of peers and workers.
type fleetView struct {
	peers      map[netip.AddrPort]*knownPeer
	workers map[string]*knownWorker
	// gone holds the ends of workers' entries, for a while.
	removedWorkers map[string]removedWorker
	// daemons are the other daemons' entries in the registry, by name; departed counts those
	// that have vanished.
	daemons  map[string]*knownDaemon
	removedDaemons int
	// cells divides large fleets; cell is this daemon's.
	cells   fleet.Cells
	cell    int
	settled bool
	// listed: the store has told which daemons there are; assuming: those count as members
	// before they are linked.
	daemonsListed, assumeUnlinked bool
	// placedAt is when this daemon had tried to read which daemons there are.
	daemonsReadAt time.Duration
	// dropAt is when to look next for entries that have been missing for too long.
	dropAt time.Duration
	// divide: the workers are to be divided anew; at divideAt they are without news, 0: never.
	reassignDue   bool
	reassignAt time.Duration
	// interval is the time between this daemon's heartbeats, as peers were last told.
	interval time.Duration
	// outage is when the store last failed.
	storeFailedAt time.Duration
	sync  entrySync
	// retirements are the operator's words on failure domains.
	retirements registry.Retirements
	// forgotten is the latest revision of an end of an entry that is not remembered any more.
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

// pulsed takes news of a peer and reports whether it changes who holds what.
func (f *fleetView) handleHeartbeat(now time.Duration, p mesh.Peer, pulse *schema.Pulse) bool {
	k := f.peers[p.Address]
	leaving := pulse.GetLeaving()
	changed := k.leaving != leaving
	k.leaving, k.storeUnreachable, k.pendingJobs = leaving, pulse.GetStoreLost(), pulse.GetPending()
	k.configurationVersion = pulse.GetDocumentVersion()
	f.sync.handleHeartbeat(now, k, pulse)
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

// setInterval fits the interval of heartbeats to the number of peers.
func (f *fleetView) setInterval() { f.interval = fleet.HeartbeatInterval(f.livePeers()) }

// live is the number of peers that are up.
func (f *fleetView) livePeers() int {
	live := 0
	for _, k := range f.peers {
		if k.up {
			live++
		}
	}
	return live
}

// minority reports whether half of the peers or more were lost to silence: this daemon is
// more likely cut off itself.
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

// processes returns this daemon and those that are up.
func (f *fleetView) processes(self mesh.Peer) []member.Process {
	list := []member.Process{self.Process}
	for _, k := range f.peers {
		if k.up && !k.leaving {
			list = append(list, k.Process)
		}
	}
	return list
}

// members returns the daemons among which the workers are divided.
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

// unlinked are the daemons of this cell that have an entry and were not linked yet.
func (f *fleetView) unlinkedMembers(self mesh.Peer) (list []fleet.Member) {
	for _, d := range f.daemons {
		if d.Address != self.Address && d.removedAt == 0 && f.peers[d.Address] == nil && f.inCell(d.Address) {
			list = append(list, fleet.Member{Process: member.Process{Address: d.Address}, Domain: d.Domain, Weight: d.Weight})
		}
	}
	return list
}

// places returns where the daemons are that are known, this one too; those whose entries
// have vanished lately are still among them.
func (f *fleetView) daemonInfos(self mesh.Peer) []fleet.DaemonInfo {
	list := []fleet.DaemonInfo{{Address: self.Address, Domain: self.Domain, Weight: self.Weight}}
	for _, d := range f.daemons {
		if d.Address != self.Address {
			list = append(list, d.DaemonInfo)
		}
	}
	return list
}

// inCell reports whether a daemon is of this daemon's cell.
func (f *fleetView) inCell(a netip.AddrPort) bool { return f.cells.CellOf(a) == f.cell }

// entered reports whether the daemon has an entry in the registry.
func (f *fleetView) isRegistered(a netip.AddrPort) bool {
	for _, d := range f.daemons {
		if d.Address == a && d.removedAt == 0 {
			return true
		}
	}
	return false
}

// fitCells divides the fleet anew where its size asks for it.
func (n *Node) resizeCells(now time.Duration) {
	f := &n.fleet
	f.forgetRemovedDaemons(now)
	count := len(f.daemonInfos(n.self))
	cells := f.cells.ResizedFor(count)
	if cells == f.cells {
		return
	}
	f.cells, f.cell = cells, cells.CellOf(n.self.Address)
	f.resetCellMemberships() // too many change their cells for each to be left to its former one
	n.log.WithFields(logrus.Fields{"event": "cells_changed", "cells": cells.Count(), "cell": f.cell, "daemons": count}).Info()
	n.mesh.RestrictPeers(func(a netip.AddrPort) bool { return cells.CellOf(a) == cells.CellOf(n.self.Address) })
}

// fleetTick acts on what time alone changes.
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
		// Workers that left with something running are dropped once it has ended.
		n.executor.Remove(now, func(id string) bool { return f.workers[id] == nil })
	}
}

// maySettle reports whether a new process may take workers over. Coordinators that it is
// not linked with could not claim what runs there, and it would be stopped; so it waits for
// all daemons that there are, but not for long for those that may have lost power too, with
// whom nothing runs. metElder: it has met a daemon that had been there before.
func (n *Node) maySettle(now time.Duration, metElder bool) bool {
	f := &n.fleet
	waitLimit := listedSettleTimeout
	if !metElder {
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

// reassign has the workers divided anew with the next tick: what changes comes in bursts,
// at a start a new peer every few ms, and dividing a thousand workers takes a small machine
// several. The lock is held.
func (n *Node) scheduleReassign() { n.fleet.reassignDue = true }

// divideWorkers divides the workers among the members that this daemon sees. The lock is held.
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
	all = f.withoutHandovers(now, all)
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
