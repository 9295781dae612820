// Package registry follows the entries in the platform's store: the operator's configuration and retired
// failure domains, the workers' entries and the daemons' entries. It selects the relays that read the
// store for other daemons, and decides how a daemon without the store gets current entries.
package registry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a store.
var (
	// ErrUnavailable: the store did not answer, or refused the request. A write may have taken effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrCompacted: the store has dropped the history after the given revision.
	ErrCompacted = errors.New("store has dropped the history after this revision")
	// ErrNotFound: the key or lease does not exist.
	ErrNotFound = errors.New("not found in the store")
)

// Kind is the kind of an entry. It determines who writes the entry.
type Kind uint8

// Kinds of entries.
const (
	// Other entries are ignored.
	Other Kind = iota
	// Configuration is the operator's configuration. There is one such entry.
	Configuration
	// Worker entries are written by the workers.
	Worker
	// Daemon entries are written by daemons.
	Daemon
	// RetiredDomain entries are written by the operator. While such an entry exists, the failure domain
	// that it names gets no new runs.
	RetiredDomain
	// CanceledJob entries are written by daemons, for the daemon that owns the job. The ID is the job's.
	CanceledJob
)

// Item is the content of an entry at a revision, or the entry's deletion.
type Item struct {
	Kind     Kind
	ID       string
	Content  []byte
	Revision int64
	Deleted  bool
}

// Feed is a subset of the store's entries. Frequently changing entries that are watched together cost one
// call; more feeds would cost more calls.
type Feed interface {
	// Read returns all entries and a revision from which to watch.
	Read(ctx context.Context) ([]Item, int64, error)
	// Watch returns the changes after a revision, as soon as there are any or when wait has passed. After
	// ErrCompacted the caller must call Read again.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}

// Changes is the result of a watch.
type Changes struct {
	Items []Item
	// Revision is the revision from which to continue.
	Revision int64
	// More reports that the store has truncated the answer. Changes later than Revision can be read at
	// once.
	More bool
}

// Registrar maintains a daemon's own entry, which expires unless it is renewed.
type Registrar interface {
	// Register writes the entry and returns its lease.
	Register(ctx context.Context, name string, content []byte, ttl time.Duration) (lease int64, err error)
	// Renew extends the lease. It returns ErrNotFound if the lease has ended.
	Renew(ctx context.Context, lease int64) error
	// Unregister ends the lease, which deletes the entry.
	Unregister(ctx context.Context, lease int64) error
}

// FollowConfig holds the intervals of Follow.
type FollowConfig struct {
	// Wait is how long the store may hold a watch that has no changes to return.
	Wait time.Duration
	// MinInterval is the least time between two watches. Where entries change all the time, each watch
	// would return at once, and each watch has a cost. After a truncated answer Follow watches again
	// without a pause. With a pause, a daemon that watched 3,000 workers, which renew their entries 2,000
	// times a second, got 500 changes each 0.6 s. It fell further behind the store with every answer, and
	// learned that a worker was leaving seconds after it had to stop using the worker.
	MinInterval time.Duration
	// RetryDelay is the pause after a failure.
	RetryDelay time.Duration
}

// Follower receives the results of Follow.
type Follower interface {
	// WaitUntilDue returns when the feed must be read or watched. It returns the revision up to which all
	// changes are known: the revision of the last call, at first 0, or a later one that was learned from
	// another source. 0 requests a Read.
	WaitUntilDue(ctx context.Context, revision int64) int64
	// HandleSnapshot handles all entries, and the revision up to which they include all changes.
	HandleSnapshot(items []Item, revision int64)
	// HandleChanges handles the changes since the last call. Only an answer that was not truncated
	// includes all changes up to the time of the answer.
	HandleChanges(c Changes)
	// HandleError handles a failed call to the store. Follow tries again.
	HandleError(err error)
}

// Follow reads a feed and then watches it until ctx is done.
func Follow(ctx context.Context, f Feed, c FollowConfig, follower Follower) {
	var revision int64
	for ctx.Err() == nil {
		revision = follower.WaitUntilDue(ctx, revision)
		began := time.Now()
		next, more, err := readOrWatch(ctx, f, c, follower, revision)
		revision = next
		pause := c.MinInterval - time.Since(began)
		switch {
		case err != nil && ctx.Err() != nil:
			return
		case err != nil:
			follower.HandleError(err)
			pause = c.RetryDelay
		case more:
			pause = 0
		}
		sleep(ctx, pause)
	}
}

// readOrWatch reads or watches once. It returns the revision from which to continue, where 0 requests a
// read, and whether more changes can be read at once.
func readOrWatch(ctx context.Context, f Feed, c FollowConfig, follower Follower, revision int64) (next int64, more bool, err error) {
	if revision == 0 {
		items, at, err := f.Read(ctx)
		if err != nil {
			return 0, false, err
		}
		follower.HandleSnapshot(items, at)
		return at, false, nil
	}
	changes, err := f.Watch(ctx, revision, c.Wait)
	switch {
	case errors.Is(err, ErrCompacted):
		return 0, false, nil
	case err != nil:
		return revision, false, err
	}
	follower.HandleChanges(changes)
	return changes.Revision, changes.More, nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
