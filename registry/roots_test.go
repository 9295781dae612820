package registry

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/member"
)

func newRelays(cells, domains int) (list []Relay) {
	for i := range 2 * cells {
		list = append(list, Relay{
			Process: member.Process{Address: netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:80", i%domains, i+1))},
			Domain:  fmt.Sprint(i % domains), Weight: []float64{0.2, 1.6, 0.2}[i%3],
		})
	}
	return list
}

// The load on the store must not grow with the fleet. A fleet of 64 cells must have as many root relays as
// one of 16: the strongest of each failure domain, because a domain may be cut off.
func TestRootRelaysAreBounded(t *testing.T) {
	for _, cells := range []int{16, 64} {
		perDomain := make(map[string]int)
		for _, r := range SelectRootRelays(newRelays(cells, 5)) {
			perDomain[r.Domain]++
			assert.Equal(t, r.Weight, 1.6)
		}
		assert.Equal(t, len(perDomain), 5)
		for domain, n := range perDomain {
			assert.Equal(t, n, rootsPerDomain, domain)
		}
	}
	assert.Equal(t, len(SelectRootRelays(newRelays(2, 4))), 4, "few relays are all root relays")
}

// A relay must ask the root relays of its own domain first. The link to other domains may be cut, and has
// a cost.
func TestRelaysPreferRootsOfTheirDomain(t *testing.T) {
	readers := newRelays(16, 5)
	roots := SelectRootRelays(readers)
	first := make(map[string]map[netip.AddrPort]bool)
	for _, r := range readers {
		list := RankRootRelays(r, roots)
		assert.Equal(t, len(list), len(roots))
		assert.Equal(t, list[0].Domain, r.Domain)
		assert.Equal(t, list[1].Domain, r.Domain)
		if first[r.Domain] == nil {
			first[r.Domain] = make(map[netip.AddrPort]bool)
		}
		first[r.Domain][list[0].Address] = true
	}
	for domain, roots := range first {
		assert.Equal(t, len(roots), rootsPerDomain, "domain %s relies on one root relay", domain)
	}
}
