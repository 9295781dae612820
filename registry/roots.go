package registry

import (
	"cmp"
	"slices"
)

// rootsPerDomain is how many readers of each failure domain read the store in a divided fleet:
// one may be lost, or lose the store, and a domain may be cut off from all others.
const rootsPerDomain = 2

// SelectRootRelays returns, of the readers of all cells, those that read the store; the other readers take
// what these have read. Two readers for each cell take from the store what grows with daemons
// times workers: 500 daemons with 5,300 workers 0.8 of a link of 1 Gbit/s, and a reader of a cell
// with small machines only half of its own link of 25 Mbit/s. The strongest of each failure
// domain are chosen, a function of the inputs alone.
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

// RankRootRelays returns the roots in the order in which a reader asks them: those of its own
// failure domain first, and among equals each reader in an order of its own, so that the two
// readers of a cell rarely rely on the same.
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
