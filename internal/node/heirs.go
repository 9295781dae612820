package node

import (
	"context"
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
	// resignTimeout bounds the removal of the own title at a planned stop: the platform kills
	// a process that takes longer than its grace time, and without it heirs only come later.
	resignTimeout = 250 * time.Millisecond
	// titleAge is how old the proof may be, while peers are out of sight, that this daemon's
	// own title stands. With the time for a stop and a lease it is less than the time that
	// an heir waits before it starts a task again.
	titleAge = 2 * time.Second
	// verifyEvery is the time between two proofs.
	verifyEvery = 700 * time.Millisecond
	// doubtTime is how long after a peer was lost the title has to be proved: that peer may
	// be right in taking this daemon for lost.
	doubtTime = 30 * time.Second
	// gapTime is how long the state machines may stand still before this daemon has to
	// prove its title: it may have been frozen, and taken for lost.
	gapTime = 500 * time.Millisecond
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

// titleCheck is the proof that this daemon's own title stands.
type titleCheck struct {
	// doubtUntil is when the title needs no proof any more.
	doubtUntil time.Duration
	// provedAt is when the last proof began.
	provedAt time.Duration
	// gapAt is when this process last went on after a gap; 0 once a later proof is there.
	gapAt     time.Duration
	withdrawn bool
	wake      chan struct{}
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
	titled, closing := n.keeper.ledger.TitleRevision() > 0, n.closing.Load()
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
	titles, err := n.platform.Ledger.List(n.ctx, ledger.TitleEntry)
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

// writeTitle writes this daemon's title. One that got no answer is found by reading.
func (n *Node) writeTitle() error {
	key := n.keeper.ledger.Title()
	r, err := n.platform.Ledger.Write(n.ctx, ledger.Change{
		Require: []ledger.Entry{{Key: key}},
		Set:     []ledger.Entry{{Key: key, Value: ledger.EncodeTitle(n.self.Process, n.self.Name)}},
	})
	if err != nil {
		return err
	}
	revision := r.Revision
	if revision == 0 {
		e, err := n.platform.Ledger.Get(n.ctx, key)
		if err != nil {
			return err
		}
		revision = e.Revision
	}
	n.do(func(now time.Duration) {
		n.keeper.ledger.Titled(revision)
		n.keeper.title.provedAt = now
	})
	n.log.WithFields(logrus.Fields{"event": "title_written", "revision": revision}).Info()
	return nil
}

// sweepStates removes states of jobs that ended long ago and whose writers are gone; one
// daemon does it for all.
func (n *Node) sweepStates() {
	n.mu.Lock()
	now, h := n.clock.now(), &n.keeper.heirs
	due := n.keeper.used && now-h.sweptAt >= sweepEvery && ledger.Heir("states", n.fleet.processes(n.self)) == n.self.Process
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
	old := ledger.Outlived(states, time.Now().Add(-2*(n.config.Retention+stateMargin)))
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
		owner, err := ledger.DecodeTitle(t.Value)
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
		r, err := n.platform.Ledger.Write(n.ctx, ledger.Removal(t))
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
	return ledger.Heir(title, live) == n.self.Process, true
}

// adopt takes the jobs whose owners have no title and whose heir this daemon is. It
// reports whether some are left to others. The lock is held.
func (n *Node) adopt(now time.Duration, records, titles []ledger.Entry) (again bool) {
	h := &n.keeper.heirs
	standing := make(map[uint64]bool, len(titles))
	for _, t := range titles {
		if owner, err := ledger.DecodeTitle(t.Value); err == nil {
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
		if (own || ledger.Heir(e.ID, live) == n.self.Process) && !n.closing.Load() {
			n.keeper.ledger.Adopt(now, r, e.Revision)
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

// noticeGap finds out that this process has stood still. The lock is held.
func (n *Node) noticeGap(now time.Duration) {
	gap := now - n.lastDo
	if n.lastDo > 0 && gap > staleAfter {
		n.loseAllPeers(now, gap)
	}
	if n.lastDo > 0 && gap > gapTime {
		t := &n.keeper.title
		t.doubtUntil, t.provedAt, t.gapAt = now+doubtTime, now, now
		n.coordinator.Hold(now, n.keeper.ledger.Len() > 0)
		wake(t.wake)
	}
	n.lastDo = now
}

// keeperTick holds or withdraws kept tasks while the title is not proved. The lock is held.
func (n *Node) keeperTick(now time.Duration) {
	t := &n.keeper.title
	if now >= t.doubtUntil || n.keeper.ledger.Len() == 0 {
		t.provedAt, t.gapAt = max(t.provedAt, now), 0
	}
	proved := t.gapAt == 0 && now-t.provedAt < titleAge
	n.coordinator.Hold(now, !proved)
	if proved {
		t.withdrawn = false
		return
	}
	if !t.withdrawn && now-t.provedAt >= titleAge {
		t.withdrawn = true
		n.log.WithFields(logrus.Fields{"event": "title_unproved", "jobs": n.keeper.ledger.Len()}).Warn()
		n.coordinator.WithdrawKept(now)
	}
}

// verifyTitle proves this daemon's title while there is doubt.
func (n *Node) verifyTitle() {
	for n.ctx.Err() == nil {
		n.mu.Lock()
		began := n.clock.now()
		needed := began < n.keeper.title.doubtUntil && n.keeper.ledger.Len() > 0
		key, revision := n.keeper.ledger.Title(), n.keeper.ledger.TitleRevision()
		n.mu.Unlock()
		if needed && revision > 0 {
			n.verifyOnce(began, key, revision)
		}
		select {
		case <-n.ctx.Done():
		case <-n.keeper.title.wake:
		case <-time.After(verifyEvery):
		}
	}
}

func (n *Node) verifyOnce(began time.Duration, key ledger.Key, revision int64) {
	e, err := n.platform.Ledger.Get(n.ctx, key)
	if err != nil {
		if n.ctx.Err() == nil {
			n.storeFailed("title", err)
		}
		return
	}
	n.do(func(now time.Duration) {
		k := &n.keeper
		switch {
		case k.ledger.TitleRevision() != revision:
		case e.Revision == revision:
			k.title.provedAt = max(k.title.provedAt, began)
			if began >= k.title.gapAt {
				k.title.gapAt = 0
			}
		default:
			news := k.ledger.Fenced()
			n.fenced(now)
			n.learn(now, news)
		}
	})
}

// fenced acts on the removal of this daemon's title: its jobs are others' now. The lock is held.
func (n *Node) fenced(time.Duration) {
	n.log.WithFields(logrus.Fields{"event": "title_lost"}).Warn()
	n.keeper.heirs.scan = true
	n.wakeHeirs()
}

// resign removes this daemon's title at a planned stop, so that heirs go on with what it
// leaves at once.
func (n *Node) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	n.mu.Lock()
	key, revision, left := n.keeper.ledger.Title(), n.keeper.ledger.TitleRevision(), n.keeper.ledger.Len()
	n.mu.Unlock()
	if revision == 0 {
		return
	}
	r, err := n.platform.Ledger.Write(ctx, ledger.Removal(ledger.Entry{Key: key, Revision: revision}))
	n.log.WithFields(logrus.Fields{"event": "title_resigned", "done": err == nil && r.Revision > 0, "jobs": left}).Info()
	n.do(func(now time.Duration) {
		n.coordinator.Resign()
		n.learn(now, n.keeper.ledger.Fenced())
	})
}
