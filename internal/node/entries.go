// The registry entries of workers and daemons, as this daemon knows them.

package node

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/fleet"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// missingGrace is how long an entry may be missing after an outage of the store. Live workers
	// write theirs again within about two seconds of the store's return.
	missingGrace = 2500 * time.Millisecond
	// outagePeriod is how long after a failure of the store the daemon attributes missing entries
	// to that failure: their leases may have expired.
	outagePeriod = 5 * time.Second
	// removedDaemonGrace is how long a daemon whose entry was deleted still counts for the division
	// into cells and their shares of the workers. It may be about to restart, or all entries may
	// have expired in an outage of the store. Each change moves workers between cells.
	removedDaemonGrace = 15 * time.Second
	// removedWorkerMemory is how long the daemon remembers the deletion of a worker's entry.
	// Entries that another daemon read before the deletion may arrive after it, and a daemon that
	// was cut off asks for the deletions that it missed.
	removedWorkerMemory = time.Minute
)

// knownWorker is a worker's registry entry.
type knownWorker struct {
	info executor.WorkerInfo
	// revision is the entry's revision, changedRevision that of its last change other than a
	// renewal.
	revision, changedRevision int64
	// missingSince is when the entry disappeared after an outage of the store; 0: the entry exists.
	// missingRevision is the revision of the latest deletion.
	missingSince    time.Duration
	missingRevision int64
	// content is the entry as it was read, to be sent to peers.
	content []byte
	// membership tells whether the worker belongs to this daemon's cell.
	membership fleet.CellMembership
}

// knownDaemon is another daemon's registry entry.
type knownDaemon struct {
	fleet.DaemonInfo
	revision int64
	// removedAt is when the entry was deleted; 0: it exists.
	removedAt time.Duration
	content   []byte
}

// removedWorker is the deletion of a worker's entry.
type removedWorker struct {
	// revision is the revision of the deletion, reportedRevision the one up to which peers had the
	// changes when this daemon decided that the worker has left.
	revision, reportedRevision int64
	removedAt                  time.Duration
}

// applyEntries applies the entries of workers and daemons that this daemon has read itself, and
// sends the changes to peers. The caller holds the lock.
func (n *Node) applyEntries(now time.Duration, items []registry.Item) {
	f := &n.fleet
	var workers, daemons []registry.Item
	for _, i := range items {
		switch i.Kind {
		case registry.Worker:
			workers = append(workers, i)
		case registry.Daemon:
			daemons = append(daemons, i)
		}
	}
	changed := n.applyWorkers(now, workers, func(id string) bool { return f.entryMissing(now, id) })
	if len(daemons) > 0 {
		n.applyDaemons(now, daemons)
	}
	if changed {
		n.scheduleReassign()
	}
	n.sendChanges()
}

// applyWorkers applies entries of workers and reports whether the workers have to be reassigned.
// hasLeft decides whether a worker whose entry was deleted has left.
func (n *Node) applyWorkers(now time.Duration, items []registry.Item, hasLeft func(id string) bool) bool {
	f := &n.fleet
	changed, before := false, len(f.workers)
	for _, i := range items {
		if f.outdated(i) {
			continue
		}
		if i.Deleted {
			if w := f.workers[i.ID]; w != nil {
				w.missingRevision = i.Revision
				if hasLeft(i.ID) {
					f.removeWorker(now, i.ID, i.Revision)
					changed = true
				}
			}
			continue
		}
		changed = n.applyWorker(i) || changed
	}
	if len(f.workers) != before {
		n.log.WithFields(logrus.Fields{"event": "workers_known", "workers": len(f.workers), "before": before}).Info()
	}
	return changed
}

// outdated reports whether the daemon knows a later entry, or a later deletion, of the worker.
func (f *fleetView) outdated(i registry.Item) bool {
	w := f.workers[i.ID]
	return w != nil && i.Revision < w.revision || i.Revision < f.removedWorkers[i.ID].revision
}

