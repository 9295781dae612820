// This daemon's ownership record in the store, by which it owns its durable jobs.

package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/ledger"
)

const (
	// releaseTimeout bounds the removal of this daemon's ownership record at a planned stop. The
	// platform kills a process that takes longer than its grace time; without the removal
	// successors only take over later.
	releaseTimeout = 250 * time.Millisecond
	// maxConfirmationAge bounds the age of the confirmation that this daemon's ownership record
	// exists, while peers are unreachable. Together with the time for a stop and a lease it is less
	// than the time that a successor waits before it restarts a task.
	maxConfirmationAge = 2 * time.Second
	// verifyInterval is the time between two reads of the ownership record.
	verifyInterval = 700 * time.Millisecond
	// verifyPeriod is how long this daemon goes on verifying its ownership record after the last time
	// at which it was in doubt. The store may carry out a removal seconds after a peer sent it.
	verifyPeriod = 30 * time.Second
	// doubtInterval is the time between two checks whether the ownership is in doubt.
	doubtInterval = 100 * time.Millisecond
	// maxGap is how long the state machines may stand still before this daemon has to verify its
	// ownership record. It may have been frozen, and its peers may have found it unreachable.
	maxGap = 500 * time.Millisecond
)

// ownershipCheck is the state of the verification that this daemon's ownership record exists.
type ownershipCheck struct {
	// verifyUntil is when the verification ends, unless the record is not confirmed then; 0: there was
	// no reason to verify it.
	verifyUntil time.Duration
	// checkedAt is when the daemon last checked whether the ownership is in doubt, and inDoubt the result.
	checkedAt time.Duration
	inDoubt   bool
	// confirmedAt is when the latest call that confirmed the record began.
	confirmedAt time.Duration
	// entryRenewedAt is when the latest successful renewal of this daemon's registry entry began.
	entryRenewedAt time.Duration
	// gapAt is when this process last resumed after a gap; 0 once a later read confirmed the
	// record.
	gapAt     time.Duration
	withdrawn bool
	wake      chan struct{}
}

// writeOwnership writes this daemon's ownership record. When the store does not report whether an
// earlier write took effect, a read finds the record.
func (n *Node) writeOwnership() error {
	key, startedAt := n.durable.ledger.OwnershipKey(), n.clock.now()
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
	n.update(func(time.Duration) {
		n.durable.ledger.SetOwnershipRevision(revision)
		n.durable.ownership.confirm(startedAt)
	})
	n.log.WithFields(logrus.Fields{"event": "title_written", "revision": revision}).Info()
	return nil
}

// detectGap detects that this process has stood still. The caller holds the lock.
func (n *Node) detectGap(now time.Duration) {
	gap := now - n.lastUpdateAt
	if n.lastUpdateAt > 0 && gap > standstillLimit(n.fleet.interval) {
		n.resumedAt = now
		n.dropAllPeers(now, gap)
	}
	if n.lastUpdateAt > 0 && gap > maxGap {
		check := &n.durable.ownership
		check.verifyUntil, check.confirmedAt, check.gapAt = now+verifyPeriod, now, now
		n.coordinator.PauseDurable(now, n.durable.ledger.Len() > 0)
		wake(check.wake)
	}
	n.lastUpdateAt = now
}

// confirm notes that a call that began at some time has confirmed the ownership record.
func (c *ownershipCheck) confirm(startedAt time.Duration) {
	c.confirmedAt = max(c.confirmedAt, startedAt)
	if startedAt >= c.gapAt {
		c.gapAt = 0
	}
}

// ownershipInDoubt reports whether a daemon may have removed this daemon's ownership record. A daemon of
// its cell removes only the records of owners that it isn't linked to, so the links to all of them prove the
// ownership, and nothing else does, however long it is since a link was lost. Daemons of other cells
// remove records once the entries of a whole cell have ended. The caller holds the lock.
func (n *Node) ownershipInDoubt(now time.Duration) bool {
	entryAge := now - n.durable.ownership.entryRenewedAt
	return n.fleet.hasUnlinkedMember(n.self.Address) || n.fleet.cells.Count() > 1 && entryAge >= n.config.EntryTTL+removedDaemonGrace/2
}

// checkDoubt keeps the verification going while the ownership is in doubt. The caller holds the lock.
func (n *Node) checkDoubt(now time.Duration) {
	check := &n.durable.ownership
	if now-check.checkedAt < doubtInterval {
		return
	}
	wasInDoubt := check.inDoubt
	check.checkedAt, check.inDoubt = now, n.ownershipInDoubt(now)
	if check.inDoubt {
		check.verifyUntil = now + verifyPeriod
	}
	if check.inDoubt != wasInDoubt {
		n.log.WithFields(logrus.Fields{
			"event": "title_doubt", "in_doubt": check.inDoubt, "jobs": n.durable.ledger.Len(), "linked": n.fleet.livePeers(),
			"confirmed_ms": (now - check.confirmedAt).Milliseconds(), "entries_age_ms": (now - n.fleet.sync.upToDateAt).Milliseconds(),
		}).Info()
	}
}

