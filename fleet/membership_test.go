package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A worker moves to another cell while tasks run on it. The daemons of the new cell must not take it
// before these tasks have ended. They take a worker that is new in the fleet at once.
func TestCellMembership(t *testing.T) {
	var old, fresh CellMembership
	at := 10 * time.Second
	_, ok := old.Update(at, false)
	assert.Assert(t, !ok)
	ready, ok := old.Update(at+time.Second, true)
	assert.Assert(t, ok)
	assert.Equal(t, ready, at+time.Second+CellHandoverDelay)
	again, _ := old.Update(at+2*time.Second, true)
	assert.Equal(t, again, ready, "a repeated update must not extend the delay")
	ready, ok = fresh.Update(at, true)
	assert.Assert(t, ok)
	assert.Equal(t, ready, at)
	_, ok = old.Update(at+3*time.Second, false)
	assert.Assert(t, !ok, "the worker has returned to its former cell")
}
