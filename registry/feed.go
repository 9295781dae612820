// Package registry follows what others write to the platform's store: the operator's
// configuration, the workers' entries and the daemons' own.
package registry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a store.
var (
	// ErrUnavailable: no answer, or a refusal; a write may have taken effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrCompacted: the store has dropped the history after the given revision.
	ErrCompacted = errors.New("history forgotten")
	// ErrNotFound: there is no such key or lease.
	ErrNotFound = errors.New("not found in the store")
)

// Kind says who writes an entry.
type Kind uint8

// Kinds of entries.
const (
	// Other entries are of no use here.
	Other Kind = iota
	// Configuration is the operator's; there is one.
	Configuration
	// Worker entries are the workers' own.
	Worker
	// Daemon entries are those of daemons like this one.
	Daemon
	// RetiredDomain entries are the operator's: the failure domain that each names gets
	// nothing new while it is there.
	RetiredDomain
)

// Item is an entry, or the news of its end.
type Item struct {
	Kind     Kind
	ID       string
	Content  []byte
	Revision int64
	Deleted  bool
}

// Feed is a part of the store's entries. Entries that change all the time and are watched
// together cost one call where more feeds would cost more.
type Feed interface {
	// Read returns all entries and a revision to watch from.
	Read(ctx context.Context) ([]Item, int64, error)
	// Watch returns what changed after a revision, as soon as something has or when wait
	// is over. ErrCompacted asks for a new Read.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}

// Changes is an answer to a watch.
type Changes struct {
	Items []Item
	// Revision to go on from.
	Revision int64
	// More: the store has cut the answer off, and what changed later than Revision is there
	// to be read at once.
	More bool
}

// Registrar keeps a daemon's own entry, which vanishes when it isn't renewed.
type Registrar interface {
	// Register writes the entry and returns its lease.
	Register(ctx context.Context, name string, content []byte, ttl time.Duration) (lease int64, err error)
	// Renew extends the lease. ErrNotFound: it has ended.
	Renew(ctx context.Context, lease int64) error
	// Unregister ends the lease and the entry with it.
	Unregister(ctx context.Context, lease int64) error
}

// FollowConfig holds the times of Follow.
type FollowConfig struct {
	// Wait is how long a watch may wait.
	Wait time.Duration
	// MinInterval is the least time between two watches: where entries change all the time, a
	// watch would return at once, again and again, and each is paid for. An answer that was
	// cut off is followed by the next without a pause. With one, a daemon that watches 3,000
	// workers, which renew their entries 2,000 times a second, got 500 changes each 0.6 s,
	// fell behind the store by more with every answer, and learned of a worker that leaves
	// seconds after it had to stop using it.
	MinInterval time.Duration
	// RetryDelay is the pause after a failure.
	RetryDelay time.Duration
}

// Follower takes what Follow learns.
type Follower interface {
	// WaitUntilDue returns when the feed is to be read or watched, and the revision up to which all is
	// known then: that of the last call, 0 at first, or a later one that was learned otherwise.
	// 0 asks for a Read.
	WaitUntilDue(ctx context.Context, revision int64) int64
	// HandleSnapshot takes all entries, and the revision up to which all is known by them.
	HandleSnapshot(items []Item, revision int64)
	// HandleChanges takes changes since the last call. Only what is known by an answer that was not
	// cut off is as new as the answer.
	HandleChanges(c Changes)
	// HandleError tells that the store gave no answer; Follow tries on.
	HandleError(err error)
}

// Follow reads a feed and watches it until ctx ends.
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

// step reads or watches once and returns the revision to go on from, 0 asks for a read, and
// whether there is more to be read at once.
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
