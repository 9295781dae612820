// Supervision of the owners of durable jobs: it removes the ownership records of unreachable owners
// and takes over their jobs.

package node

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/ledger"
	"github.com/lavendercleat/lavendercleat/member"
)

const (
	// ownersInterval is the time between checks of the ownership records while the fleet uses
	// durable jobs; ownersIdleInterval is the same while it uses none.
	ownersInterval     = 3 * time.Second
	ownersIdleInterval = 30 * time.Second
	// scanInterval is the time between scans of all job records while the fleet uses durable jobs,
	// whatever the ownership records show: an owner may have started and ended between two checks
	// of them.
	scanInterval = 15 * time.Second
	// ownerRemovalDelay is how long an owner has to be unreachable before this daemon removes the
	// owner's ownership record. Other daemons may still reach it, and a removal pauses its jobs.
	ownerRemovalDelay = 1 * time.Second
	// entryEndWait is how long after the loss of an owner the end of its registry entry is watched for
	// closely: by then the entry of an owner that died has ended.
	entryEndWait = 2 * minorityWait
	// unreachableMemory is how long an unreachable owner without an ownership record is remembered. An
	// owner that runs writes its record again within seconds, or as soon as the store answers.
	unreachableMemory = 10 * time.Minute
	// stateSweepInterval is the time between sweeps of the states that removed daemons have left.
	stateSweepInterval = 10 * time.Minute
)

// ownerWatch is the state of the supervision of the owners of durable jobs.
type ownerWatch struct {
	// unreachable holds the unreachable owners by incarnation.
	unreachable map[uint64]*unreachableOwner
	// owners are the incarnations whose ownership records the last check showed.
	owners map[uint64]bool
	// scanDue requests a scan of all job records.
	scanDue bool
	// scanStartedAt is when the latest scan began, scannedAt when it was done.
	scanStartedAt time.Duration
	scannedAt     time.Duration
	statesSweptAt time.Duration
	wake          chan struct{}
}

// unreachableOwner is what this daemon knows of an owner since it can't reach it.
type unreachableOwner struct {
	since time.Duration
	// lost: a link to it was up and was lost. Otherwise this daemon has never been linked to it.
	lost bool
	// revision is that of its ownership record at the first check since then; 0: not checked yet. A later
	// one shows that the owner has run since.
	revision int64
	// listed: the last check showed its ownership record. logged: that it is left alone is in the log.
	listed, logged bool
}

func newOwnerWatch() ownerWatch {
	return ownerWatch{unreachable: make(map[uint64]*unreachableOwner), owners: make(map[uint64]bool), scanDue: true, wake: make(chan struct{}, 1)}
}

// watchOwners supervises the ownership records: it writes this daemon's own, removes those of
// unreachable owners, and takes over the jobs whose successor this daemon is.
func (n *Node) watchOwners() {
	for n.ctx.Err() == nil {
		pause := n.checkOwners()
		n.sweepStates()
		select {
		case <-n.ctx.Done():
		case <-n.durable.ownerWatch.wake:
		case <-time.After(pause):
		}
	}
}

func (n *Node) wakeOwnerWatch() { wake(n.durable.ownerWatch.wake) }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// checkOwners does one round of the supervision and returns the pause until the next.
func (n *Node) checkOwners() time.Duration {
	n.mu.Lock()
	settled, inUse := n.fleet.settled, n.durable.inUse
	scanDue := n.durable.ownerWatch.scanDue || inUse && n.clock.now()-n.durable.ownerWatch.scannedAt >= scanInterval
	if scanDue {
		n.durable.ownerWatch.scanStartedAt = n.clock.now()
	}
	hasOwnership, closing := n.durable.ledger.OwnershipRevision() > 0, n.closing.Load()
	n.mu.Unlock()
	if !settled {
		return tickInterval
	}
	// List records before ownership records: a job's owner wrote its ownership record first.
	var records []ledger.Entry
	var err error
	if scanDue {
		if records, err = n.platform.Ledger.List(n.ctx, ledger.RecordEntry); err != nil {
			return n.ownersCheckFailed(err)
		}
	}
	ownerships, err := n.platform.Ledger.List(n.ctx, ledger.OwnershipEntry)
	if err != nil {
		return n.ownersCheckFailed(err)
	}
	if !hasOwnership && !closing {
		if err := n.writeOwnership(); err != nil {
			return n.ownersCheckFailed(err)
		}
	}
	checkSoon := n.removeLostOwnerships(ownerships)
	n.update(func(now time.Duration) { checkSoon = n.takeOverJobs(now, records, ownerships) || checkSoon })
	switch {
	case checkSoon:
		return storeRetryDelay
	case inUse || len(records) > 0:
		return ownersInterval
	default:
		return ownersIdleInterval
	}
}

