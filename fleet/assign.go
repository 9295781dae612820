// Package fleet assigns workers to the daemons that hold them, selects the arbiters of a job, and
// divides a large fleet into cells. All daemons compute the same result from the same view.
package fleet

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
)

// Member is a daemon that may hold workers.
type Member struct {
	member.Process
	Domain string
	// Weight is the daemon's capacity, relative to others; 0 counts as 1.
	Weight float64
}

const (
	// workersPerCore is the number of workers that a daemon holds per core of its processor, where
	// other daemons of its failure domain can hold the rest. With tasks of some tenths of a second, a
	// daemon has processor time left at this number even if it alone does all the daemons' work for
	// these tasks.
	workersPerCore = 100
	// minHolders is the least number of holders in a failure domain, if the domain has as many
	// daemons. When one holder is lost, the workers of the other continue to serve while the rest are
	// taken over.
	minHolders = 2
)

// Assign returns the holder of each worker, by the worker's ID. The result depends on the inputs
// alone, so daemons with equal views agree without a message. While views differ, fencing tokens
// decide. A worker is assigned to a member of its own failure domain if there is one, because a
// domain that is cut off must continue by itself. Within a domain each member gets a number of
// workers by its weight. The loss of a member moves few workers besides its own.
func Assign(workers []executor.WorkerInfo, members []Member) map[string]member.Process {
	holders := make(map[string]member.Process, len(workers))
	byDomain := make(map[string][]Member)
	for _, m := range members {
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	pools := make(map[string][]executor.WorkerInfo)
	for _, w := range workers {
		d := w.Domain
		if len(byDomain[d]) == 0 {
			d = ""
		}
		pools[d] = append(pools[d], w)
	}
	for domain, pool := range pools {
		if domain == "" {
			assignPool(pool, members, holders)
			continue
		}
		assignPool(pool, chooseHolders(len(pool), byDomain[domain]), holders)
	}
	return holders
}

// chooseHolders returns the daemons of a failure domain that hold its workers: the strongest ones,
// as many as can hold that number of workers. Few holders with many workers each place tasks better
// than many holders with few workers. A task that is large for a worker fits more often, and the
// holder orders more waiting tasks by urgency. With many holders, coordinators would have to guess
// which of many queues has free capacity next. If the processors of the daemons are not known, all
// of them hold workers.
func chooseHolders(workers int, members []Member) []Member {
	if slices.ContainsFunc(members, func(m Member) bool { return m.Weight <= 0 }) {
		return members
	}
	strongest := slices.Clone(members)
	slices.SortFunc(strongest, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), a.Address.Compare(b.Address))
	})
	capacity := 0.0
	for i, m := range strongest {
		if i >= minHolders && capacity >= float64(workers) {
			return strongest[:i]
		}
		capacity += m.Weight * workersPerCore
	}
	return strongest
}

// assignPool assigns each worker to the member with the highest score that has not reached its
// quota (weighted rendezvous hashing with bounded loads).
func assignPool(pool []executor.WorkerInfo, members []Member, holders map[string]member.Process) {
	if len(members) == 0 {
		return
	}
	slices.SortFunc(pool, func(a, b executor.WorkerInfo) int { return cmp.Compare(a.ID, b.ID) })
	limits := quotas(len(pool), members)
	for _, w := range pool {
		best, bestScore := -1, 0.0
		for i := range members {
			if s := score(w.ID, &members[i]); limits[i] > 0 && (best < 0 || s > bestScore) {
				best, bestScore = i, s
			}
		}
		limits[best]--
		holders[w.ID] = members[best].Process
	}
}

// quotas divides n among the members by their weights. Each member gets the integer part of its
// share, and the members with the largest fractions get one more.
func quotas(n int, members []Member) []int {
	total := 0.0
	for i := range members {
		total += cmp.Or(members[i].Weight, 1)
	}
	list, fractions, order := make([]int, len(members)), make([]float64, len(members)), make([]int, len(members))
	left := n
	for i := range members {
		share := float64(n) * cmp.Or(members[i].Weight, 1) / total
		list[i] = int(share)
		fractions[i], order[i] = share-float64(list[i]), i
		left -= list[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(fractions[b], fractions[a]), members[a].Address.Compare(members[b].Address))
	})
	for _, i := range order[:left] {
		list[i]++
	}
	return list
}

// score is a pseudo-random number for a member and the identifier of a worker or a job; a member with a
// higher weight gets higher scores. The hash leaves out the incarnation, so a restarted daemon gets its workers back.
func score(id string, m *Member) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(m.Address.String())
	return weightedScore(d.Sum64(), cmp.Or(m.Weight, 1))
}

// weightedScore returns the score of weighted rendezvous hashing for a hash and a weight: the
// probability that a member's score is the highest is its part of the sum of the weights.
func weightedScore(hash uint64, weight float64) float64 {
	const bits = 53
	uniform := (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
	return -weight / math.Log(uniform)
}
