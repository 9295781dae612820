package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/ledger"
)

// Jobs arrive and end for hours, and the cache of states grows without bound. A state that was
// reported again must stay for its time from then.
func TestCachedStatesAreBounded(t *testing.T) {
	s := newStates()
	for i := range 3 * maxStates {
		s.put(fmt.Sprint(i), knownState{ledger.Queued, 1, time.Duration(i) * time.Millisecond}, time.Hour)
	}
	assert.Equal(t, len(s.byJob), maxStates)
	assert.Equal(t, s.get("0"), ledger.State(0))

	s = newStates()
	s.put("a", knownState{ledger.Queued, 1, 0}, time.Minute)
	s.put("a", knownState{ledger.Completed, 1, 40 * time.Second}, time.Minute)
	s.put("b", knownState{ledger.Queued, 1, 70 * time.Second}, time.Minute)
	assert.Equal(t, s.get("a"), ledger.Completed)
	s.put("c", knownState{ledger.Queued, 1, 2 * time.Minute}, time.Minute)
	assert.Equal(t, s.get("a"), ledger.State(0))
}

// The owner is lost, and its jobs may have ended without a report. Only the final states must stay
// cached.
func TestOpenStatesOfLostOwnerAreForgotten(t *testing.T) {
	s := newStates()
	s.put("open", knownState{ledger.Running, 1, 0}, time.Minute)
	s.put("ended", knownState{ledger.Completed, 1, 0}, time.Minute)
	s.put("other", knownState{ledger.Running, 2, 0}, time.Minute)
	s.forgetOwner(1)
	assert.Equal(t, s.get("open"), ledger.State(0))
	assert.Equal(t, s.get("ended"), ledger.Completed)
	assert.Equal(t, s.get("other"), ledger.Running)
}

// The owner's report that a job is stored arrives after another daemon's report that it was canceled. The
// final state must stay.
func TestFinalStateIsNotReplacedByAnEarlierOne(t *testing.T) {
	s := newStates()
	s.put("a", knownState{ledger.Canceled, 2, 0}, time.Minute)
	s.put("a", knownState{ledger.Queued, 1, time.Second}, time.Minute)
	assert.Equal(t, s.get("a"), ledger.Canceled)
}
