package node

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

// stubFeed is a store's feed that counts its calls.
type countingFeed struct{ calls int }

func (s *countingFeed) Read(context.Context) ([]registry.Item, int64, error) {
	s.calls++
	return nil, 1000, nil
}

func (s *countingFeed) Watch(context.Context, int64, time.Duration) (registry.Changes, error) {
	s.calls++
	return registry.Changes{Revision: 1000}, nil
}

// rootAndReader are a root that has read two workers up to revision 20, and a reader of another
// cell with its store.
func newRootAndRelay(t *testing.T) (root *testNode, feed *cellFeed, store *countingFeed) {
	root = newLinkedNode(t, 0)
	root.clock.start = time.Now().Add(-10 * time.Second)
	root.fleet.sync.isRelay = true
	follower{root.Node, true}.HandleSnapshot([]registry.Item{workerEntry("v", "", 3), workerEntry("w", "", 4)}, 20)
	served := httptest.NewServer(root.FeedHandler())
	t.Cleanup(served.Close)

	n := newLinkedNode(t, 0)
	n.clock.start = time.Now().Add(-10 * time.Second)
	n.config.FeedPort = netip.MustParseAddrPort(served.Listener.Addr().String()).Port()
	var items []registry.Item
	for i := range 100 {
		content, err := proto.Marshal(&schema.Identity{Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Domain: "a", MilliCores: 1600})
		assert.NilError(t, err)
		items = append(items, registry.Item{Kind: registry.Daemon, ID: fmt.Sprint(i), Content: content, Revision: 1})
	}
	n.self.Weight = 0.1
	n.applyDaemons(0, items)
	n.fleet.sync.isRelay = true
	store = &countingFeed{}
	n.platform.Fleet = store
	return root, newCellFeed(n.Node), store
}

// A reader of another cell takes from a root what the root has read, and what changes as soon as
// the root knows it; workers that only renew their entries cost nothing.
func TestRelayReadsFromRootRelay(t *testing.T) {
	root, feed, store := newRootAndRelay(t)
	items, revision, err := feed.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(items), 2)
	assert.Equal(t, revision, int64(20))
	go func() {
		time.Sleep(30 * time.Millisecond)
		follower{root.Node, true}.HandleChanges(registry.Changes{Items: []registry.Item{workerEntry("v", "draining", 25), workerEntry("w", "renewed", 26)}, Revision: 27})
	}()
	began := time.Now()
	c, err := feed.Watch(t.Context(), 20, 700*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(c.Items), 1)
	assert.Equal(t, c.Revision, int64(27))
	assert.Assert(t, time.Since(began) < 400*time.Millisecond, "it came after %s", time.Since(began))
	assert.Equal(t, store.calls, 0)
	assert.Assert(t, feed.n.fleet.sync.rootAge < 200*time.Millisecond)
}

// What a root tells is as old as the store's last word to the root, and those who rely on the
// reader judge it by that: a root that the store turns away must not look current.
func TestRelayPassesOnAgeOfRootRelay(t *testing.T) {
	root, feed, _ := newRootAndRelay(t)
	root.fleet.sync.storeAnsweredAt = root.clock.now() - 600*time.Millisecond
	items, revision, err := feed.Read(t.Context())
	assert.NilError(t, err)
	n := feed.n
	answered := n.configuration.answeredAt
	follower{n, true}.HandleSnapshot(items, revision)
	age := n.clock.now() - n.fleet.sync.storeAnsweredAt
	assert.Assert(t, age >= 600*time.Millisecond && age < 900*time.Millisecond, "%s", age)
	assert.Equal(t, n.configuration.answeredAt, answered, "a root's word is none of the store")
}

// A root has not heard from the store for a second, or is gone. Its readers read the store.
func TestRelayReadsStoreWhenRootRelayIsStale(t *testing.T) {
	root, feed, store := newRootAndRelay(t)
	root.fleet.sync.storeAnsweredAt = root.clock.now() - 2*maxRootAge
	_, revision, err := feed.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, revision, int64(1000))
	assert.Equal(t, store.calls, 1)
	assert.Equal(t, feed.n.fleet.sync.root, "")
}

// A reader was away for longer than a root remembers ends. Changes alone would keep workers that
// have left: it reads all.
func TestForgottenDeletionsRequireFullRead(t *testing.T) {
	root, feed, _ := newRootAndRelay(t)
	root.fleet.forgottenRevision = 15
	go func() {
		time.Sleep(20 * time.Millisecond)
		follower{root.Node, true}.HandleChanges(registry.Changes{Revision: 30})
	}()
	_, err := feed.Watch(t.Context(), 10, 700*time.Millisecond)
	assert.Assert(t, errors.Is(err, registry.ErrCompacted))
}

// Roots, daemons of an undivided fleet, and those that read for nobody ask no root.
func TestOnlyPlainRelaysAskRootRelays(t *testing.T) {
	_, feed, _ := newRootAndRelay(t)
	n := feed.n
	assert.Assert(t, len(n.rootFeeds()) > 0)
	n.fleet.sync.isRelay = false
	assert.Equal(t, len(n.rootFeeds()), 0)
	n.fleet.sync.isRelay = true
	n.self.Weight = 9
	assert.Equal(t, len(n.rootFeeds()), 0, "the strongest of its domain")
	n.self.Weight = 0.1
	n.fleet.cells = n.fleet.cells.ResizedFor(20)
	assert.Equal(t, len(n.rootFeeds()), 0, "one cell")
}

// A reader begins its term, and takes what a root had read a moment before that. Its own peers
// wait for it: it tells them at once, and not with the root's next read.
func TestRelayReportsEntriesReadBeforeItsTerm(t *testing.T) {
	root, feed, _ := newRootAndRelay(t)
	root.fleet.sync.storeAnsweredAt = root.clock.now() - 400*time.Millisecond
	n := feed.n
	n.fleet.sync.termStartedAt, n.fleet.sync.term = n.clock.now(), 1
	time.Sleep(2 * time.Millisecond)
	items, revision, err := feed.Read(t.Context())
	assert.NilError(t, err)
	follower{n, true}.HandleSnapshot(items, revision)
	var p schema.Pulse
	n.fleet.sync.addToHeartbeat(n.clock.now(), &p)
	assert.Equal(t, p.GetRegistryRevision(), int64(20))
	assert.Assert(t, p.GetRegistryAgeMs() >= 400)
}
