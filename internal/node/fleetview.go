package node

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/fleet"
	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// settleTime is how long a new process waits at most for its peers to be up or found
	// gone before it takes workers over: without it each new process would take every
	// worker for itself first.
	settleTime = 600 * time.Millisecond
	// fewerWait is how long a fleet has to be smaller before its cells are joined.
	fewerWait = 15 * time.Second
	// minorityWait is how long a daemon that has lost half of its peers to silence
	// leaves their workers alone: it is more likely cut off itself, and would take
	// workers from holders that go on serving.
	minorityWait = 8 * time.Second
)

// knownPeer is a peer that was up.
type knownPeer struct {
	mesh.Peer
	leaving   bool
	storeLost bool
	// documentVersion is that of the configuration in force there.
	documentVersion uint64
	up              bool
	// silentSince is when it was lost to silence; 0 for one that is up or refused.
	silentSince time.Duration
	// pending are its kept jobs that have not begun, by queue.
	pending map[string]uint32
}

// knownWorker is an entry of the registry.
type knownWorker struct {
	info executor.WorkerInfo
	// missing is when the entry vanished in the wake of an outage of the store; 0: it is there.
	missing time.Duration
	// content is the entry as it was read, passed on to peers without the store.
	content []byte
}

// fleetView is what the daemon believes of peers and workers.
type fleetView struct {
	up      map[netip.AddrPort]*knownPeer
	workers map[string]*knownWorker
	// daemons are the addresses of the other daemons' entries in the registry, by name.
	daemons map[string]netip.AddrPort
	// cells divides large fleets; cell is this daemon's.
	cells fleet.Cells
	cell  int
	// fewerSince is since when there are too few daemons for the cells; 0: there are not.
	fewerSince time.Duration
	settled    bool
	// interval is the time between this daemon's heartbeats, as peers were last told.
	interval time.Duration
	// outage is when the store last failed.
	outage time.Duration
	// revision is that of the newest entry.
	revision int64
	// sharedAt is when the entries were last sent to each peer without the store.
	sharedAt map[uint64]time.Duration
}

func newFleetView() fleetView {
	return fleetView{
		up: make(map[netip.AddrPort]*knownPeer), workers: make(map[string]*knownWorker), daemons: make(map[string]netip.AddrPort),
		sharedAt: make(map[uint64]time.Duration), interval: fleet.FastestHeartbeat,
	}
}

func (f *fleetView) peerUp(p mesh.Peer) {
	f.up[p.Address] = &knownPeer{Peer: p, up: true}
}

func (f *fleetView) isUp(p mesh.Peer) bool {
	k := f.up[p.Address]
	return k != nil && k.up && k.Incarnation == p.Incarnation
}

// pulsed takes news of a peer and reports whether it changes who holds what.
func (f *fleetView) pulsed(p mesh.Peer, pulse *schema.Pulse) bool {
	k := f.up[p.Address]
	leaving := pulse.GetLeaving()
	changed := k.leaving != leaving
	k.leaving, k.storeLost, k.pending = leaving, pulse.GetStoreLost(), pulse.GetPending()
	k.documentVersion = pulse.GetDocumentVersion()
	return changed
}

func (f *fleetView) peerLost(now time.Duration, p mesh.Peer, gone bool) {
	k := f.up[p.Address]
	delete(f.sharedAt, p.Incarnation)
	if k == nil || k.Incarnation != p.Incarnation {
		return
	}
	if gone {
		delete(f.up, p.Address)
		return
	}
	k.up, k.silentSince = false, now
}

// setInterval fits the interval of heartbeats to the number of peers.
func (f *fleetView) setInterval() {
	live := 0
	for _, k := range f.up {
		if k.up {
			live++
		}
	}
	f.interval = fleet.HeartbeatInterval(live)
}

// minority reports whether half of the peers or more were lost to silence: this daemon is
// more likely cut off itself.
func (f *fleetView) minority() bool {
	live, silent := 1, 0
	for _, k := range f.up {
		if k.up {
			live++
		} else {
			silent++
		}
	}
	return silent >= live
}

// processes returns this daemon and those that are up.
func (f *fleetView) processes(self mesh.Peer) []member.Process {
	list := []member.Process{self.Process}
	for _, k := range f.up {
		if k.up && !k.leaving {
			list = append(list, k.Process)
		}
	}
	return list
}

// members returns the daemons among which the workers are divided.
func (f *fleetView) members(now time.Duration, self mesh.Peer, stopping bool) []fleet.Member {
	minority := f.minority()
	var list []fleet.Member
	for a, k := range f.up {
		assumed := k.up
		if !k.up && minority && now-k.silentSince < minorityWait {
			assumed = true
		}
		if !k.up && now-k.silentSince >= minorityWait {
			delete(f.up, a)
		}
		if assumed && !k.leaving {
			list = append(list, fleet.Member{Process: k.Process, Domain: k.Domain})
		}
	}
	if !stopping || len(list) == 0 {
		list = append(list, fleet.Member{Process: self.Process, Domain: self.Domain})
	}
	return list
}

