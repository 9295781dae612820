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

// countingFeed is a feed of the store that counts its calls.
type countingFeed struct{ calls int }

func (s *countingFeed) Read(context.Context) ([]registry.Item, int64, error) {
	s.calls++
	return nil, 1000, nil
}

func (s *countingFeed) Watch(context.Context, int64, time.Duration) (registry.Changes, error) {
	s.calls++
	return registry.Changes{Revision: 1000}, nil
}

// newRootAndRelay returns a root relay that has read two workers up to revision 20, and the feed of
// a relay of another cell with its store.
func newRootAndRelay(t *testing.T) (root *testNode, feed *cellFeed, store *countingFeed) {
	root = newLinkedNode(t, 0)
	root.clock.start = time.Now().Add(-10 * time.Second)
	root.fleet.sync.isRelay = true
	follower{root.Node, true}.HandleSnapshot([]registry.Item{workerEntry("v", "", 3), workerEntry("w", "", 4)}, 20)
	served := httptest.NewServer(root.FeedHandler())
	t.Cleanup(served.Close)

	n := newLinkedNode(t, 0)
	n.clock.start = time.Now().Add(-10 * time.Second)
	n.config.RelayPort = netip.MustParseAddrPort(served.Listener.Addr().String()).Port()
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

// A relay of another cell reads the store instead of a root relay, gets a change late, or gets
// entries that workers only renewed.
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
	assert.Assert(t, time.Since(began) < 400*time.Millisecond, "the change arrived after %s", time.Since(began))
	assert.Equal(t, store.calls, 0)
	assert.Assert(t, feed.n.fleet.sync.rootAge < 200*time.Millisecond)
}

// A root relay without the store looks up to date to those that rely on its relays. The age of the
// store's last answer to it has to be passed on.
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
	assert.Equal(t, n.configuration.answeredAt, answered, "an answer of a root relay is no answer of the store")
}

// A root relay has had no answer of the store for over a second. A relay that depends on it must
// read the store.
func TestRelayReadsStoreWhenRootRelayIsStale(t *testing.T) {
	root, feed, store := newRootAndRelay(t)
	root.fleet.sync.storeAnsweredAt = root.clock.now() - 2*maxRootAge
	_, revision, err := feed.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, revision, int64(1000))
	assert.Equal(t, store.calls, 1)
	assert.Equal(t, feed.n.fleet.sync.root, "")
}

// A relay was cut off for longer than a root relay remembers deletions. Changes alone would keep
// workers that have left, so it must read all entries.
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

// Root relays, daemons of an undivided fleet, and daemons that are no relays must not ask root
// relays.
func TestOnlyPlainRelaysAskRootRelays(t *testing.T) {
	_, feed, _ := newRootAndRelay(t)
	n := feed.n
	assert.Assert(t, len(n.rootFeeds()) > 0)
	n.fleet.sync.isRelay = false
	assert.Equal(t, len(n.rootFeeds()), 0)
	n.fleet.sync.isRelay = true
	n.self.Weight = 9
	assert.Equal(t, len(n.rootFeeds()), 0, "the daemon with the most cores of its domain is a root relay")
	n.self.Weight = 0.1
	n.fleet.cells = n.fleet.cells.ResizedFor(20)
	assert.Equal(t, len(n.rootFeeds()), 0, "the fleet has one cell")
}

// A relay starts its term and gets entries that a root relay read just before that. Its peers would
// wait for the root relay's next read if it didn't report them at once.
func TestRelayReportsEntriesReadBeforeItsTerm(t *testing.T) {
	root, feed, _ := newRootAndRelay(t)
	root.fleet.sync.storeAnsweredAt = root.clock.now() - 400*time.Millisecond
	n := feed.n
	n.fleet.sync.termStartedAt, n.fleet.sync.term = n.clock.now(), 1
	time.Sleep(2 * time.Millisecond)
	items, revision, err := feed.Read(t.Context())
	assert.NilError(t, err)
	follower{n, true}.HandleSnapshot(items, revision)
	var heartbeat schema.Pulse
	n.fleet.sync.addToHeartbeat(n.clock.now(), &heartbeat)
	assert.Equal(t, heartbeat.GetRegistryRevision(), int64(20))
	assert.Assert(t, heartbeat.GetRegistryAgeMs() >= 400)
}
