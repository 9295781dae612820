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
	// heirsEvery is the time between looks at the owners' titles while jobs are kept;
	// heirsIdle the same while none are.
	heirsEvery = 3 * time.Second
	heirsIdle  = 30 * time.Second
	// scanEvery is the time between looks at all records while jobs are kept, whatever the
	// titles show: an owner may have come and gone between two looks at them.
	scanEvery = 15 * time.Second
	// removeAfter is how long an owner has to be out of sight before its title is removed:
	// it may be seen by the others, and removing costs its jobs a pause.
	removeAfter = 1 * time.Second
	// sweepEvery is the time between looks for states that daemons which are gone left.
	sweepEvery = 10 * time.Minute
)

// heirs is what is known of the owners of jobs.
type heirs struct {
	// unseen holds since when owners are out of sight.
	unseen map[uint64]time.Duration
	// titles are those of the last look.
	titles map[uint64]bool
	// scan asks for a look at all records.
	scan      bool
	scannedAt time.Duration
	sweptAt   time.Duration
	wake      chan struct{}
}

func newHeirs() heirs {
	return heirs{unseen: make(map[uint64]time.Duration), titles: make(map[uint64]bool), scan: true, wake: make(chan struct{}, 1)}
}

// inherit looks after titles: this daemon's own, and those of owners that are gone, whose
// jobs go to heirs.
func (n *Node) inherit() {
	for n.ctx.Err() == nil {
		pause := n.lookAtTitles()
		n.sweepStates()
		select {
		case <-n.ctx.Done():
		case <-n.keeper.heirs.wake:
		case <-time.After(pause):
		}
	}
}

func (n *Node) wakeHeirs() { wake(n.keeper.heirs.wake) }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// lookAtTitles does one round and returns the pause until the next.
func (n *Node) lookAtTitles() time.Duration {
	n.mu.Lock()
	settled, used := n.fleet.settled, n.keeper.used
	scan := n.keeper.heirs.scan || used && n.clock.now()-n.keeper.heirs.scannedAt >= scanEvery
	titled, closing := n.keeper.ledger.OwnershipRevision() > 0, n.closing.Load()
	n.mu.Unlock()
	if !settled {
		return tickEvery
	}
	// Records before titles: the title of a listed record's owner was written before it.
	var records []ledger.Entry
	var err error
	if scan {
		if records, err = n.platform.Ledger.List(n.ctx, ledger.RecordEntry); err != nil {
			return n.titlesFailed(err)
		}
	}
	titles, err := n.platform.Ledger.List(n.ctx, ledger.OwnershipEntry)
	if err != nil {
		return n.titlesFailed(err)
	}
	if !titled && !closing {
		if err := n.writeTitle(); err != nil {
			return n.titlesFailed(err)
		}
	}
	again := n.removeTitles(titles)
	n.do(func(now time.Duration) { again = n.adopt(now, records, titles) || again })
	switch {
	case again:
		return storeRetry
	case used || len(records) > 0:
		return heirsEvery
	default:
		return heirsIdle
	}
}

func (n *Node) titlesFailed(err error) time.Duration {
	if n.ctx.Err() == nil {
		n.storeFailed("titles", err)
	}
	return storeRetry
}

