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

// A failure domain that is cut off goes on by itself, so its workers are held there.
func TestHoldersAreOfTheWorkersDomain(t *testing.T) {
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

// A domain without daemons is looked after by the others.
func TestOrphanedDomain(t *testing.T) {
	holders := Assign(workers("c", 6), members("a", 3))
	assert.Equal(t, len(holders), 6)
	assert.Equal(t, len(Assign(workers("c", 6), nil)), 0)
}

// A daemon that restarts gets its workers back, and its absence moves few others: each
// move costs a poll and a question to all coordinators.
func TestLossMovesFewWorkers(t *testing.T) {
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