// applyWorker applies one entry and reports whether the workers have to be reassigned.
func (n *Node) applyWorker(i registry.Item) bool {
	f := &n.fleet
	known := f.workers[i.ID]
	info, err := n.platform.DecodeWorker(i.ID, i.Content)
	if err != nil {
		n.metrics.countInvalidEntry("worker")
		n.log.WithFields(logrus.Fields{"event": "entry_invalid", "worker": i.ID, "error": err}).Error()
		if known == nil {
			return false
		}
		// An invalid entry in a worker's place, from another writer, describes no usable worker.
		// Runs there may go on, so the worker counts as draining until its own entry is valid
		// again.
		info = known.info
		info.Draining = true
	}
	if known == nil {
		f.workers[i.ID] = &knownWorker{info: info, content: i.Content, revision: i.Revision, changedRevision: i.Revision}
		f.sync.addChange(i)
		n.log.WithFields(logrus.Fields{"event": "worker_known", "worker": i.ID, "domain": info.Domain, "service": info.Service, "milli_cpu": info.Capacity.MilliCPU}).Debug()
		return true
	}
	if known.info.Draining != info.Draining {
		n.log.WithFields(logrus.Fields{"event": "worker_draining", "worker": i.ID, "draining": info.Draining}).Info()
	}
	if known.info.Incarnation != info.Incarnation {
		n.log.WithFields(logrus.Fields{"event": "worker_reborn", "worker": i.ID, "incarnation": info.Incarnation, "before": known.info.Incarnation}).Info()
	}
	if known.info.Capacity != info.Capacity {
		n.log.WithFields(logrus.Fields{"event": "worker_resized", "worker": i.ID, "milli_cpu": info.Capacity.MilliCPU, "before": known.info.Capacity.MilliCPU}).Info()
	}
	changed := known.info.Draining != info.Draining || known.info.Capacity != info.Capacity || known.info.Incarnation != info.Incarnation || known.missingSince > 0
	if changed || known.info.Address != info.Address || known.info.Service != info.Service || known.info.Domain != info.Domain ||
		!slices.Equal(known.info.Labels, info.Labels) {
		known.changedRevision = i.Revision
		f.sync.addChange(i)
	}
	known.info, known.content, known.revision, known.missingSince = info, i.Content, i.Revision, 0
	return changed
}

// removeWorker removes a worker that has left.
func (f *fleetView) removeWorker(now time.Duration, id string, revision int64) {
	delete(f.workers, id)
	f.removedWorkers[id] = removedWorker{revision: revision, reportedRevision: max(revision, f.sync.knownRevision), removedAt: now}
	f.sync.addChange(registry.Item{Kind: registry.Worker, ID: id, Revision: revision, Deleted: true})
}

// entryMissing notes that a worker's entry was deleted and reports whether the worker has left.
// After a recent outage of the store the entry may only have expired.
func (f *fleetView) entryMissing(now time.Duration, id string) bool {
	w := f.workers[id]
	if f.storeFailedAt > 0 && now-f.storeFailedAt < outagePeriod {
		if w.missingSince == 0 {
			w.missingSince = now
		}
		return false
	}
	return true
}

// removeMissing removes workers whose entries have not reappeared after an outage, and forgets old
// deletions.
func (f *fleetView) removeMissing(now time.Duration) bool {
	changed := false
	for id, w := range f.workers {
		if w.missingSince > 0 && now-w.missingSince >= missingGrace {
			f.removeWorker(now, id, w.missingRevision)
			changed = true
		}
	}
	for id, removed := range f.removedWorkers {
		if now-removed.removedAt >= removedWorkerMemory {
			delete(f.removedWorkers, id)
			f.forgottenRevision = max(f.forgottenRevision, removed.reportedRevision)
		}
	}
	return changed
}

// applyDaemons applies entries of daemons and links those of this daemon's cell. The caller holds
// the lock.
func (n *Node) applyDaemons(now time.Duration, items []registry.Item) {
	f := &n.fleet
	for _, i := range items {
		known := f.daemons[i.ID]
		if known != nil && i.Revision < known.revision {
			continue
		}
		if i.Deleted {
			if known != nil && known.removedAt == 0 {
				known.removedAt, known.revision = now, i.Revision
				f.removedDaemons++
				f.sync.addChange(i)
			}
			continue
		}
		var id schema.Identity
		if err := proto.Unmarshal(i.Content, &id); err != nil {
			n.log.WithFields(logrus.Fields{"event": "entry_invalid", "daemon": i.ID, "error": err}).Error()
			continue
		}
		a, err := netip.ParseAddrPort(id.GetAddress())
		if err != nil {
			n.log.WithFields(logrus.Fields{"event": "entry_invalid", "daemon": i.ID, "error": err}).Error()
			continue
		}
		if known != nil && known.removedAt > 0 {
			f.removedDaemons--
		}
		f.sync.addChange(i)
		f.daemons[i.ID] = &knownDaemon{
			DaemonInfo: fleet.DaemonInfo{Address: a, Domain: id.GetDomain(), Weight: float64(id.GetMilliCores()) / 1000},
			revision:   i.Revision, content: i.Content,
		}
	}
	n.resizeCells(now)
	if n.cellResolved.Load() { // before that, the list may be incomplete
		for _, p := range f.daemonInfos(n.self) {
			if p.Address != n.self.Address && f.inCell(p.Address) {
				n.mesh.AddPeers(p.Address)
			}
		}
	}
	if f.cells.Count() > 1 {
		n.scheduleReassign() // the sizes of cells determine their shares of the workers
	}
}

// forgetRemovedDaemons forgets daemons whose entries have not reappeared, and reports whether there
// were any.
func (f *fleetView) forgetRemovedDaemons(now time.Duration) bool {
	if f.removedDaemons == 0 {
		return false
	}
	dropped := false
	for id, d := range f.daemons {
		if d.removedAt > 0 && now-d.removedAt >= removedDaemonGrace {
			delete(f.daemons, id)
			f.forgottenRevision = max(f.forgottenRevision, d.revision)
			f.removedDaemons--
			dropped = true
		}
	}
	return dropped
}
