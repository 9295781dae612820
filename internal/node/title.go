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
	removeOwnershipTimeout = 250 * time.Millisecond
	// titleAge is how old the proof may be, while peers are out of sight, that this daemon's
	// own title stands. With the time for a stop and a lease it is less than the time that
	// an heir waits before it starts a task again.
	maxConfirmationAge = 2 * time.Second
	// verifyEvery is the time between two proofs.
	verifyInterval = 700 * time.Millisecond
	// doubtTime is how long after a peer was lost the title has to be proved: that peer may
	// be right in taking this daemon for lost.
	verifyPeriod = 30 * time.Second
	// gapTime is how long the state machines may stand still before this daemon has to
	// prove its title: it may have been frozen, and taken for lost.
	maxGap = 500 * time.Millisecond
)

// titleCheck is the proof that this daemon's own title stands.
type ownershipCheck struct {
	// doubtUntil is when the title needs no proof any more.
	verifyUntil time.Duration
	// provedAt is when the last proof began.
	confirmedAt time.Duration
	// gapAt is when this process last went on after a gap; 0 once a later proof is there.
	gapAt     time.Duration
	withdrawn bool
	wake      chan struct{}
}

// writeTitle writes this daemon's title. One that got no answer is found by reading.
func (n *Node) writeOwnership() error {
	key := n.durable.ledger.OwnershipKey()
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
	n.update(func(now time.Duration) {
		n.durable.ledger.SetOwnershipRevision(revision)
		n.durable.ownership.confirmedAt = now
	})
	n.log.WithFields(logrus.Fields{"event": "title_written", "revision": revision}).Info()
	return nil
}

// noticeGap finds out that this process has stood still. The lock is held.
func (n *Node) detectGap(now time.Duration) {
	gap := now - n.lastUpdateAt
	if n.lastUpdateAt > 0 && gap > standstillLimit(n.fleet.interval) {
		n.resumedAt = now
		n.dropAllPeers(now, gap)
	}
	if n.lastUpdateAt > 0 && gap > maxGap {
		t := &n.durable.ownership
		t.verifyUntil, t.confirmedAt, t.gapAt = now+verifyPeriod, now, now
		n.coordinator.PauseDurable(now, n.durable.ledger.Len() > 0)
		wake(t.wake)
	}
	n.lastUpdateAt = now
}

// keeperTick holds or withdraws kept tasks while the title is not proved. The lock is held.
func (n *Node) durableTick(now time.Duration) {
	t := &n.durable.ownership
	if now >= t.verifyUntil || n.durable.ledger.Len() == 0 {
		t.confirmedAt, t.gapAt = max(t.confirmedAt, now), 0
	}
	proved := t.gapAt == 0 && now-t.confirmedAt < maxConfirmationAge
	n.coordinator.PauseDurable(now, !proved)
	if proved {
		t.withdrawn = false
		return
	}
	if !t.withdrawn && now-t.confirmedAt >= maxConfirmationAge {
		t.withdrawn = true
		n.log.WithFields(logrus.Fields{"event": "title_unproved", "jobs": n.durable.ledger.Len()}).Warn()
		n.coordinator.WithdrawDurable(now)
	}
}

// verifyTitle proves this daemon's title while there is doubt.
func (n *Node) verifyOwnership() {
	for n.ctx.Err() == nil {
		n.mu.Lock()
		began := n.clock.now()
		needed := began < n.durable.ownership.verifyUntil && n.durable.ledger.Len() > 0
		key, revision := n.durable.ledger.OwnershipKey(), n.durable.ledger.OwnershipRevision()
		n.mu.Unlock()
		if needed && revision > 0 {
			n.verifyOnce(began, key, revision)
		}
		select {
		case <-n.ctx.Done():
		case <-n.durable.ownership.wake:
		case <-time.After(verifyInterval):
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
	n.update(func(now time.Duration) {
		k := &n.durable
		switch {
		case k.ledger.OwnershipRevision() != revision:
		case e.Revision == revision:
			k.ownership.confirmedAt = max(k.ownership.confirmedAt, began)
			if began >= k.ownership.gapAt {
				k.ownership.gapAt = 0
			}
		default:
			events := k.ledger.HandleFenced()
			n.handleFenced(now)
			n.applyLedgerEvents(now, events)
		}
	})
}

// fenced acts on the removal of this daemon's title: its jobs are others' now. The lock is held.
func (n *Node) handleFenced(time.Duration) {
	n.log.WithFields(logrus.Fields{"event": "title_lost"}).Warn()
	n.durable.ownerWatch.scanDue = true
	n.wakeOwnerWatch()
}

// resign removes this daemon's title at a planned stop, so that heirs go on with what it
// leaves at once.
func (n *Node) removeOwnOwnership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, removeOwnershipTimeout)
	defer cancel()
	n.mu.Lock()
	key, revision, left := n.durable.ledger.OwnershipKey(), n.durable.ledger.OwnershipRevision(), n.durable.ledger.Len()
	n.mu.Unlock()
	if revision == 0 {
		return
	}
	r, err := n.platform.Ledger.Write(ctx, ledger.OwnershipRemoval(ledger.Entry{Key: key, Revision: revision}))
	n.log.WithFields(logrus.Fields{"event": "title_resigned", "done": err == nil && r.Revision > 0, "jobs": left}).Info()
	n.update(func(now time.Duration) {
		n.coordinator.DropDurableJobs()
		n.applyLedgerEvents(now, n.durable.ledger.HandleFenced())
	})
}
