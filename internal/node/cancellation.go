// Cancellation of durable jobs, and the notices from the store that other daemons have canceled jobs of
// this daemon.

package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/ledger"
	"github.com/lavendercleat/lavendercleat/registry"
)

// Cancel implements Dispatcher.
func (n *Node) Cancel(ctx context.Context, id string) Cancellation {
	began := time.Now()
	ctx, end := n.whileServing(ctx)
	defer end()
	var canceled bool
	var c *caller
	n.update(func(now time.Duration) {
		if canceled = n.cancelNonDurable(now, id); canceled || !n.durable.ledger.Has(id) {
			return
		}
		n.durable.ledger.SetFinalState(now, id, ledger.Canceled)
		c = n.addCaller(id, true)
	})
	if canceled || c != nil && n.awaitEvent(ctx, id, c) == ledger.Ended {
		n.logCancellation(id, CancelDone, canceledHere, began)
		return CancelDone
	}
	for ctx.Err() == nil {
		if out, by, done := n.cancelStored(ctx, id); done {
			n.logCancellation(id, out, by, began)
			return out
		}
		clock.Sleep(ctx, writeRetryDelay)
	}
	n.logCancellation(id, CancelUncertain, canceledUnknown, began)
	return CancelUncertain
}

// canceledBy states how a cancellation got its result, for logs and metrics.
type canceledBy string

// Ways to the result of a cancellation.
const (
	// canceledHere: this daemon ran the job.
	canceledHere canceledBy = "here"
	// canceledInStore: this daemon ended the job of another daemon in the store.
	canceledInStore canceledBy = "store"
	// canceledBefore: the store showed no open job.
	canceledBefore canceledBy = "before"
	// canceledUnknown: no answer in time.
	canceledUnknown canceledBy = "unknown"
)

// cancelStored cancels a job of another daemon in the store; done is false when the caller has to
// retry.
func (n *Node) cancelStored(ctx context.Context, id string) (out Cancellation, by canceledBy, done bool) {
	record, err := n.platform.Ledger.Get(ctx, ledger.Key{Kind: ledger.RecordEntry, ID: id})
	if err != nil {
		return 0, "", false
	}
	if record.Revision == 0 {
		return n.cancelEnded(ctx, id)
	}
	r, err := n.platform.Ledger.Write(ctx, ledger.Cancellation(record, time.Now()))
	if err != nil || r.Revision == 0 {
		return 0, "", false
	}
	n.update(func(now time.Duration) { n.applyCancellation(now, id) })
	return CancelDone, canceledInStore, true
}

// cancelEnded returns the result for a job without a record: the job has ended, there is none, or the
// record was stored only now and the caller has to retry.
func (n *Node) cancelEnded(ctx context.Context, id string) (out Cancellation, by canceledBy, done bool) {
	e, err := n.platform.Ledger.Get(ctx, ledger.Key{Kind: ledger.StateEntry, ID: id})
	if err != nil {
		return 0, "", false
	}
	if e.Revision == 0 {
		return NoSuchJob, canceledBefore, true
	}
	state, _, err := ledger.DecodeState(e.Value)
	if err != nil || !state.Final() {
		return 0, "", false
	}
	n.update(func(now time.Duration) {
		n.durable.states.put(id, knownState{state, n.self.Incarnation, now}, n.config.StateRetention)
	})
	return CancelDone, canceledBefore, true
}

func (n *Node) logCancellation(id string, out Cancellation, by canceledBy, began time.Time) {
	n.metrics.countCancellation(out, by)
	n.log.WithFields(logrus.Fields{
		"event": "job_cancellation", "job": id, "verdict": out, "by": by, "waited_ms": time.Since(began).Milliseconds(),
	}).Info()
}

// applyCancellation ends a job whose cancellation is in the store. The caller holds the lock.
func (n *Node) applyCancellation(now time.Duration, id string) {
	n.applyLedgerEvents(now, []ledger.Event{n.durable.ledger.HandleCancellation(id)})
}

// cancellationFollowConfig holds the intervals of the feed of notices. They bound how long this daemon
// still starts tasks of a job after another daemon has canceled it.
var cancellationFollowConfig = registry.FollowConfig{Wait: configurationWait, MinInterval: configurationPause, RetryDelay: storeRetryDelay}

// followCancellations applies the notices to this daemon until it closes.
func (n *Node) followCancellations() {
	registry.Follow(n.ctx, n.platform.Cancellations(n.self.Incarnation), cancellationFollowConfig, cancellationFollower{n})
}

// cancellationFollower applies the notices that other daemons have canceled jobs of this daemon.
type cancellationFollower struct{ n *Node }

// WaitUntilDue waits while this daemon owns no jobs.
func (f cancellationFollower) WaitUntilDue(ctx context.Context, revision int64) int64 {
	for ctx.Err() == nil {
		f.n.mu.Lock()
		owned := f.n.durable.ledger.Len()
		f.n.mu.Unlock()
		if owned > 0 {
			break
		}
		select {
		case <-ctx.Done():
		case <-f.n.durable.added:
		}
	}
	return revision
}

// HandleSnapshot applies all notices that this daemon has not removed.
func (f cancellationFollower) HandleSnapshot(items []registry.Item, revision int64) {
	f.HandleChanges(registry.Changes{Items: items, Revision: revision})
}

// HandleChanges applies new notices.
func (f cancellationFollower) HandleChanges(c registry.Changes) {
	f.n.update(func(now time.Duration) {
		for _, i := range c.Items {
			if i.Kind == registry.CanceledJob && !i.Deleted {
				f.n.handleNotice(now, i.ID)
			}
		}
	})
}

// HandleError notes that a call to the store failed.
func (f cancellationFollower) HandleError(err error) { f.n.storeFailed("cancellations", err) }

// handleNotice handles the notice that a job of this daemon was canceled. Where the canceling daemon has
// told it already, nothing but the notice is left. The caller holds the lock.
func (n *Node) handleNotice(now time.Duration, id string) {
	d := &n.durable
	known := !d.ledger.Has(id) && d.states.get(id) == ledger.Canceled
	n.log.WithFields(logrus.Fields{"event": "job_cancel_notice", "job": id, "owned": d.ledger.Has(id), "known": known}).Info()
	if !known {
		n.applyCancellation(now, id)
	}
	d.ledger.RemoveNotice(now, id)
}

// abandonedNotices returns the keys of the notices to owners that no longer run.
func (n *Node) abandonedNotices() ([]ledger.Key, error) {
	notices, err := n.platform.Ledger.List(n.ctx, ledger.CancellationEntry)
	if err != nil {
		return nil, err
	}
	ownerships, err := n.platform.Ledger.List(n.ctx, ledger.OwnershipEntry)
	if err != nil {
		return nil, err
	}
	return ledger.AbandonedNotices(notices, ownerships), nil
}