func (n *Node) ownersCheckFailed(err error) time.Duration {
	if n.ctx.Err() == nil {
		n.storeFailed("titles", err)
	}
	return storeRetryDelay
}

// sweepStates removes the states of jobs that ended long ago and whose writers no longer run, and the
// notices to owners that no longer run. One daemon does it for all.
func (n *Node) sweepStates() {
	n.mu.Lock()
	now, w := n.clock.now(), &n.durable.ownerWatch
	due := n.durable.inUse && now-w.statesSweptAt >= stateSweepInterval && ledger.Successor("states", n.fleet.processes(n.self)) == n.self.Process
	if due {
		w.statesSweptAt = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	states, err := n.platform.Ledger.List(n.ctx, ledger.StateEntry)
	if err != nil {
		n.ownersCheckFailed(err)
		return
	}
	expired := ledger.ExpiredStates(states, time.Now().Add(-2*(n.config.StateRetention+stateMargin)))
	notices, err := n.abandonedNotices()
	if err != nil {
		n.ownersCheckFailed(err)
		return
	}
	expired = append(expired, notices...)
	for batch := range slices.Chunk(expired, ledger.MaxRows) {
		if _, err := n.platform.Ledger.Write(n.ctx, ledger.Change{Remove: batch}); err != nil {
			n.ownersCheckFailed(err)
			return
		}
	}
	n.log.WithFields(logrus.Fields{"event": "states_swept", "states": len(states), "removed": len(expired)}).Info()
}

// removeLostOwnerships removes the ownership records of unreachable owners, where this daemon is
// the one to remove them. It reports whether the next check is due soon.
func (n *Node) removeLostOwnerships(ownerships []ledger.Entry) (checkSoon bool) {
	for _, o := range ownerships {
		owner, err := ledger.DecodeOwnership(o.Value)
		if err != nil {
			n.log.WithFields(logrus.Fields{"event": "entry_invalid", "error": err}).Error()
			continue
		}
		n.mu.Lock()
		remove, waiting := n.shouldRemoveOwnership(n.clock.now(), o, owner)
		n.mu.Unlock()
		checkSoon = checkSoon || waiting
		if !remove {
			continue
		}
		r, err := n.platform.Ledger.Write(n.ctx, ledger.OwnershipRemoval(o))
		if err != nil {
			n.ownersCheckFailed(err)
		}
		n.log.WithFields(logrus.Fields{"event": "title_removed", "owner": o.ID, "done": err == nil && r.Revision > 0}).Info()
		n.mu.Lock()
		n.durable.ownerWatch.scanDue = true
		n.mu.Unlock()
		checkSoon = true
	}
	return checkSoon
}

// shouldRemoveOwnership reports whether this daemon is to remove an owner's ownership record now,
// or has to wait and check again. The caller holds the lock.
func (n *Node) shouldRemoveOwnership(now time.Duration, record ledger.Entry, owner member.Process) (remove, checkSoon bool) {
	w := &n.durable.ownerWatch
	if owner == n.self.Process || n.fleet.isUp(mesh.Peer{Process: owner}) {
		delete(w.unreachable, owner.Incarnation)
		return false, false
	}
	if owner.Address == n.self.Address {
		return true, false // an earlier process of this daemon
	}
	if !n.fleet.inCell(owner.Address) && (now < removedDaemonGrace || n.fleet.knowsCellOf(owner.Address)) {
		return false, false // the daemons of its own cell decide, unless all their entries have ended
	}
	u := w.listUnreachable(now, owner, record.Revision)
	members := n.fleet.processes(n.self)
	if current := n.fleet.peers[owner.Address]; current == nil || !current.up {
		inMinority := w.listedCount() >= len(members)
		if n.fleet.isRegistered(owner.Address) && (inMinority || !u.lost || record.Revision > u.revision) {
			n.logOwnerLeft(now, u, record, inMinority)
			return false, record.Revision == u.revision && now-u.since < entryEndWait
		}
		waitLimit := ownerRemovalDelay
		if inMinority {
			waitLimit = minorityWait
		}
		if now-u.since < waitLimit {
			return false, true
		}
	}
	return ledger.Successor(record.ID, members) == n.self.Process, true
}

// logOwnerLeft logs that an unreachable owner keeps its ownership record. It may well be running: its
// registry entry, which it has to renew in the store, exists, and its loss is no proof to the contrary,
// as this daemon itself may be cut off, has never been linked to it, or has seen it write its record
// again since. If both sides of a partition kept removing each other's records, their jobs would stop
// and move again and again, and never end.
func (n *Node) logOwnerLeft(now time.Duration, u *unreachableOwner, record ledger.Entry, inMinority bool) {
	if u.logged {
		return
	}
	u.logged = true
	n.log.WithFields(logrus.Fields{
		"event": "title_left", "owner": record.ID, "unreachable_ms": (now - u.since).Milliseconds(), "was_linked": u.lost,
		"minority": inMinority, "written_since": record.Revision > u.revision, "entries_age_ms": (now - n.fleet.sync.upToDateAt).Milliseconds(),
	}).Info()
}

// takeOverJobs takes over the jobs whose owners have no ownership record and whose successor this
// daemon is. It reports whether the next check is due soon, as some jobs may be left to other
// daemons. The caller holds the lock.
func (n *Node) takeOverJobs(now time.Duration, records, ownerships []ledger.Entry) (checkSoon bool) {
	w := &n.durable.ownerWatch
	owners, processes := make(map[uint64]bool, len(ownerships)), make(map[uint64]mesh.Peer, len(ownerships))
	for _, o := range ownerships {
		if owner, err := ledger.DecodeOwnership(o.Value); err == nil {
			owners[owner.Incarnation], processes[owner.Incarnation] = true, mesh.Peer{Process: owner}
		}
	}
	for old := range w.owners {
		if !owners[old] {
			w.scanDue = true
		}
	}
	w.owners = owners
	w.forgetUnlisted(now)
	if records == nil {
		return w.scanDue
	}
	w.scanDue, w.scannedAt = false, now
	n.durable.inUse = n.durable.inUse || len(records) > 0
	members := n.fleet.processes(n.self)
	jobs := make([]ledger.Record, 0, len(records))
	for _, e := range records {
		r, err := ledger.DecodeRecord(e.Value)
		if err != nil {
			n.log.WithFields(logrus.Fields{"event": "entry_invalid", "job": e.ID, "error": err}).Error()
			continue
		}
		jobs = append(jobs, r)
		own := r.Owner == n.self.Incarnation
		if owners[r.Owner] && !own || own && n.durable.ledger.Has(e.ID) {
			continue
		}
		w.scanDue, checkSoon = true, true // scan again until all jobs have an owner
		if (own || ledger.Successor(e.ID, members) == n.self.Process) && !n.closing.Load() {
			n.durable.ledger.TakeOver(now, r, e.Revision)
			wake(n.durable.added)
		}
	}
	n.countUnowned(jobs, processes)
	return checkSoon
}

// listUnreachable notes that a check shows the ownership record of an unreachable owner.
func (w *ownerWatch) listUnreachable(now time.Duration, owner member.Process, revision int64) *unreachableOwner {
	u := w.unreachable[owner.Incarnation]
	if u == nil {
		u = &unreachableOwner{since: now}
		w.unreachable[owner.Incarnation] = u
	}
	if u.revision == 0 {
		u.revision = revision
	}
	u.listed = true
	return u
}

// listedCount counts the unreachable owners that have ownership records.
func (w *ownerWatch) listedCount() int {
	count := 0
	for _, u := range w.unreachable {
		if u.listed {
			count++
		}
	}
	return count
}

// forgetUnlisted forgets unreachable owners that have had no ownership record for a while. An owner
// whose record was removed may write it again at any time within it.
func (w *ownerWatch) forgetUnlisted(now time.Duration) {
	for owner, u := range w.unreachable {
		u.listed = u.listed && w.owners[owner]
		if !u.listed && now-u.since >= unreachableMemory {
			delete(w.unreachable, owner)
		}
	}
}

// ownerUnreachable handles an unreachable peer: its jobs need a successor. This daemon has to
// verify its own ownership record, as the peer may have found this daemon unreachable too. A
// refused connection is no exception, as connections may be refused in a partition. The caller
// holds the lock.
func (n *Node) ownerUnreachable(now time.Duration, p mesh.Peer) {
	n.durable.states.forgetOwner(p.Incarnation)
	n.durable.ownership.verifyUntil = now + verifyPeriod
	w := &n.durable.ownerWatch
	w.unreachable[p.Incarnation] = &unreachableOwner{since: now, lost: true}
	w.scanDue = true
	if n.durable.inUse {
		time.AfterFunc(ownerRemovalDelay, n.wakeOwnerWatch)
		n.wakeOwnerWatch()
	}
}
