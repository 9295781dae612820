package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
)

// setExecutorIn reports an executor with a worker in a failure domain, with free capacity for n tasks.
func (r *rig) setExecutorIn(p member.Process, distance int, domain string, n int64) {
	w := workerWith("worker-"+domain, n)
	w.Domain = domain
	r.c.UpdateExecutor(ExecutorState{Process: p, Distance: distance, Workers: []executor.WorkerCapacity{w}})
}

// The operator retires a failure domain. Until its executors report that with their next heartbeats, a
// coordinator that knows it must offer them nothing, and count only the remaining capacity.
func TestNothingIsOfferedToARetiredDomain(t *testing.T) {
	r := newRig(t)
	r.setExecutorIn(peerB, 1, "a", 4)
	r.setExecutorIn(peerC, 2, "b", 2)
	r.c.SetRetiredDomains(map[string]bool{"a": true})
	r.c.Submit(r.now, testJob("j", 2))
	assert.Equal(t, len(r.offers(peerB)), 0)
	assert.Equal(t, len(r.offers(peerC)), 2)
	r.setExecutorIn(peerB, 1, "a", 4) // a heartbeat from before peerB knew of the retirement
	r.c.Submit(r.now, testJob("k", 1))
	assert.Equal(t, len(r.offers(peerB)), 0)

	r.c.SetRetiredDomains(nil)
	r.setExecutorIn(peerB, 1, "a", 4)
	r.c.Submit(r.now, testJob("l", 1))
	assert.Equal(t, len(r.offers(peerB)), 1)
}

// All failure domains are retired. Callers must be refused at once, with a time to retry, and must not
// wait for workers that will not come.
func TestAllDomainsRetired(t *testing.T) {
	r := newRig(t)
	r.setExecutorIn(peerB, 1, "a", 4)
	r.setExecutorIn(peerC, 2, "b", 4)
	r.c.SetRetiredDomains(map[string]bool{"a": true, "b": true})
	r.c.Submit(r.now, testJob("j", 1))
	a := r.answered()
	assert.Equal(t, a.Status, Refused)
	assert.Equal(t, a.Reason, ReasonDomainsRetired)
	assert.Equal(t, a.RetryAfter, 5*time.Second)
}

// After a start only the workers of a retired domain are known yet. Jobs must wait for reports of the
// other workers, as they do without a retirement.
func TestRetiredDomainIsKnownFirst(t *testing.T) {
	r := newRig(t)
	r.c.ExpectWorkers(2)
	r.c.SetRetiredDomains(map[string]bool{"a": true})
	r.setExecutorIn(peerB, 1, "a", 4)
	r.c.Submit(r.now, testJob("j", 1))
	r.setExecutorIn(peerC, 2, "b", 4)
	r.c.Tick(r.now)
	assert.Equal(t, len(r.offers(peerC)), 1)
}
