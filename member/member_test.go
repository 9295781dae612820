package member

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const worker = "10.0.0.9:80"

func TestLeavingNoticeEnds(t *testing.T) {
	steps := []struct {
		name  string
		lists []map[string]bool
		at    []time.Duration
		has   bool
	}{
		{"the list lags", []map[string]bool{{worker: false}}, []time.Duration{30 * time.Second}, true},
		{"the list confirms", []map[string]bool{{worker: false}, {worker: true}}, []time.Duration{0, time.Second}, true},
		{"the worker is gone", []map[string]bool{{worker: true}, {}}, []time.Duration{0, time.Second}, false},
		{"replaced at the same address", []map[string]bool{{worker: true}, {worker: false}}, []time.Duration{0, time.Second}, false},
		{"never confirmed", []map[string]bool{{worker: false}, {worker: false}}, []time.Duration{0, noticeLifetime + time.Second}, false},
	}
	for _, s := range steps {
		l := NewLeavingWorkers()
		assert.Assert(t, l.Add(0, worker, 0), s.name)
		for i, list := range s.lists {
			l.ApplyVMList(s.at[i], uint64(i+1), list)
			l.ApplyVMList(s.at[i], uint64(i+1), map[string]bool{}) // an old version changes nothing
		}
		assert.Equal(t, l.Has(worker), s.has, s.name)
		assert.Assert(t, !l.Add(time.Second, worker, time.Second), "%s: an old notice changes nothing", s.name)
	}
}

var (
	self  = netip.MustParseAddrPort("10.0.0.1:1")
	other = netip.MustParseAddrPort("10.0.0.2:1")
)

func view() *View {
	return NewView(Config{Self: self, Incarnation: 1, Domain: "a", Timeout: 2 * time.Second})
}

func peerAt(incarnation uint64, clock time.Duration) Peer {
	return Peer{Address: other, Incarnation: incarnation, Domain: "a", Clock: clock, IdentifierLifetime: time.Minute}
}

// The end of an owner is final only in two cases: another process has replaced it for longer than the
// time-out, or its own clock is certainly past the time at which it could still report the end of the job.
func TestLiveness(t *testing.T) {
	v := view()
	owner := Process{Address: other, Incarnation: 7}
	assert.Equal(t, v.Liveness(0, owner, 0), Unknown)
	v.HandleHeartbeat(0, peerAt(7, 10*time.Second))
	assert.Equal(t, v.Liveness(time.Minute, owner, 15*time.Second), Unknown)
	assert.Equal(t, v.Liveness(75*time.Second, owner, 15*time.Second), Expired)
	v.HandleHeartbeat(2*time.Second, peerAt(8, 0))
	assert.Equal(t, v.Liveness(3*time.Second, owner, 15*time.Second), Unknown)
	assert.Equal(t, v.Liveness(5*time.Second, owner, 15*time.Second), Replaced)
	v.HandleHeartbeat(5*time.Second, peerAt(7, 15*time.Second)) // a late heartbeat made it look replaced
	assert.Equal(t, v.Liveness(9*time.Second, owner, 15*time.Second), Unknown)
}

// After a pause of this entry, its peers' heartbeats are missing only for the time in which it ran.
func TestOwnPauseDoesNotExpirePeers(t *testing.T) {
	v := view()
	v.HandleHeartbeat(0, peerAt(7, 0))
	v.HandlePause(31*time.Second, 30*time.Second)
	assert.Assert(t, !v.AllHeardSince(31*time.Second))
	assert.Assert(t, !v.Tick(31*time.Second))
	assert.Assert(t, v.Tick(33*time.Second))
	v.HandleHeartbeat(40*time.Second, peerAt(7, 0))
	v.HandlePause(41*time.Second, 30*time.Second) // its heartbeat arrived after the pause
	assert.Assert(t, v.AllHeardSince(40*time.Second))
	assert.Assert(t, v.Tick(44*time.Second))
}

// The record of a successor must expire, and a repeated report must not extend it.
func TestSuccessorExpires(t *testing.T) {
	v := view()
	stopped, next, last := Process{other, 7}, Process{self, 1}, Process{other, 9}
	v.SetSuccessor(0, stopped, next, time.Minute)
	v.SetSuccessor(0, next, last, time.Minute)
	v.SetSuccessor(30*time.Second, stopped, next, time.Minute)
	assert.Equal(t, v.Successor(stopped), last)
	v.Tick(time.Minute)
	assert.Equal(t, v.Successor(stopped), stopped)
}
