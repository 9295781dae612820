// Package fleet decides which daemon holds which worker.
package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
)

// Member is a daemon that may hold workers.
type Member struct {
	member.Process
	Domain string
}

// Assign returns the holder of each worker, by the worker's ID. It is a function of its
// inputs alone, so daemons with equal views agree without a message; while views differ,
// fencing tokens decide. A worker goes to a member of its own failure domain while there
// is one, for a domain that is cut off has to go on by itself. Within a domain each
// member gets an equal number, and the loss of a member moves few workers besides its own.
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
			divide(pool, members, holders)
			continue
		}
		divide(pool, byDomain[domain], holders)
	}
	return holders
}

// divide gives each worker to the member that rates it highest and has not its full
// number yet (rendezvous hashing with bounded loads).
func divide(pool []executor.WorkerInfo, members []Member, holders map[string]member.Process) {
	if len(members) == 0 {
		return
	}
	slices.SortFunc(pool, func(a, b executor.WorkerInfo) int { return cmp.Compare(a.ID, b.ID) })
	limit := (len(pool) + len(members) - 1) / len(members)
	counts := make(map[member.Process]int, len(members))
	for _, w := range pool {
		var best *Member
		var bestRate uint64
		for i := range members {
			m := &members[i]
			if r := rate(w.ID, m); counts[m.Process] < limit && (best == nil || r > bestRate) {
				best, bestRate = m, r
			}
		}
		counts[best.Process]++
		holders[w.ID] = best.Process
	}
}

// rate is a pseudo-random number of a pair. The incarnation is left out, so that a
// restarted daemon gets its workers back.
func rate(worker string, m *Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(worker)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(m.Address.String())
	return d.Sum64()
}
