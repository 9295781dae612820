// Root relays: the relays of a fleet with several cells that read the store.

package registry

import (
	"cmp"
	"slices"
)

// rootsPerDomain is how many relays of each failure domain read the store in a divided fleet. One of them
// may fail or lose its connection to the store, and a domain may be cut off from all others.
const rootsPerDomain = 2

// SelectRootRelays returns the root relays: of the relays of all cells, those that read the store. The
// other relays get the entries from the root relays. If the two relays of each cell read the store, the
// load on the store's link would grow with the product of daemons and workers: 500 daemons with 5,300
// workers took 0.8 of a link of 1 Gbit/s. In a cell of small machines only, the reads would also take half
// of the relay's own link of 25 Mbit/s. The strongest relays of each failure domain are selected; the
// result depends on the inputs alone.
func SelectRootRelays(relays []Relay) (roots []Relay) {
	sorted := slices.Clone(relays)
	slices.SortFunc(sorted, func(a, b Relay) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(addressHash(a), addressHash(b)), a.Address.Compare(b.Address))
	})
	chosen := make(map[string]int)
	for _, r := range sorted {
		if chosen[r.Domain] < rootsPerDomain {
			chosen[r.Domain]++
			roots = append(roots, r)
		}
	}
	return roots
}

// RankRootRelays returns the root relays in the order in which a relay asks them. Those of its own failure
// domain come first. Among equals, each relay has an order of its own, so the two relays of a cell rarely
// rely on the same root relay.
func RankRootRelays(self Relay, roots []Relay) []Relay {
	list := slices.Clone(roots)
	otherDomain := func(r Relay) int {
		if r.Domain == self.Domain {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b Relay) int {
		return cmp.Or(cmp.Compare(otherDomain(a), otherDomain(b)), cmp.Compare(addressHash(a)^addressHash(self), addressHash(b)^addressHash(self)), a.Address.Compare(b.Address))
	})
	return list
}
