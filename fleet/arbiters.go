package fleet

import (
	"cmp"
	"slices"

	"github.com/lavendercleat/lavendercleat/member"
)

// Arbiters returns the n members with the highest scores for a job, the highest first. The result
// depends on the inputs alone, so daemons with the same members select the same arbiters. A member
// that joins or leaves changes the arbiters of few jobs.
func Arbiters(job string, members []Member, n int) []member.Process {
	type scored struct {
		process member.Process
		score   float64
	}
	best := make([]scored, 0, n+1)
	for i := range members {
		r := scored{members[i].Process, score(job, &members[i])}
		at, _ := slices.BinarySearchFunc(best, r, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, r)
		best = best[:min(len(best), n)]
	}
	list := make([]member.Process, len(best))
	for i, r := range best {
		list[i] = r.process
	}
	return list
}
