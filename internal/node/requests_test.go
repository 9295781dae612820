package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/routing"
)

// All daemons were killed and restart. Callers arrive at once, while the configuration is still in
// transfer over a narrow link. They must wait for it, for some hundred ms, and be served. A caller
// that leaves, and one that arrives later at a daemon without a configuration, must not wait.
func TestCallersWaitForTheFirstConfiguration(t *testing.T) {
	n := newNodeWithDecoders(t)
	got := make(chan *routing.Table, 1)
	go func() { got <- n.AwaitTable(context.Background()) }()
	departed, leave := context.WithCancel(context.Background())
	leave()
	assert.Assert(t, n.AwaitTable(departed) == nil)
	select {
	case <-got:
		t.Fatal("AwaitTable returned before there was a configuration")
	case <-time.After(20 * time.Millisecond):
	}
	follower{n.Node, false}.HandleSnapshot([]registry.Item{{Kind: registry.Configuration, Content: []byte("{}"), Revision: 3}}, 5)
	assert.Assert(t, <-got != nil)

	late := newNodeWithDecoders(t)
	late.clock.start = time.Now().Add(-firstTableTimeout)
	began := time.Now()
	assert.Assert(t, late.AwaitTable(context.Background()) == nil)
	assert.Assert(t, time.Since(began) < firstTableTimeout/2)
}
