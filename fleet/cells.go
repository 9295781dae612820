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
	// maxSingleCell is the number of daemons up to which a fleet is a single cell. When most of the
	// capacity is in use, tasks find the free capacity in one cell more easily than in two.
	maxSingleCell = 48
	// maxCell is the average number of daemons in a cell above which the cells of a larger fleet are
	// split. Each daemon exchanges heartbeats with all others of its cell, and sets up links to all of
	// them when it starts. With cells of 37 daemons, this took a third of the processor time of small
	// daemons, and most of the time until they served after a loss of power.
	maxCell = 28
	// minCell is the average number below which cells are merged. It is less than half of maxCell, so
	// a fleet at a limit does not split and merge repeatedly.
	minCell = 12
	// maxCellBits limits the number of cells to 1<<maxCellBits.
	maxCellBits = 10
)

// Cells divides a large fleet. The daemons of a cell are linked with each other, hold the cell's
// workers together and pass tasks to each other. Without cells the number of heartbeats would grow
// with the square of the number of daemons. The zero value is a single cell.
type Cells struct {
	// bits is the number of leading bits of a daemon's hash that select its cell.
	bits int
}

// ResizedFor returns the division for a number of daemons, starting from the present one.
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

// DaemonInfo describes a daemon: its address, failure domain and weight.
type DaemonInfo struct {
	Address netip.AddrPort
	Domain  string
	// Weight is the daemon's capacity, relative to others; 0 counts as 1.
	Weight float64
}

// Workers returns the workers of a cell. Each cell gets a share of each failure domain's workers by
// the weight of its daemons of that domain. So all daemons of a domain hold workers by their weight,
// however the hash distributes the daemons. The workers of a domain without daemons are divided by the
// total weight of each cell. A worker that joins or leaves moves hardly any other worker: the callers
// lose the runs on a worker that changes its cell, because coordinators are not linked with daemons of
// other cells.
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

// cellSlack is the part of its share by which a cell's number of workers may exceed the share. Without
// it, each worker that joins or leaves would move two or three others between cells.
const cellSlack = 0.05

// workersOfCell returns the workers of a failure domain that belong to a cell. Each worker belongs to
// the cell with the highest score that is not full (weighted rendezvous hashing with bounded loads).
func workersOfCell(cell int, pool []executor.WorkerInfo, weights []float64) (own []executor.WorkerInfo) {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	if sum == 0 {
		return nil
	}
	left := make([]int, len(weights))
	for i, weight := range weights {
		left[i] = int(math.Ceil(float64(len(pool)) * weight / sum * (1 + cellSlack)))
	}
	for _, w := range sortByHash(pool) {
		best, bestScore := -1, 0.0
		for i, weight := range weights {
			if left[i] <= 0 {
				continue
			}
			if value := cellScore(w.hash, i, weight); best < 0 || value > bestScore {
				best, bestScore = i, value
			}
		}
		if left[best]--; best == cell {
			own = append(own, w.info)
		}
	}
	return own
}

// cellScore is a pseudo-random number for a worker, by its hash, and a cell; a larger cell gets higher
// scores.
func cellScore(worker uint64, cell int, size float64) float64 {
	const odd1, odd2 = 0x9E3779B97F4A7C15, 0xD6E8FEB86659FD93
	x := worker ^ uint64(cell+1)*odd1
	x = (x ^ x>>32) * odd2
	x = (x ^ x>>32) * odd2
	return weightedScore(x^x>>32, size)
}

// hashedWorker is a worker with the hash of its ID.
type hashedWorker struct {
	hash uint64
	info executor.WorkerInfo
}

// sortByHash returns the workers ordered by the hashes of their IDs, independent of their names.
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
