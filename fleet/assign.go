// Package fleet decides which daemon holds which worker.
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
	// Weight is what the daemon can carry, compared with others; 0 counts as 1.
	Weight float64
}

const (
	// workersPerCore is how many workers a daemon holds for each core of its processor where
	// others of its failure domain can carry the rest: with tasks of some tenths of a second it
	// has processor left then, were it to do alone all that daemons do for these tasks.
	workersPerCore = 100
	// minHolders is the least number of holders in a failure domain, if it has as many
	// daemons: when one is lost, the other's workers serve on while the rest are taken over.
	minHolders = 2
)

// Assign returns the holder of each worker, by the worker's ID. It is a function of its
// inputs alone, so daemons with equal views agree without a message; while views differ,
// fencing tokens decide. A worker goes to a member of its own failure domain while there
// is one, for a domain that is cut off has to go on by itself. Within a domain each
// member gets a number by its weight, and the loss of a member moves few workers besides its own.
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

// carriers returns the daemons of a failure domain that hold its workers: the strongest, as
// many as can carry so many workers. Few holders with many workers each place tasks better
// than many with few: a task that is large for a worker fits more often, and what waits is
// started by its urgency among more, where coordinators would have to guess at which of many
// queues there is room next. Where processors are not known, all hold workers.
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

// divide gives each worker to the member that rates it highest and has not its full
// number yet (weighted rendezvous hashing with bounded loads).
func assignPool(pool []executor.WorkerInfo, members []Member, holders map[string]member.Process) {
	if len(members) == 0 {
		return
	}
	slices.SortFunc(pool, func(a, b executor.WorkerInfo) int { return cmp.Compare(a.ID, b.ID) })
	limits := quotas(len(pool), members)
	for _, w := range pool {
		best, bestScore := -1, 0.0
		for i := range members {
			if r := score(w.ID, &members[i]); limits[i] > 0 && (best < 0 || r > bestScore) {
				best, bestScore = i, r
			}
		}
		limits[best]--
		holders[w.ID] = members[best].Process
	}
}

// parts divides n among the members by their weights: each gets the whole part of its
// share, and those with the largest rest one more.
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

// rate is a pseudo-random number of a pair, higher for a member that can carry more. The
// incarnation is left out, so that a restarted daemon gets its workers back.
func score(worker string, m *Member) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(worker)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(m.Address.String())
	return weightedScore(d.Sum64(), cmp.Or(m.Weight, 1))
}

// weighted is the rate that weighted rendezvous hashing makes of a hash and a weight: each of
// several rates is the highest as often as its weight is of their sum.
func weightedScore(hash uint64, weight float64) float64 {
	const bits = 53
	uniform := (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
	return -weight / math.Log(uniform)
}
