package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/ledger"
)

// writeLog is a store that applies every change and keeps the changes.
type writeLog struct {
	ledger.Store
	mu      sync.Mutex
	changes []ledger.Change
}

func (w *writeLog) Write(_ context.Context, c ledger.Change) (ledger.Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = append(w.changes, c)
	return ledger.Result{Revision: 10 + int64(len(w.changes))}, nil
}

// A daemon stops moments after a task has started, while the start waits to be stored together with later
// progress. Its successor must find the start in the store.
func TestProgressIsStoredBeforeOwnershipIsReleased(t *testing.T) {
	n := newTestNode(t)
	store := new(writeLog)
	n.platform.Ledger = store
	n.addOwnedJob("a")
	n.durable.ledger.UpdateProgress(n.clock.now()+time.Hour, "a", 1, []coordinator.Progress{{LastRun: 1}})
	n.releaseOwnership(context.Background())
	assert.Equal(t, len(store.changes), 2)
	record, err := ledger.DecodeRecord(store.changes[0].Set[0].Value)
	assert.NilError(t, err)
	assert.Equal(t, len(record.Progress), 1)
	assert.DeepEqual(t, store.changes[1].Remove, []ledger.Key{n.durable.ledger.OwnershipKey()})
}

// The store does not answer a stopping daemon. The daemon must stop in time all the same.
func TestReleaseIsBoundedWithoutStore(t *testing.T) {
	n := newTestNode(t)
	n.platform.Ledger = unresponsiveStore{}
	n.addOwnedJob("a")
	n.durable.ledger.UpdateProgress(n.clock.now(), "a", 1, []coordinator.Progress{{LastRun: 1}})
	began := time.Now()
	n.releaseOwnership(context.Background())
	assert.Assert(t, time.Since(began) < 4*releaseTimeout)
}
