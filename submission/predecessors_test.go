package submission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a sealed table that creates a record for an unused identifier, or that no
// longer answers for used ones.
func TestSealedTableCreatesNoRecord(t *testing.T) {
	m := NewMinter(testOwner)
	table := NewTable(TableConfig{Window: time.Minute, Retention: time.Minute, MaxBytes: 1 << 20})
	used, unused := m.Mint("a", 0), m.Mint("a", 0)
	_, first, failure := table.Begin(used, "a", Digest{}, 0)
	assert.Assert(t, failure == nil && first)
	table.Seal()
	_, first, failure = table.Begin(used, "a", Digest{}, 0)
	assert.Assert(t, failure == nil && !first)
	_, _, failure = table.Begin(unused, "a", Digest{}, 0)
	assert.Equal(t, failure.Error(), FailureNeverStarted().Error())
	assert.Equal(t, table.Running(), 1)
}

// Guards against NeverStarted after the window of an identifier, when the record may have
// been dropped, and before all records have been taken over.
func TestNeverStartedOnlyWithinWindow(t *testing.T) {
	m := NewMinter(testOwner)
	p := NewPredecessors()
	id := m.Mint("a", 90*time.Second)
	s := Predecessor{Process: id.Process(), Clock: 100 * time.Second, Window: time.Minute, KeepFor: time.Hour}
	now := 5 * time.Second
	p.Add(s, false, now)
	assert.Assert(t, !p.NeverStarted(id, now), "NeverStarted before all records were taken over")
	p.Add(s, true, now+time.Second) // the last part took 1 s to arrive
	assert.Assert(t, p.Complete(id.Process()))
	assert.Assert(t, p.NeverStarted(id, now+49*time.Second))
	assert.Assert(t, !p.NeverStarted(id, now+50*time.Second))
	assert.Equal(t, p.All(now + time.Second)[0].Clock, 101*time.Second)
	p.Add(Predecessor{}, true, now+2*time.Hour)
	assert.Assert(t, !p.Complete(id.Process()))
}
