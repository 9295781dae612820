// The test of store relays: daemons that read the workers' entries from the store for all others.

package leased

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/platform/platformtest"
)

// isStoreRelay reports whether the daemon's latest log line on it says that the daemon reads the
// workers' entries from the store for others.
func (d *daemon) isStoreRelay() bool {
	log := d.Log()
	at := strings.LastIndex(log, "event=reads_entries")
	if at < 0 {
		return false
	}
	line, _, _ := strings.Cut(log[at:], "\n")
	return strings.Contains(line, "for_others=true")
}

// renewEntries writes the entries of all workers that are not draining every 300 ms until the test
// ends, as workers do.
func (s *testSystem) renewEntries(isDraining func(w *platformtest.Worker) bool) {
	done := make(chan struct{})
	s.t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(300 * time.Millisecond):
			}
			for _, w := range s.workers {
				if !isDraining(w) {
					s.store.Put("servers/"+w.ID, w.Entry(false))
				}
			}
		}
	}()
}

// waitForRelays waits until exactly two daemons read the store for the others, and returns them.
func (s *testSystem) waitForRelays() (relays []*daemon) {
	s.t.Helper()
	for until := time.Now().Add(readyTimeout); len(relays) != 2; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			s.t.Fatalf("%d daemons read the store for others, want 2", len(relays))
		}
		relays = nil
		for _, d := range s.daemons {
			if d.isStoreRelay() {
				relays = append(relays, d)
			}
		}
	}
	return relays
}

// In a fleet of fourteen daemons two relays read the workers' entries from the store and tell the
// others which workers drain. Both relays are killed when another worker begins to drain. The other
// daemons read the store themselves until there are two new relays. No daemon may give either worker
// a task soon after it began to drain, because the task would be lost when the worker leaves.
func TestStoreRelaysOfLargeFleet(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 14, 6, shortTasks)
	var draining sync.Map
	s.renewEntries(func(w *platformtest.Worker) bool { _, ok := draining.Load(w); return ok })
	relays := s.waitForRelays()
	time.Sleep(time.Second) // until all daemons use the relays
	before := s.store.CallCount()
	time.Sleep(3 * time.Second)
	calls := s.store.CallCount() - before
	// A daemon that reads the store itself makes 1.7 calls a second for that, beside 1.4 others.
	assert.Assert(t, calls < 3*14*2, "%d calls of the store in 3 s, want fewer than %d", calls, 3*14*2)

	drain := func(w *platformtest.Worker, within time.Duration) {
		draining.Store(w, true)
		time.Sleep(50 * time.Millisecond) // by then the store has the last renewal
		s.store.Put("servers/"+w.ID, w.Entry(true))
		time.Sleep(within)
		// From here on the worker must get no task. A failed task would eject it, which the log shows.
		w.SetBehaviour(platformtest.WorkerBehaviour{FailTasks: true, RunTime: time.Millisecond})
	}
	s.runUnderLoad(7*time.Second, 2, func() {
		drain(s.workers[0], 2*time.Second)
		for _, d := range relays {
			d.Kill()
		}
		drain(s.workers[1], 3*time.Second)
	})
	for _, d := range s.daemons {
		assert.Assert(t, !strings.Contains(d.Log(), "worker_ejected"), "a leaving worker got tasks")
	}
}
