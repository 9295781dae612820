package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/ledger"
	"github.com/lavendercleat/lavendercleat/routing"
)

// hookedStore is a store that calls a function during each write.
type hookedStore struct {
	ledger.Store
	during func()
}

func (s hookedStore) Write(context.Context, ledger.Change) (ledger.Result, error) {
	s.during()
	return ledger.Result{Revision: 9}, nil
}

// A daemon stops and has answered its last job. While it removes its ownership record from the
// store, a caller on an open connection sends another job. The caller was told that the job may
// have run.
func TestJobDuringOwnershipRemovalIsAnswered(t *testing.T) {
	n := newTestNode(t)
	n.config.StopTimeout = 2 * time.Second
	n.durable.ledger.SetOwnershipRevision(1)
	var late *waiter
	n.platform.Ledger = hookedStore{during: func() {
		n.coordinator.UpdateExecutor(n.ownExecutor(n.clock.now()))
		late = n.join(Request{ID: "late", Route: &routing.Route{Name: "r", Service: "s"}, Steps: []coordinator.Step{{Count: 1}}, WaitLimit: time.Second})
		time.AfterFunc(3*tickInterval, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.handleJobAnswer(coordinator.Answer{Job: "late", Status: coordinator.Completed})
		})
	}}
	n.Drain(t.Context())
	<-late.done
	assert.Equal(t, late.answer.Status, coordinator.Completed)
}
