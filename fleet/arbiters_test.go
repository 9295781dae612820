package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/member"
)

func equalMembers(n int) (list []Member) {
	for i := range n {
		list = append(list, Member{
			Process: member.Process{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Incarnation: uint64(i)},
			Weight:  1,
		})
	}
	return list
}

// The views of two daemons differ by one member. Both must still have an arbiter in common, or each
// could be granted the same job.
func TestDifferentViewsShareAnArbiter(t *testing.T) {
	members := equalMembers(20)
	for i := range 500 {
		job := fmt.Sprint("job", i)
		all := Arbiters(job, members, 2)
		assert.Equal(t, len(all), 2)
		for lost := range members {
			seen := Arbiters(job, slices.Delete(slices.Clone(members), lost, lost+1), 2)
			assert.Assert(t, slices.ContainsFunc(seen, func(p member.Process) bool { return slices.Contains(all, p) }))
		}
	}
	assert.Equal(t, len(Arbiters("job", members[:1], 2)), 1)
}
