// The tests of failure domains that the operator retires and reinstates.

package leased

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// retirementTimeout is how long daemons may take to apply the operator's retirement of a failure
// domain. The users' limit is 5 s for it, and 3 s for a configuration.
const retirementTimeout = 2500 * time.Millisecond

// startedSince returns the workers of a failure domain that started a run after since.
func (s *testSystem) startedSince(zone string, since time.Time) (ids []string) {
	for _, w := range s.workers {
		if w.Zone == zone && w.LastStart().After(since) {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// The operator retires a failure domain while the store is unreachable for two daemons. Then one of
// these and one that reads the store are killed and restarted. No daemon may start a task on the
// domain's workers, and the other workers serve the callers. After the operator reinstates the domain
// it serves again, also for the daemons that learn of it only from their peers.
func TestRetiredDomain(t *testing.T) {
	t.Parallel()
	s := startSystemWithProxies(t, 4, 8, shortTasks, true)
	const zone = "a"
	for _, d := range s.daemons[:2] {
		d.storeProxy.Block()
		d.storeProxy.MuteExisting()
	}
	time.Sleep(500 * time.Millisecond)
	retire := func() { s.store.Put("op/evacuate/"+zone, map[string]any{}) }
	out := s.runUnderLoad(9*time.Second, 4, func() {
		retire()
		time.Sleep(retirementTimeout)
		inForce := time.Now()
		for _, d := range []*daemon{s.daemons[0], s.daemons[3]} {
			d.Kill()
			d.startProcess()
		}
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, len(s.startedSince(zone, inForce)), 0)
		s.store.Remove("op/evacuate/" + zone)
		time.Sleep(retirementTimeout)
		assert.Assert(t, len(s.startedSince(zone, time.Now().Add(-time.Second))) > 0, "the reinstated domain started no task in the last second")
	})
	assert.Assert(t, out.completed > 50)
	assert.Equal(t, out.abandoned, 0)
}

// The store has compacted its history when a daemon asks for changes, so the daemon reads a snapshot
// of all entries. It must apply a retirement that is in the snapshot, and end one that is not.
func TestRetiredDomainInSnapshot(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 4, shortTasks)
	s.store.Put("op/evacuate/b", map[string]any{})
	s.store.Compact()
	time.Sleep(retirementTimeout)
	inForce := time.Now()
	s.runUnderLoad(time.Second, 2, func() {})
	assert.Equal(t, len(s.startedSince("b", inForce)), 0)
	assert.Assert(t, len(s.startedSince("a", inForce)) > 0)
	s.store.Remove("op/evacuate/b")
	s.store.Compact()
	time.Sleep(retirementTimeout)
	s.runUnderLoad(time.Second, 4, func() {})
	assert.Assert(t, len(s.startedSince("b", inForce)) > 0)
}

// All failure domains are retired. A daemon refuses a job at once, with a Retry-After, and none of the
// job's tasks runs. When one domain is reinstated, the daemons serve callers again.
func TestAllDomainsRetired(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 4, shortTasks)
	for _, zone := range []string{"a", "b"} {
		s.store.Put("op/evacuate/"+zone, map[string]any{})
	}
	time.Sleep(retirementTimeout)
	began := time.Now()
	status, _ := s.postJob(context.Background(), s.daemons[0], prefix, "nowhere", 1, 4*time.Second)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < 500*time.Millisecond, "the refusal took %s", time.Since(began))
	assert.Equal(t, s.recorder.Starts()["nowhere.0.0.0"], 0)
	s.store.Remove("op/evacuate/b")
	time.Sleep(retirementTimeout)
	status, _ = s.postJob(context.Background(), s.daemons[0], prefix, "again", 1, 4*time.Second)
	assert.Equal(t, status, http.StatusOK)
}
