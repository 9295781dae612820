package registry

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendercleat/lavendercleat/member"
)

const (
	// storePatience is how long a daemon that is behind its peers waits for the store, which
	// gives a configuration of 256 KiB to 33 daemons within 130 ms.
	storeWaitLimit = 300 * time.Millisecond
	// askAgain is the pause before another peer is asked: a configuration of 1 MiB takes
	// 340 ms on the slowest links, of 25 Mbit/s.
	askInterval = 500 * time.Millisecond
	// copiedAtOnce is how many bytes of copies one daemon hands out at least in each
	// copyInterval. They keep a link of 25 Mbit/s busy for 170 ms, so that heartbeats behind
	// them are not taken for silence; those that have a copy serve others, so all have one soon.
	minCopyBudget = 512 << 10
	copyInterval  = 250 * time.Millisecond
	// copyShare is the part of a link's time that copies may take.
	copyLinkShare = 0.66
)

// ConfigSource is a peer that may be asked for a newer configuration.
type ConfigSource struct {
	member.Process
	// Version that the peer has told.
	Version uint64
	// SameDomain: it is of the own failure domain.
	SameDomain bool
}

// ConfigFetcher decides from whom a daemon takes a configuration that its peers have and it
// doesn't, because the store turns it away or is slow. One peer is asked at a time.
// Peers that sent theirs unasked would do it all at once, for a difference of
// milliseconds between the store's answers: 33 daemons sent 1,056 copies, heartbeats
// waited behind them, and whole fleets lost sight of each other.
// The zero value is ready for use; it is not safe for concurrent use.
type ConfigFetcher struct {
	// behindSince is when a peer was first seen to be ahead of the version had; 0: none is.
	behindSince   time.Duration
	behindVersion uint64
	asked         member.Process
	askedAt       time.Duration
}

// NextSource returns the peer to ask now, if any, by the version that the daemon has and those
// of its peers. storeLost: the store is known not to answer this daemon.
func (c *ConfigFetcher) NextSource(now time.Duration, self member.Process, version uint64, storeUnreachable bool, peers []ConfigSource) (member.Process, bool) {
	newest := version
	for _, p := range peers {
		newest = max(newest, p.Version)
	}
	if newest == version {
		c.behindSince = 0
		return member.Process{}, false
	}
	if c.behindSince == 0 || c.behindVersion != version {
		c.behindSince, c.behindVersion = now, version
	}
	if !storeUnreachable && now-c.behindSince < storeWaitLimit || c.askedAt > 0 && now-c.askedAt < askInterval && c.asked != (member.Process{}) {
		return member.Process{}, false
	}
	c.asked, c.askedAt = chooseSource(self, newest, c.asked, peers), now
	return c.asked, true
}

// HandleCopy tells that a copy came: if it is not the newest by now, another is asked for
// without the pause.
func (c *ConfigFetcher) HandleCopy() { c.asked = member.Process{} }

// choose returns one of the peers with the newest version, of the own failure domain if
// there is one, but for the one asked last: it may have too many to serve. Daemons choose
// differently.
func chooseSource(self member.Process, newest uint64, last member.Process, peers []ConfigSource) member.Process {
	var best ConfigSource
	var bestHash uint64
	for _, p := range peers {
		if p.Version < newest {
			continue
		}
		r := pairHash(self, p.Process)
		switch {
		case best.Process == (member.Process{}), best.Process == last:
		case p.Process == last, best.SameDomain && !p.SameDomain:
			continue
		case p.SameDomain == best.SameDomain && r <= bestHash:
			continue
		}
		best, bestHash = p, r
	}
	return best.Process
}

// rate is a pseudo-random number of a pair.
func pairHash(self, peer member.Process) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], self.Incarnation)
	binary.LittleEndian.PutUint64(pair[8:], peer.Incarnation)
	return xxhash.Sum64(pair[:])
}

// CopyLimiter bounds how many copies a daemon hands out. The zero value is ready for use.
type CopyLimiter struct {
	// Mbps is what the daemon's link carries, in megabits a second; 0: not known.
	Mbps          float64
	intervalStart time.Duration
	// sent is what was handed out since then, in bytes.
	sentBytes int
}

// Allow reports whether a copy of a number of bytes may be sent now; one may in each interval,
// whatever its size. Who gets none asks another peer.
func (c *CopyLimiter) Allow(now time.Duration, size int) bool {
	if now-c.intervalStart >= copyInterval {
		c.intervalStart, c.sentBytes = now, 0
	}
	if c.sentBytes > 0 && c.sentBytes+size > c.budget() {
		return false
	}
	c.sentBytes += size
	return true
}

// budget is how many bytes may be handed out in an interval.
func (c *CopyLimiter) budget() int {
	const bytesPerMegabit = 1e6 / 8
	return max(minCopyBudget, int(c.Mbps*bytesPerMegabit*copyLinkShare*copyInterval.Seconds()))
}
