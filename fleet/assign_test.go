package fleet

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
)

func members(domain string, n int) []Member {
	var list []Member
	for i := range n {
		a := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:80", domain[0], i))
		list = append(list, Member{Process: member.Process{Address: a, Incarnation: uint64(i + 1)}, Domain: domain})
	}
	return list
}

func workers(domain string, n int) []executor.WorkerInfo {
	var list []executor.WorkerInfo
	for i := range n {
		list = append(list, executor.WorkerInfo{ID: fmt.Sprintf("%s-%d", domain, i), Domain: domain})
	}
	return list
}

// Workers must be held by daemons of their own failure domain, because a domain that is cut off must
// continue by itself.
func TestWorkersAreHeldInTheirDomain(t *testing.T) {
	m := append(members("a", 2), members("b", 3)...)
	holders := Assign(append(workers("a", 12), workers("b", 12)...), m)
	counts := make(map[member.Process]int)
	for id, h := range holders {
		counts[h]++
		for _, x := range m {
			if x.Process == h {
				assert.Equal(t, x.Domain, id[:1])
			}
		}
	}
	for _, x := range m {
		assert.Equal(t, counts[x.Process], map[string]int{"a": 6, "b": 4}[x.Domain])
	}
}

// Daemons of other failure domains must hold the workers of a domain without daemons.
func TestDomainWithoutDaemons(t *testing.T) {
	holders := Assign(workers("c", 6), members("a", 3))
	assert.Equal(t, len(holders), 6)
	assert.Equal(t, len(Assign(workers("c", 6), nil)), 0)
}

// The loss of a daemon must move few workers of other holders, because each move costs a poll and a
// query to all coordinators. A daemon that restarts gets its workers back.
func TestDaemonLossMovesFewWorkers(t *testing.T) {
	m, w := members("a", 8), workers("a", 96)
	before := Assign(w, m)
	after := Assign(w, m[1:])
	moved := 0
	for id, h := range before {
		if h != m[0].Process && after[id] != h {
			moved++
		}
	}
	assert.Assert(t, moved <= 24, "moved %d workers of live holders", moved)
	m[0].Incarnation = 99
	for id, h := range Assign(w, m) {
		assert.Equal(t, h.Address, before[id].Address)
	}
}

// Two daemons of a failure domain have four times the processor of the others and can hold all of its
// workers. Only they must hold workers: few queues with many workers waste less capacity than many
// queues with few. When one of them is lost, the other takes as many workers as it can hold and the
// next strongest daemon takes the rest. Otherwise a machine would fall behind with its orders.
func TestStrongestDaemonsHoldTheWorkers(t *testing.T) {
	m := members("a", 16)
	for i := range m {
		m[i].Weight = 0.192
	}
	m[3].Weight, m[9].Weight = 0.8, 0.8
	held := func(m []Member) map[netip.AddrPort]int {
		n := make(map[netip.AddrPort]int)
		for _, h := range Assign(workers("a", 117), m) {
			n[h.Address]++
		}
		return n
	}
	both := held(m)
	assert.Equal(t, len(both), 2)
	assert.Assert(t, both[m[3].Address] >= 58 && both[m[9].Address] >= 58)
	one := held(append(append([]Member(nil), m[:3]...), m[4:]...))
	assert.Equal(t, one[m[9].Address], 79)
	assert.Equal(t, len(one), 3)
	weak := held(m[10:])
	assert.Equal(t, len(weak), 6, "all daemons hold workers if few cannot hold them all")
}

// Of equal daemons, two hold all workers where that is enough. All hold workers if their processors are
// not known.
func TestHoldersOfEqualDaemons(t *testing.T) {
	m := members("a", 3)
	count := func() int {
		holders := make(map[member.Process]bool)
		for _, h := range Assign(workers("a", 18), m) {
			holders[h] = true
		}
		return len(holders)
	}
	assert.Equal(t, count(), 3)
	for i := range m {
		m[i].Weight = 0.4
	}
	assert.Equal(t, count(), 2)
}
