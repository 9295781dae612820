package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/ledger"
)

const (
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

// writeTitle writes this daemon's title. One that got no answer is found by reading.
func (n *Node) writeTitle() error {
	key := n.keeper.ledger.OwnershipKey()
	r, err := n.platform.Ledger.Write(n.ctx, ledger.Change{
		Require: []ledger.Entry{{Key: key}},
		Set:     []ledger.Entry{{Key: key, Value: ledger.EncodeOwnership(n.self.Process, n.self.Name)}},
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
		n.keeper.ledger.SetOwnershipRevision(revision)
		n.keeper.title.provedAt = now
	})
	n.log.WithFields(logrus.Fields{"event": "title_written", "revision": revision}).Info()
	return nil
}

// noticeGap finds out that this process has stood still. The lock is held.
func (n *Node) noticeGap(now time.Duration) {
	gap := now - n.lastDo
	if n.lastDo > 0 && gap > staleAfter(n.fleet.interval) {
		n.awakeAt = now
		n.loseAllPeers(now, gap)
	}
	if n.lastDo > 0 && gap > gapTime {
		t := &n.keeper.title
		t.doubtUntil, t.provedAt, t.gapAt = now+doubtTime, now, now
		n.coordinator.PauseDurable(now, n.keeper.ledger.Len() > 0)
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
	n.coordinator.PauseDurable(now, !proved)
	if proved {
		t.withdrawn = false
		return
	}
	if !t.withdrawn && now-t.provedAt >= titleAge {
		t.withdrawn = true
		n.log.WithFields(logrus.Fields{"event": "title_unproved", "jobs": n.keeper.ledger.Len()}).Warn()
		n.coordinator.WithdrawDurable(now)
	}
}

// verifyTitle proves this daemon's title while there is doubt.
func (n *Node) verifyTitle() {
	for n.ctx.Err() == nil {
		n.mu.Lock()
		began := n.clock.now()
		needed := began < n.keeper.title.doubtUntil && n.keeper.ledger.Len() > 0
		key, revision := n.keeper.ledger.OwnershipKey(), n.keeper.ledger.OwnershipRevision()
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
		case k.ledger.OwnershipRevision() != revision:
		case e.Revision == revision:
			k.title.provedAt = max(k.title.provedAt, began)
			if began >= k.title.gapAt {
				k.title.gapAt = 0
			}
		default:
			news := k.ledger.HandleFenced()
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
	key, revision, left := n.keeper.ledger.OwnershipKey(), n.keeper.ledger.OwnershipRevision(), n.keeper.ledger.Len()
	n.mu.Unlock()
	if revision == 0 {
		return
	}
	r, err := n.platform.Ledger.Write(ctx, ledger.OwnershipRemoval(ledger.Entry{Key: key, Revision: revision}))
	n.log.WithFields(logrus.Fields{"event": "title_resigned", "done": err == nil && r.Revision > 0, "jobs": left}).Info()
	n.do(func(now time.Duration) {
		n.coordinator.DropDurableJobs()
		n.learn(now, n.keeper.ledger.HandleFenced())
	})
}