// sweepStates removes states of jobs that ended long ago and whose writers are gone; one
// daemon does it for all.
func (n *Node) sweepStates() {
	n.mu.Lock()
	now, h := n.clock.now(), &n.keeper.heirs
	due := n.keeper.used && now-h.sweptAt >= sweepEvery && ledger.Successor("states", n.fleet.processes(n.self)) == n.self.Process
	if due {
		h.sweptAt = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	states, err := n.platform.Ledger.List(n.ctx, ledger.StateEntry)
	if err != nil {
		n.titlesFailed(err)
		return
	}
	old := ledger.ExpiredStates(states, time.Now().Add(-2*(n.config.Retention+stateMargin)))
	for part := range slices.Chunk(old, ledger.MaxRows) {
		if _, err := n.platform.Ledger.Write(n.ctx, ledger.Change{Remove: part}); err != nil {
			n.titlesFailed(err)
			return
		}
	}
	n.log.WithFields(logrus.Fields{"event": "states_swept", "states": len(states), "removed": len(old)}).Info()
}

// removeTitles removes the titles of owners that are gone, where this daemon is the one to
// do it, and reports whether there is more to come soon.
func (n *Node) removeTitles(titles []ledger.Entry) (again bool) {
	for _, t := range titles {
		owner, err := ledger.DecodeOwnership(t.Value)
		if err != nil {
			n.log.WithFields(logrus.Fields{"event": "entry_invalid", "error": err}).Error()
			continue
		}
		n.mu.Lock()
		remove, wait := n.shouldRemove(n.clock.now(), t.ID, owner)
		n.mu.Unlock()
		again = again || wait
		if !remove {
			continue
		}
		r, err := n.platform.Ledger.Write(n.ctx, ledger.OwnershipRemoval(t))
		if err != nil {
			n.titlesFailed(err)
		}
		n.log.WithFields(logrus.Fields{"event": "title_removed", "owner": t.ID, "done": err == nil && r.Revision > 0}).Info()
		n.mu.Lock()
		n.keeper.heirs.scan = true
		n.mu.Unlock()
		again = true
	}
	return again
}

// shouldRemove judges an owner. The lock is held.
func (n *Node) shouldRemove(now time.Duration, title string, owner member.Process) (remove, wait bool) {
	h := &n.keeper.heirs
	if owner == n.self.Process || n.fleet.isUp(mesh.Peer{Process: owner}) {
		delete(h.unseen, owner.Incarnation)
		return false, false
	}
	if owner.Address == n.self.Address {
		return true, false // an earlier process of this daemon
	}
	if !n.fleet.inCell(owner.Address) && n.fleet.entered(owner.Address) {
		return false, false // its own cell knows better
	}
	since, ok := h.unseen[owner.Incarnation]
	if !ok {
		since = now
		h.unseen[owner.Incarnation] = now
	}
	live := n.fleet.processes(n.self)
	if replaced := n.fleet.up[owner.Address]; replaced == nil || !replaced.up {
		patience := removeAfter
		if len(h.unseen) >= len(live) {
			patience = minorityWait
		}
		if now-since < patience {
			return false, true
		}
	}
	return ledger.Successor(title, live) == n.self.Process, true
}

// adopt takes the jobs whose owners have no title and whose heir this daemon is. It
// reports whether some are left to others. The lock is held.
func (n *Node) adopt(now time.Duration, records, titles []ledger.Entry) (again bool) {
	h := &n.keeper.heirs
	standing := make(map[uint64]bool, len(titles))
	for _, t := range titles {
		if owner, err := ledger.DecodeOwnership(t.Value); err == nil {
			standing[owner.Incarnation] = true
		}
	}
	for old := range h.titles {
		if !standing[old] {
			h.scan = true
		}
	}
	h.titles = standing
	for owner := range h.unseen {
		if !standing[owner] {
			delete(h.unseen, owner)
		}
	}
	if records == nil {
		return h.scan
	}
	h.scan, h.scannedAt = false, now
	live := n.fleet.processes(n.self)
	for _, e := range records {
		r, err := ledger.DecodeRecord(e.Value)
		if err != nil {
			n.log.WithFields(logrus.Fields{"event": "entry_invalid", "job": e.ID, "error": err}).Error()
			continue
		}
		own := r.Owner == n.self.Incarnation
		if standing[r.Owner] && !own || own && n.keeper.ledger.Has(e.ID) {
			continue
		}
		h.scan, again = true, true // until all have an owner
		if (own || ledger.Successor(e.ID, live) == n.self.Process) && !n.closing.Load() {
			n.keeper.ledger.TakeOver(now, r, e.Revision)
		}
	}
	return again
}

// ownerLost notes that a peer is out of sight: its jobs need an heir, and the title of
// this daemon a proof, as the peer may have lost sight of it too. A refused connection is
// no exception: a partition may refuse.
func (n *Node) ownerLost(now time.Duration, p mesh.Peer) {
	n.keeper.states.forgetOwner(p.Incarnation)
	n.keeper.title.doubtUntil = now + doubtTime
	n.keeper.heirs.scan = true
	if n.keeper.used {
		time.AfterFunc(removeAfter, n.wakeHeirs)
		n.wakeHeirs()
	}
}
