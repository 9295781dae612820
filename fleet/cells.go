package fleet

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendercleat/lavendercleat/executor"
)

const (
	// maxUndivided is the number of daemons up to which a fleet is one cell: where most of the
	// room is in use, tasks find the rest of it in one cell rather than in two.
	maxSingleCell = 48
	// maxCell is the number of daemons in a cell, on average, above which the cells of a
	// larger fleet are divided. Each daemon exchanges heartbeats with all others of its cell,
	// and links them anew when it starts: with cells of 37 that took a third of what small
	// daemons spent, and most of the time until they served after a loss of power.
	maxCell = 28
	// minCell is the number below which cells are joined again; it is less than half of
	// maxCell, so that a fleet at a limit doesn't change by turns.
	minCell = 12
	// maxCellBits bounds the number of cells.
	maxCellBits = 10
)

// Cells divides a large fleet: the daemons of a cell are linked with each other, hold the
// cell's workers together and pass tasks among themselves. Without cells heartbeats would
// grow with the square of the daemons. The zero value is one cell.
type Cells struct {
	// bits is the number of leading bits of a daemon's hash that name its cell.
	bits int
}

// ResizedFor returns the cells for a number of daemons, near the present ones.
func (c Cells) ResizedFor(daemons int) Cells {
	for c.bits < maxCellBits && daemons > maxSingleCell && daemons > maxCell<<c.bits {
		c.bits++
	}
	for c.bits > 0 && daemons < minCell<<c.bits {
		c.bits--
	}
	return c
}

// Count returns the number of cells.
func (c Cells) Count() int { return 1 << c.bits }

// CellOf returns the cell of a daemon.
func (c Cells) CellOf(daemon netip.AddrPort) int {
	if c.bits == 0 {
		return 0
	}
	return int(xxhash.Sum64String(daemon.String()) >> (64 - c.bits))
}

// DaemonInfo is where a daemon is and what it can carry.
type DaemonInfo struct {
	Address netip.AddrPort
	Domain  string
	// Weight is compared with that of others; 0 counts as 1.
	Weight float64
}

// Workers returns those of a cell. Each cell gets a share of each failure domain's workers
// by what its daemons of that domain can carry, so that all daemons of a domain hold
// workers by their weight, however the hash has thrown them together. A domain without
// daemons is shared by what the cells can carry in all. A worker that comes or leaves moves
// hardly any other: what runs on a worker that changes its cell is lost to its callers, as
// coordinators are not linked with daemons of other cells.
func (c Cells) Workers(cell int, workers []executor.WorkerInfo, daemons []DaemonInfo) []executor.WorkerInfo {
	if c.bits == 0 {
		return workers
	}
	total := make([]float64, c.Count())
	byDomain := make(map[string][]float64)
	for _, d := range daemons {
		weights := byDomain[d.Domain]
		if weights == nil {
			weights = make([]float64, c.Count())
			byDomain[d.Domain] = weights
		}
		weights[c.CellOf(d.Address)] += cmp.Or(d.Weight, 1)
		total[c.CellOf(d.Address)] += cmp.Or(d.Weight, 1)
	}
	pools := make(map[string][]executor.WorkerInfo)
	for _, w := range workers {
		pools[w.Domain] = append(pools[w.Domain], w)
	}
	var own []executor.WorkerInfo
	for domain, pool := range pools {
		weights := byDomain[domain]
		if weights == nil {
			weights = total
		}
		own = append(own, workersOfCell(cell, pool, weights)...)
	}
	return own
}

// cellSlack is by what part of its share a cell's number of workers may be above it. Without
// it each worker that comes or leaves would move two or three others from cell to cell.
const cellSlack = 0.05

// partOf returns the workers of a failure domain that a cell has: each worker is of the cell
// that rates it highest and is not full (weighted rendezvous hashing with bounded loads).
func workersOfCell(cell int, pool []executor.WorkerInfo, weights []float64) (own []executor.WorkerInfo) {
	sum := 0.0
	for _, s := range weights {
		sum += s
	}
	if sum == 0 {
		return nil
	}
	left := make([]int, len(weights))
	for i, s := range weights {
		left[i] = int(math.Ceil(float64(len(pool)) * s / sum * (1 + cellSlack)))
	}
	for _, w := range sortByHash(pool) {
		best, bestScore := -1, 0.0
		for i, s := range weights {
			if left[i] <= 0 {
				continue
			}
			if r := cellScore(w.hash, i, s); best < 0 || r > bestScore {
				best, bestScore = i, r
			}
		}
		if left[best]--; best == cell {
			own = append(own, w.info)
		}
	}
	return own
}

// cellRate is a pseudo-random number of a worker, by its hash, and a cell, higher for a larger one.
func cellScore(worker uint64, cell int, size float64) float64 {
	const odd1, odd2 = 0x9E3779B97F4A7C15, 0xD6E8FEB86659FD93
	x := worker ^ uint64(cell+1)*odd1
	x = (x ^ x>>32) * odd2
	x = (x ^ x>>32) * odd2
	return weightedScore(x^x>>32, size)
}

// keyedWorker is a worker with the hash of its ID.
type hashedWorker struct {
	hash uint64
	info executor.WorkerInfo
}

// byHash returns workers in an order that has nothing to do with their names.
func sortByHash(pool []executor.WorkerInfo) []hashedWorker {
	list := make([]hashedWorker, len(pool))
	for i, w := range pool {
		list[i] = hashedWorker{xxhash.Sum64String(w.ID), w}
	}
	slices.SortFunc(list, func(a, b hashedWorker) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.info.ID, b.info.ID))
	})
	return list
}
