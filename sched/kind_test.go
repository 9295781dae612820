package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/sched"
)

// Guards against exceeding the limit of a kind while slots are free, against holding back
// another kind, and against ignoring a raised limit.
func TestKindLimit(t *testing.T) {
	s := sched.New(sched.DefaultConfig())
	s.SetWorkers(0, []sched.Worker{{Address: "10.0.0.1:80", Slots: 8}})
	s.SetKindLimits(0, map[string]int{"quote": 2})
	assert.Assert(t, s.Submit(0, sched.Job{Key: 1, Kind: "quote", Tasks: 4, Deadline: time.Second}) == nil)
	assert.Assert(t, s.Submit(0, sched.Job{Key: 2, Kind: "booking", Tasks: 3, Deadline: time.Second}) == nil)

	started := make(map[sched.JobKey]int)
	first := s.Ready().Starts
	for _, st := range first {
		started[st.Job]++
	}
	assert.DeepEqual(t, started, map[sched.JobKey]int{1: 2, 2: 3})

	s.HandleOutcome(10*time.Millisecond, first[0], sched.Outcome{})
	assert.Equal(t, len(s.Ready().Starts), 1)

	s.SetKindLimits(20*time.Millisecond, nil)
	assert.Equal(t, len(s.Ready().Starts), 1)
}