// addresses returns the daemons that are known, this one too.
func (f *fleetView) addresses(self netip.AddrPort) []netip.AddrPort {
	list := []netip.AddrPort{self}
	for _, a := range f.daemons {
		if a != self {
			list = append(list, a)
		}
	}
	return list
}

// inCell reports whether a daemon is of this daemon's cell.
func (f *fleetView) inCell(a netip.AddrPort) bool { return f.cells.Of(a) == f.cell }

// entered reports whether the daemon has an entry in the registry.
func (f *fleetView) entered(a netip.AddrPort) bool {
	for _, d := range f.daemons {
		if d == a {
			return true
		}
	}
	return false
}

// takeDaemons takes entries of daemons and links those of this daemon's cell. The lock is held.
func (n *Node) takeDaemons(now time.Duration, items []registry.Item) {
	f := &n.fleet
	for _, i := range items {
		if i.Deleted {
			delete(f.daemons, i.ID)
			continue
		}
		var id schema.Identity
		if err := proto.Unmarshal(i.Content, &id); err != nil {
			n.log.WithFields(logrus.Fields{"event": "entry_invalid", "daemon": i.ID, "error": err}).Error()
			continue
		}
		if a, err := netip.ParseAddrPort(id.GetAddress()); err == nil {
			f.daemons[i.ID] = a
		}
	}
	n.fitCells(now)
	for _, a := range f.addresses(n.self.Address) {
		if a != n.self.Address && f.inCell(a) {
			n.mesh.Know(a)
		}
	}
	if f.cells.Count() > 1 {
		n.reassign(now) // cells share the workers by their sizes
	}
}

// fitCells divides the fleet anew where its size asks for it. Fewer daemons have to stay
// so for a while: their entries may all have lapsed with the store.
func (n *Node) fitCells(now time.Duration) {
	f := &n.fleet
	count := len(f.addresses(n.self.Address))
	cells := f.cells.Fit(count)
	switch {
	case cells == f.cells:
		f.fewerSince = 0
		return
	case cells.Count() < f.cells.Count() && f.fewerSince == 0:
		f.fewerSince = now
		return
	case cells.Count() < f.cells.Count() && now-f.fewerSince < fewerWait:
		return
	}
	f.cells, f.cell, f.fewerSince = cells, cells.Of(n.self.Address), 0
	n.log.WithFields(logrus.Fields{"event": "cells_changed", "cells": cells.Count(), "cell": f.cell, "daemons": count}).Info()
	n.mesh.Restrict(func(a netip.AddrPort) bool { return cells.Of(a) == cells.Of(n.self.Address) })
}

// fleetTick acts on what time alone changes.
func (n *Node) fleetTick(now time.Duration) {
	f := &n.fleet
	changed := f.dropMissing(now)
	if f.fewerSince > 0 {
		n.fitCells(now)
	}
	if !f.settled && len(f.workers) > 0 && (n.mesh.Settled() || now >= settleTime) {
		f.settled = true
		changed = true
	}
	for _, k := range f.up {
		if !k.up && now-k.silentSince >= minorityWait {
			changed = true
		}
	}
	switch {
	case changed:
		n.reassign(now)
	case f.settled:
		// Workers that left with something running are dropped once it has ended.
		n.executor.Remove(now, func(id string) bool { return f.workers[id] == nil })
	}
}

// dropMissing forgets workers whose entries have not come back after an outage.
func (f *fleetView) dropMissing(now time.Duration) bool {
	changed := false
	for id, w := range f.workers {
		if w.missing > 0 && now-w.missing >= missingGrace {
			delete(f.workers, id)
			changed = true
		}
	}
	return changed
}

// reassign divides the workers anew. The lock is held.
func (n *Node) reassign(now time.Duration) {
	f := &n.fleet
	if !f.settled {
		return
	}
	all := make([]executor.WorkerInfo, 0, len(f.workers))
	for _, w := range f.workers {
		all = append(all, w.info)
		n.executor.Update(w.info)
	}
	all = f.cells.Workers(f.cell, all, f.addresses(n.self.Address))
	holders := fleet.Assign(all, f.members(now, n.self, n.stopping.Load()))
	var own []executor.WorkerInfo
	for _, w := range all {
		if holders[w.ID] == n.self.Process {
			own = append(own, w)
		}
	}
	n.executor.SetWorkers(now, own)
	n.executor.Remove(now, func(id string) bool { return f.workers[id] == nil })
	n.log.WithFields(logrus.Fields{"event": "workers_assigned", "own": len(own), "all": len(all), "peers": len(f.up)}).Debug()
}
