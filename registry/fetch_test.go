package registry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/member"
)

// configSize is the size of a large configuration in bytes.
const configSize = 256 << 10

// configFleet is a set of daemons in four failure domains. They learn each other's versions at once.
type configFleet struct {
	now      time.Duration
	self     []member.Process
	version  []uint64
	fetchers []ConfigFetcher
	limiters []CopyLimiter
	// sent and maxPerInterval are for the copies of each daemon, in total and within one interval. Only
	// sent is counted.
	sent, maxPerInterval []int
}

func newConfigFleet(n int) *configFleet {
	f := &configFleet{
		now: time.Second, version: make([]uint64, n), fetchers: make([]ConfigFetcher, n), limiters: make([]CopyLimiter, n),
		sent: make([]int, n), maxPerInterval: make([]int, n),
	}
	for i := range n {
		f.self = append(f.self, member.Process{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1)), Incarnation: uint64(i*7919 + 1)})
	}
	return f
}

// step advances the clock by 25 ms. Each daemon may ask a peer, which answers at once.
func (f *configFleet) step(storeUnreachable func(i int) bool) {
	f.now += 25 * time.Millisecond
	for i := range f.self {
		var peers []ConfigSource
		for p := range f.self {
			if p != i {
				peers = append(peers, ConfigSource{f.self[p], f.version[p], p%4 == i%4})
			}
		}
		to, ok := f.fetchers[i].NextSource(f.now, f.self[i], f.version[i], storeUnreachable(i), peers)
		if !ok {
			continue
		}
		for p := range f.self {
			if f.self[p] == to && f.limiters[p].Allow(f.now, configSize) {
				f.sent[p]++
				f.version[i] = f.version[p]
				f.fetchers[i].HandleCopy()
			}
		}
	}
}

func (f *configFleet) total() int {
	n := 0
	for _, s := range f.sent {
		n += s
	}
	return n
}

func (f *configFleet) countAt(version uint64) int {
	n := 0
	for _, v := range f.version {
		if v == version {
			n++
		}
	}
	return n
}

// The operator writes a large configuration. The store sends it to some daemons up to 130 ms sooner than
// to others. If daemons passed it on at once, 33 daemons would send it to all that are behind for a
// moment, and heartbeats would wait behind the copies. No daemon must ask for a copy.
func TestNoCopiesWhileStoreAnswers(t *testing.T) {
	f := newConfigFleet(33)
	for i := range f.self {
		f.version[i] = 9
		if i%5 == 4 {
			f.step(func(int) bool { return false })
		}
	}
	f.step(func(int) bool { return false })
	assert.Equal(t, f.total(), 0)
}

// The store rejects the requests of twelve of 33 daemons while the operator writes. Each of the twelve
// must get the configuration once and soon, and no daemon must be kept busy with copies.
func TestDaemonsWithoutStoreGetOneCopyEach(t *testing.T) {
	f := newConfigFleet(33)
	lost := func(i int) bool { return i >= 21 }
	for i := range 21 {
		f.version[i] = 9
	}
	for range 8 {
		f.step(lost)
	}
	assert.Equal(t, f.countAt(9), 33, "within 200 ms")
	assert.Equal(t, f.total(), 12)
}

// A single daemon reaches the store. Daemons that have a copy must send it on, and none must send more
// than two at a time.
func TestCopiesSpread(t *testing.T) {
	f := newConfigFleet(33)
	f.version[0] = 9
	steps := 0
	for f.countAt(9) < 33 && steps < 200 {
		f.step(func(i int) bool { return i > 0 })
		steps++
	}
	assert.Equal(t, f.countAt(9), 33)
	assert.Equal(t, f.total(), 32)
	took := time.Duration(steps) * 25 * time.Millisecond
	assert.Assert(t, took <= 2500*time.Millisecond, "it took %s", took)
	assert.Assert(t, f.sent[0] < 16, "the first daemon sent %d copies", f.sent[0])
}

// All daemons of a cell ask their relays for all entries after a loss of power. A relay on a fast link
// serves all of them at once. A relay on a slow link must leave bandwidth for heartbeats.
func TestCopyBudgetDependsOnLink(t *testing.T) {
	served := func(mbps float64) (n int) {
		c := CopyLimiter{Mbps: mbps}
		for range 30 {
			if c.Allow(time.Second, 128<<10) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, served(1000), 30)
	assert.Equal(t, served(25), 4)
	assert.Equal(t, served(0), 4)
}

// A daemon that was asked freezes before it answers. The fetcher must ask another one.
func TestSourceThatDoesNotAnswerIsReplaced(t *testing.T) {
	var c ConfigFetcher
	f := newConfigFleet(3)
	peers := []ConfigSource{{f.self[1], 9, true}, {f.self[2], 9, true}}
	first, ok := c.NextSource(time.Second, f.self[0], 8, true, peers)
	assert.Assert(t, ok)
	_, ok = c.NextSource(time.Second+askInterval/2, f.self[0], 8, true, peers)
	assert.Assert(t, !ok, "the peer still has time to answer")
	second, ok := c.NextSource(time.Second+askInterval, f.self[0], 8, true, peers)
	assert.Assert(t, ok)
	assert.Assert(t, first != second)
}
