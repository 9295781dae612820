// The key-value store of the stand-in platform, with leases.

package platform

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/internal/platform"
)

// errLeaseExpired: the lease has expired or never existed.
var errLeaseExpired = errors.New("lease expired")

// store is the key-value store. It closes changed at each change to notify watches.
type store struct {
	mu      sync.Mutex
	values  map[string]storedValue
	leases  map[uint64]lease
	nextID  uint64
	changed chan struct{}
}

// storedValue is a value with the identifier of its lease; 0 means none.
type storedValue struct {
	platform.Value
	lease uint64
}

// lease is a lease with its time to live and the time at which it expires.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore() *store {
	return &store{values: make(map[string]storedValue), leases: make(map[uint64]lease), changed: make(chan struct{})}
}

// dropExpired removes expired leases and their keys. The caller holds the lock.
func (s *store) dropExpired(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for k, e := range s.values {
			if e.lease == id {
				delete(s.values, k)
			}
		}
		s.notifyWatchers()
	}
}

// notifyWatchers notifies all waiting watches of a change. The caller holds the lock.
func (s *store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns a key's value and a channel that the store closes at the next change.
func (s *store) get(key string) (v platform.Value, found bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(time.Now())
	stored, found := s.values[key]
	return stored.Value, found, s.changed
}

// put writes a key if its revision is prev, and returns the new revision. With a lease, the key expires
// with it.
func (s *store) put(key string, prev uint64, value []byte, leaseID uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(time.Now())
	if s.values[key].Revision != prev {
		return 0, platform.ErrConflict
	}
	if _, ok := s.leases[leaseID]; leaseID != 0 && !ok {
		return 0, errLeaseExpired
	}
	s.values[key] = storedValue{Value: platform.Value{Revision: prev + 1, Value: value}, lease: leaseID}
	s.notifyWatchers()
	return prev + 1, nil
}

// restore overwrites a key without a check, like a store that is restored from an old copy.
func (s *store) restore(key string, v platform.Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = storedValue{Value: v}
	s.notifyWatchers()
}

// grant creates a lease and returns its identifier.
func (s *store) grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return s.nextID
}

// renew extends a lease by its time to live.
func (s *store) renew(id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(time.Now())
	l, ok := s.leases[id]
	if !ok {
		return errLeaseExpired
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	return nil
}
