// Following the store's feeds, and the daemon's own registry entry.

package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// followInterval is the minimum time between watches of the store, where workers write all the
	// time. It bounds how late the daemon notices a change of the configuration and a leaving
	// worker.
	followInterval = 600 * time.Millisecond
	// followWait is how long a watch waits. Together with followInterval and the time-out of a call
	// it bounds how late the daemon notices a broken watch.
	followWait = 700 * time.Millisecond
	// configurationWait is the same for the configuration, which may stay unchanged for minutes.
	// Each watch that ends without a change has a cost.
	configurationWait = 1100 * time.Millisecond
	// configurationPause bounds the rate of calls when the configuration changes in quick
	// succession.
	configurationPause = 150 * time.Millisecond
	storeRetryDelay    = 250 * time.Millisecond
	// storeLostAfter is the time without an answer of the store after which the daemon asks peers.
	storeLostAfter = 2000 * time.Millisecond
	// renewalsPerTTL is how often the daemon renews its entry within the entry's time to live.
	renewalsPerTTL = 3
)

// configurationState is the configuration in force and the state of its source, the store. Guarded
// by the node's lock.
type configurationState struct {
	content []byte
	// answeredAt is when the store last answered.
	answeredAt  time.Duration
	fetcher     registry.ConfigFetcher
	copyLimiter registry.CopyLimiter
}

func (d *configurationState) storeUnreachable(now time.Duration) bool {
	return now-d.answeredAt > storeLostAfter
}

// storeAnswered notes an answer of the store.
func (n *Node) storeAnswered() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.configuration.answeredAt = n.clock.now()
}

func (n *Node) storeFailed(call string, err error) {
	n.metrics.countStoreFailure(call)
	n.mu.Lock()
	n.fleet.storeFailedAt = n.clock.now()
	n.mu.Unlock()
	n.log.WithFields(logrus.Fields{"event": "store_failed", "call": call, "error": err}).Warn()
}

// follower applies the updates of one of the store's feeds.
type follower struct {
	n *Node
	// entries: the feed is that of the entries of workers and daemons, not of the configuration.
	entries bool
}

// Intervals of the two feeds.
var (
	fleetFollowConfig         = registry.FollowConfig{Wait: followWait, MinInterval: followInterval, RetryDelay: storeRetryDelay}
	configurationFollowConfig = registry.FollowConfig{Wait: configurationWait, MinInterval: configurationPause, RetryDelay: storeRetryDelay}
)

// follow applies the updates of one feed until the daemon closes.
func (n *Node) follow(feed registry.Feed, config registry.FollowConfig, entries bool) {
	registry.Follow(n.ctx, feed, config, follower{n, entries})
}

// WaitUntilDue waits while relays read the entries for this daemon.
func (f follower) WaitUntilDue(ctx context.Context, revision int64) int64 {
	if !f.entries {
		return revision
	}
	for ctx.Err() == nil {
		knownRevision, action := f.n.nextSyncAction()
		switch action {
		case registry.UseRelay:
			clock.Sleep(ctx, followInterval/2)
		case registry.WaitForRelay:
			clock.Sleep(ctx, 2*tickInterval)
		case registry.ReadAll:
			return 0
		default:
			return max(revision, knownRevision)
		}
	}
	return revision
}

// HandleSnapshot applies a complete list of entries. Entries that it doesn't contain were deleted,
// or have expired in an outage of the store.
func (f follower) HandleSnapshot(items []registry.Item, revision int64) {
	listed := make(map[registry.Kind]map[string]bool)
	for _, i := range items {
		if listed[i.Kind] == nil {
			listed[i.Kind] = make(map[string]bool)
		}
		listed[i.Kind][i.ID] = true
	}
	if f.entries {
		f.n.mu.Lock()
		for id := range f.n.fleet.daemons {
			if !listed[registry.Daemon][id] {
				items = append(items, registry.Item{Kind: registry.Daemon, ID: id, Revision: revision, Deleted: true})
			}
		}
		for id := range f.n.fleet.workers {
			if !listed[registry.Worker][id] {
				items = append(items, registry.Item{Kind: registry.Worker, ID: id, Revision: revision, Deleted: true})
			}
		}
		f.n.mu.Unlock()
	} else {
		f.n.applyRetirementSnapshot(items, revision)
	}
	f.HandleChanges(registry.Changes{Items: items, Revision: revision})
}

// HandleChanges applies changes.
func (f follower) HandleChanges(c registry.Changes) {
	items := c.Items
	if !f.entries {
		f.n.storeAnswered()
		for _, i := range items {
			switch {
			case i.Kind == registry.RetiredDomain:
				f.n.applyRetirement(i)
			case i.Kind == registry.Configuration && !i.Deleted:
				f.n.applyConfiguration(i.Content, "store")
			}
		}
		return
	}
	f.n.update(func(now time.Duration) {
		s := &f.n.fleet.sync
		if s.root == "" {
			f.n.configuration.answeredAt = now
		}
		s.firstRead = s.knownRevision == 0
		s.knownRevision = max(s.knownRevision, c.Revision)
		if !c.More {
			s.storeAnsweredAt, s.upToDateAt, s.appliedAt = now-s.rootAge, now-s.rootAge, now
			f.n.metrics.observeEntriesAge(s.rootAge)
		}
		s.wakeFeeds()
		f.n.applyEntries(now, items)
		s.firstRead = false
	})
}

// HandleError notes that a call to the store failed.
func (f follower) HandleError(err error) { f.n.storeFailed("follow", err) }

// applyConfiguration puts a configuration in force if it is newer than the one in force. Copies
// from peers and late answers never bring back an older one.
func (n *Node) applyConfiguration(content []byte, source string) {
	t, err := n.platform.DecodeConfiguration(content)
	if err != nil {
		n.log.WithFields(logrus.Fields{"event": "configuration_invalid", "source": source, "error": err}).Error()
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.table.Load()
	if old != nil && old.Version >= t.Version {
		return
	}
	n.table.Store(t)
	if old == nil {
		close(n.configured)
	}
	n.configuration.content = content
	n.log.WithFields(logrus.Fields{"event": "configuration_in_force", "version": t.Version, "source": source}).Info()
}

// entryRenewed notes that a renewal of this daemon's registry entry, which began at some time, succeeded.
func (n *Node) entryRenewed(startedAt time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.durable.ownership.entryRenewedAt = startedAt
}

// maintainOwnEntry keeps this daemon's own entry in the registry, by which peers find it.
func (n *Node) maintainOwnEntry() {
	content, err := proto.Marshal(&schema.Identity{
		Address: n.self.Address.String(), Incarnation: n.self.Incarnation, Name: n.self.Name, Domain: n.self.Domain,
		MilliCores: uint32(n.self.Weight * 1000),
	})
	if err != nil {
		n.log.WithFields(logrus.Fields{"event": "entry_failed", "error": err}).Error()
		return
	}
	var lease int64
	for n.ctx.Err() == nil {
		startedAt := n.clock.now()
		if lease == 0 {
			lease, err = n.platform.Registrar.Register(n.ctx, n.self.Name, content, n.config.EntryTTL)
		} else {
			err = n.platform.Registrar.Renew(n.ctx, lease)
		}
		if err != nil && n.ctx.Err() == nil {
			n.storeFailed("entry", err)
			if errors.Is(err, registry.ErrNotFound) {
				lease = 0
			}
			clock.Sleep(n.ctx, 2*storeRetryDelay)
			continue
		}
		if err == nil {
			n.entryRenewed(startedAt)
		}
		clock.Sleep(n.ctx, n.config.EntryTTL/renewalsPerTTL)
	}
}
