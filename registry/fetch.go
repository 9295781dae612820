// Configuration copies between daemons: from which peer one is fetched, and how many are sent.

package registry

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendercleat/lavendercleat/member"
)

const (
	// storeWaitLimit is how long a daemon that is behind its peers waits for the store. The store
	// sends a configuration of 256 KiB to 33 daemons within 130 ms.
	storeWaitLimit = 300 * time.Millisecond
	// askInterval is the time before the daemon asks another peer. A configuration of 1 MiB takes
	// 340 ms on the slowest links, of 25 Mbit/s.
	askInterval = 500 * time.Millisecond
	// minCopyBudget is the least number of bytes of copies that a daemon may send in each
	// copyInterval. They occupy a link of 25 Mbit/s for 170 ms, so peers do not take the heartbeats
	// queued behind them for a time-out. Daemons that have a copy send it on, so all get one soon.
	minCopyBudget = 512 << 10
	copyInterval  = 250 * time.Millisecond
	// copyLinkShare is the part of a link's capacity that copies may use.
	copyLinkShare = 0.66
)

// ConfigSource is a peer that may be asked for a newer configuration.
type ConfigSource struct {
	member.Process
	// Version is the configuration's version that the peer has reported.
	Version uint64
	// SameDomain reports whether the peer is in this daemon's failure domain.
	SameDomain bool
}

// ConfigFetcher decides from which peer a daemon fetches a configuration that its peers have and the
// daemon does not, because the store rejects its requests or is slow. It asks one peer at a time.
// If peers sent their configuration without a request, all of them would send it at once whenever the
// store's answers differ by milliseconds: 33 daemons sent 1,056 copies, heartbeats were delayed behind
// them, and all daemons of a fleet became unreachable for each other.
// The zero value is ready for use. It is not safe for concurrent use.
type ConfigFetcher struct {
	// behindSince is when a peer was first seen to have a newer version than behindVersion, or 0.
	behindSince   time.Duration
	behindVersion uint64
	asked         member.Process
	askedAt       time.Duration
}

// NextSource returns the peer to ask now, if any, from the versions of this daemon and of its peers.
// storeUnreachable reports that the store is known not to answer this daemon.
func (f *ConfigFetcher) NextSource(now time.Duration, self member.Process, version uint64, storeUnreachable bool, peers []ConfigSource) (member.Process, bool) {
	newest := version
	for _, p := range peers {
		newest = max(newest, p.Version)
	}
	if newest == version {
		f.behindSince = 0
		return member.Process{}, false
	}
	if f.behindSince == 0 || f.behindVersion != version {
		f.behindSince, f.behindVersion = now, version
	}
	if !storeUnreachable && now-f.behindSince < storeWaitLimit || f.askedAt > 0 && now-f.askedAt < askInterval && f.asked != (member.Process{}) {
		return member.Process{}, false
	}
	f.asked, f.askedAt = chooseSource(self, newest, f.asked, peers), now
	return f.asked, true
}

// HandleCopy records that a copy has arrived. If the copy is not the newest version by now, the daemon
// asks another peer without waiting for askInterval.
func (f *ConfigFetcher) HandleCopy() { f.asked = member.Process{} }

// chooseSource returns one of the peers with the newest version, preferably of this daemon's failure
// domain. It avoids the peer that was asked last, which may have too many requests. Different daemons
// choose different peers.
func chooseSource(self member.Process, newest uint64, last member.Process, peers []ConfigSource) member.Process {
	var best ConfigSource
	var bestHash uint64
	for _, p := range peers {
		if p.Version < newest {
			continue
		}
		hash := pairHash(self, p.Process)
		switch {
		case best.Process == (member.Process{}), best.Process == last:
		case p.Process == last, best.SameDomain && !p.SameDomain:
			continue
		case p.SameDomain == best.SameDomain && hash <= bestHash:
			continue
		}
		best, bestHash = p, hash
	}
	return best.Process
}

// pairHash returns a pseudo-random number for a pair of processes.
func pairHash(self, peer member.Process) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], self.Incarnation)
	binary.LittleEndian.PutUint64(pair[8:], peer.Incarnation)
	return xxhash.Sum64(pair[:])
}

// CopyLimiter limits the bytes of copies that a daemon sends. The zero value is ready for use.
type CopyLimiter struct {
	// Mbps is the bandwidth of the daemon's link in megabits per second; 0 if it is not known.
	Mbps          float64
	intervalStart time.Duration
	// sentBytes is the number of bytes sent since intervalStart.
	sentBytes int
}

// Allow reports whether a copy of the given size may be sent now. Each interval allows at least one copy
// of any size. A daemon that gets none asks another peer.
func (l *CopyLimiter) Allow(now time.Duration, size int) bool {
	if now-l.intervalStart >= copyInterval {
		l.intervalStart, l.sentBytes = now, 0
	}
	if l.sentBytes > 0 && l.sentBytes+size > l.budget() {
		return false
	}
	l.sentBytes += size
	return true
}

// budget returns the number of bytes that may be sent in an interval.
func (l *CopyLimiter) budget() int {
	const bytesPerMegabit = 1e6 / 8
	return max(minCopyBudget, int(l.Mbps*bytesPerMegabit*copyLinkShare*copyInterval.Seconds()))
}
