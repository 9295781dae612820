package registry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A failure domain is retired, reinstated and retired again while peers report older and newer decisions
// in any order. The latest decision must win. A daemon that returned to an older one would start tasks on
// workers that are being drained, or leave a reinstated domain idle.
func TestLatestRetirementWins(t *testing.T) {
	decisions := []Retirement{{"a", 10, true}, {"a", 20, false}, {"a", 30, true}}
	orders := [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
	for _, order := range orders {
		var r Retirements
		last := int64(0)
		for _, i := range order {
			assert.Equal(t, r.Apply(decisions[i]), decisions[i].Revision > last)
			last = max(last, decisions[i].Revision)
			assert.Equal(t, r.Retired("a"), last != 20)
		}
		assert.Assert(t, !r.Apply(decisions[2]), "the same decision again changes nothing")
		assert.Assert(t, !r.Retired("b"))
	}
}

// The store has dropped its history, so a daemon reads all entries. A domain that is not among them has
// been reinstated meanwhile. A read that was made before a later decision reported by a peer is outdated.
func TestSnapshotWithoutRetirementEndsIt(t *testing.T) {
	var r Retirements
	r.Apply(Retirement{"a", 10, true})
	r.Apply(Retirement{"b", 50, true})
	changed := r.ApplySnapshot([]Retirement{{"c", 35, true}}, 40)
	assert.DeepEqual(t, changed, []Retirement{{"c", 35, true}, {"a", 40, false}})
	assert.Assert(t, !r.Retired("a"))
	assert.Assert(t, r.Retired("b"), "retired after the read")
	assert.Assert(t, r.Retired("c"))
	assert.Assert(t, !r.Apply(Retirement{"a", 10, true}), "a peer that has not read the reinstatement yet")
	assert.Assert(t, !r.Retired("a"))
	assert.Equal(t, len(r.ApplySnapshot([]Retirement{{"b", 50, true}, {"c", 35, true}}, 60)), 0)
}