// durableTick pauses the durable tasks while the ownership record is not confirmed, and withdraws
// them when the confirmation is too old. The caller holds the lock.
func (n *Node) durableTick(now time.Duration) {
	check := &n.durable.ownership
	if n.durable.ledger.Len() > 0 {
		n.checkDoubt(now)
	}
	confirmed := check.gapAt == 0 && now-check.confirmedAt < maxConfirmationAge
	switch {
	case n.durable.ledger.Len() == 0:
		check.confirmedAt, check.gapAt, confirmed = max(check.confirmedAt, now), 0, true
	case now < check.verifyUntil:
	case confirmed || check.verifyUntil == 0: // there is no doubt, and a read has ended an earlier one
		check.confirmedAt, confirmed = max(check.confirmedAt, now), true
	default: // only a read ends the doubt, however long the store is away
		check.verifyUntil = now + verifyPeriod
	}
	n.coordinator.PauseDurable(now, !confirmed)
	if confirmed {
		check.withdrawn = false
		return
	}
	if !check.withdrawn && now-check.confirmedAt >= maxConfirmationAge {
		check.withdrawn = true
		n.log.WithFields(logrus.Fields{"event": "title_unproved", "jobs": n.durable.ledger.Len()}).Warn()
		n.coordinator.WithdrawDurable(now)
	}
}

// verifyOwnership reads this daemon's ownership record regularly while the ownership is in doubt and for
// verifyPeriod after that. A write that requires the record confirms it as well and saves the read.
func (n *Node) verifyOwnership() {
	for n.ctx.Err() == nil {
		n.mu.Lock()
		startedAt, check := n.clock.now(), &n.durable.ownership
		needed := startedAt < check.verifyUntil && n.durable.ledger.Len() > 0 && (check.gapAt > 0 || startedAt-check.confirmedAt >= verifyInterval/2)
		key, revision := n.durable.ledger.OwnershipKey(), n.durable.ledger.OwnershipRevision()
		n.mu.Unlock()
		if needed && revision > 0 {
			n.verifyOnce(startedAt, key, revision)
		}
		select {
		case <-n.ctx.Done():
		case <-n.durable.ownership.wake:
		case <-time.After(verifyInterval):
		}
	}
}

func (n *Node) verifyOnce(startedAt time.Duration, key ledger.Key, revision int64) {
	e, err := n.platform.Ledger.Get(n.ctx, key)
	if err != nil {
		if n.ctx.Err() == nil {
			n.storeFailed("title", err)
		}
		return
	}
	n.update(func(now time.Duration) {
		d := &n.durable
		switch {
		case d.ledger.OwnershipRevision() != revision:
		case e.Revision == revision:
			d.ownership.confirm(startedAt)
		default:
			events := d.ledger.HandleFenced()
			n.handleFenced(now)
			n.applyLedgerEvents(now, events)
		}
	})
}

// handleFenced handles the removal of this daemon's ownership record: other daemons own its jobs
// now. The caller holds the lock.
func (n *Node) handleFenced(time.Duration) {
	n.log.WithFields(logrus.Fields{"event": "title_lost"}).Warn()
	n.durable.ownerWatch.scanDue = true
	n.wakeOwnerWatch()
}

// flushLedger stores what waits to be written, for successors to know which tasks have started and
// ended. A store that does not answer must not delay the stop.
func (n *Node) flushLedger(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	flushed := false
	for ctx.Err() == nil && !flushed {
		n.update(func(now time.Duration) {
			n.durable.ledger.Flush(now)
			flushed = n.durable.ledger.Flushed()
		})
		if !flushed {
			clock.Sleep(ctx, tickInterval)
		}
	}
}

// releaseOwnership removes this daemon's ownership record at a planned stop, so that successors
// take over its remaining jobs at once.
func (n *Node) releaseOwnership(ctx context.Context) {
	n.flushLedger(ctx)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	n.mu.Lock()
	key, revision, remaining := n.durable.ledger.OwnershipKey(), n.durable.ledger.OwnershipRevision(), n.durable.ledger.Len()
	n.mu.Unlock()
	if revision == 0 {
		return
	}
	r, err := n.platform.Ledger.Write(ctx, ledger.OwnershipRemoval(ledger.Entry{Key: key, Revision: revision}))
	n.log.WithFields(logrus.Fields{"event": "title_resigned", "done": err == nil && r.Revision > 0, "jobs": remaining}).Info()
	n.update(func(now time.Duration) {
		n.resignPending()
		n.coordinator.DropDurableJobs()
		n.applyLedgerEvents(now, n.durable.ledger.HandleFenced())
	})
}
