package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
)

func daemonInfos(n int) (list []DaemonInfo) {
	for i := range n {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 5), byte(i / 250), byte(i % 250)}), 8000)
		list = append(list, DaemonInfo{Address: a, Domain: fmt.Sprint(i % 5)})
	}
	return list
}

// workersOfDomains returns workers that are spread evenly over a number of failure domains.
func workersOfDomains(n, domains int) (list []executor.WorkerInfo) {
	for i := range n {
		list = append(list, executor.WorkerInfo{ID: fmt.Sprint("w", i), Domain: fmt.Sprint(i % domains)})
	}
	return list
}

// A fleet of a few dozen daemons must be a single cell, in which all daemons are linked.
func TestSmallFleetIsOneCell(t *testing.T) {
	c := Cells{}.ResizedFor(maxSingleCell)
	assert.Equal(t, c.Count(), 1)
	workers := []executor.WorkerInfo{{ID: "a"}, {ID: "b"}}
	assert.Equal(t, len(c.Workers(0, workers, daemonInfos(3))), 2)
}

// The average cell size must stay within its limits at any number of daemons. One daemon more or less
// at a limit must not change the cells back and forth.
func TestCellSizeStaysInBounds(t *testing.T) {
	c := Cells{}
	for n := range 1000 {
		if c = c.ResizedFor(n); c.Count() > 1 {
			assert.Assert(t, n/c.Count() <= maxCell && n/c.Count() >= minCell, "%d daemons in %d cells", n, c.Count())
		}
		assert.Equal(t, c.ResizedFor(n-1), c)
	}
	assert.Equal(t, c.ResizedFor(5).Count(), 1)
}

// Each worker must belong to exactly one cell, and cells must get workers of each domain by their sizes.
func TestCellsDivideWorkers(t *testing.T) {
	daemons := daemonInfos(300)
	c := Cells{}.ResizedFor(len(daemons))
	workers := workersOfDomains(350, 5)
	sizes := make([]int, c.Count())
	for _, d := range daemons {
		sizes[c.CellOf(d.Address)]++
	}
	seen := make(map[string]int)
	for cell := range c.Count() {
		own := c.Workers(cell, workers, daemons)
		wanted := len(workers) * sizes[cell] / len(daemons)
		assert.Assert(t, len(own) >= wanted-5 && len(own) <= wanted+5, "cell of %d daemons has %d workers", sizes[cell], len(own))
		for _, w := range own {
			seen[w.ID]++
		}
	}
	assert.Equal(t, len(seen), len(workers))
	for id, n := range seen {
		assert.Equal(t, n, 1, id)
	}
}

// One more daemon must move few workers between cells.
func TestCellsMoveFewWorkers(t *testing.T) {
	c := Cells{}.ResizedFor(200)
	workers := workersOfDomains(400, 4)
	cellOf := func(daemons []DaemonInfo) map[string]int {
		m := make(map[string]int)
		for cell := range c.Count() {
			for _, w := range c.Workers(cell, workers, daemons) {
				m[w.ID] = cell
			}
		}
		return m
	}
	before, after := cellOf(daemonInfos(200)), cellOf(daemonInfos(201))
	moved := 0
	for id, cell := range before {
		if after[id] != cell {
			moved++
		}
	}
	assert.Assert(t, moved <= 20, "%d of 400 moved", moved)
}

// One failure domain has few daemons, and the hash has put most of them into two cells. Each domain has
// strong daemons beside weak ones. Each daemon must hold workers of its domain by its weight. With
// shares by the cells' sizes alone, a daemon that is the only one of its domain in its cell held five
// times as many workers as others.
func TestDaemonsHoldWorkersByWeight(t *testing.T) {
	var daemons []DaemonInfo
	var workers []executor.WorkerInfo
	for d := range 5 {
		domain := fmt.Sprint(d)
		for i := range 22 + 3*d {
			p := DaemonInfo{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i)}), 8000), Domain: domain, Weight: 0.192}
			if i < 3 {
				p.Weight = 0.8
			}
			daemons = append(daemons, p)
		}
		for i := range 220 {
			workers = append(workers, executor.WorkerInfo{ID: fmt.Sprintf("w%d-%d", d, i), Domain: domain})
		}
	}
	c := Cells{}.ResizedFor(len(daemons))
	assert.Assert(t, c.Count() > 1)
	held := make(map[netip.AddrPort]int)
	for cell := range c.Count() {
		var members []Member
		for _, d := range daemons {
			if c.CellOf(d.Address) == cell {
				members = append(members, Member{Process: member.Process{Address: d.Address}, Domain: d.Domain, Weight: d.Weight})
			}
		}
		for _, holder := range Assign(c.Workers(cell, workers, daemons), members) {
			held[holder.Address]++
		}
	}
	total := make(map[string]float64)
	for _, d := range daemons {
		total[d.Domain] += d.Weight
	}
	sum := make(map[string]int)
	for _, d := range daemons {
		wanted := 220 * d.Weight / total[d.Domain]
		sum[d.Domain] += held[d.Address]
		// A strong daemon may hold more than its share, for others of its cell, as far as
		// workersPerCore allows. No daemon holds more than that.
		assert.Assert(t, float64(held[d.Address]) <= max(wanted+2, workersPerCore*d.Weight+1),
			"%v of weight %v holds %d workers, its part is %.1f", d.Address, d.Weight, held[d.Address], wanted)
		if d.Weight == 0.8 {
			assert.Assert(t, float64(held[d.Address]) >= wanted-2,
				"%v of weight %v holds %d workers, its part is %.1f", d.Address, d.Weight, held[d.Address], wanted)
		}
	}
	for domain := range total {
		assert.Equal(t, sum[domain], 220)
	}
}

// Workers of a large fleet are removed and replaced all the time. A worker that leaves must not move
// others to another cell: no coordinator there claims their runs, so the callers lose them.
func TestLeavingWorkersMoveFewOthers(t *testing.T) {
	daemons := daemonInfos(236)
	c := Cells{}.ResizedFor(len(daemons))
	workers := workersOfDomains(2500, 5)
	homes := func(workers []executor.WorkerInfo) map[string]int {
		m := make(map[string]int)
		for cell := range c.Count() {
			for _, w := range c.Workers(cell, workers, daemons) {
				m[w.ID] = cell
			}
		}
		return m
	}
	before, moved := homes(workers), 0
	const changes = 12
	for i := range changes {
		rest := slices.Delete(slices.Clone(workers), i*200, i*200+1)
		for id, cell := range homes(rest) {
			if before[id] != cell {
				moved++
			}
		}
	}
	assert.Assert(t, moved <= changes, "%d workers moved with %d that left", moved, changes)
}
