package slot

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Share returns how many of a worker's slots belong to self, a member of the worker's
// failure domain. Every member gets the integer part of slots/len(members). The members
// that rank highest for this worker get one of the remaining slots each.
func Share(worker string, slots int, members []netip.AddrPort, self netip.AddrPort) int {
	n := len(members)
	if n == 0 || slots <= 0 {
		return 0
	}
	ownRank := rank(worker, self)
	rankedAbove := 0
	found := false
	for _, m := range members {
		if m == self {
			found = true
			continue
		}
		r := rank(worker, m)
		if r > ownRank || r == ownRank && m.Compare(self) > 0 {
			rankedAbove++
		}
	}
	if !found {
		return 0
	}
	share := slots / n
	if rankedAbove < slots%n {
		share++
	}
	return share
}

// rank returns a hash that orders the members differently for each worker, so that the
// remaining slots spread evenly over the members (rendezvous hashing).
func rank(worker string, member netip.AddrPort) uint64 {
	var buf [64]byte
	b := append(buf[:0], worker...)
	b = append(b, '|')
	b = member.AppendTo(b)
	return xxhash.Sum64(b)
}
