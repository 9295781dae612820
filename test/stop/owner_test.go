// The tests of submissions and slots whose owner is gone.

package stop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/test/cluster"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// getUntilFinal requests a submission from an entry until the reply is final. Every earlier reply must
// be 503 with a time after which to retry.
func getUntilFinal(t *testing.T, e *cluster.Entry, id string) client.Reply {
	t.Helper()
	var r client.Reply
	cluster.Eventually(t, 30*time.Second, "the reply for the submission is final", func() bool {
		var err error
		r, err = e.Client(cluster.Token).Get(t.Context(), id)
		assert.NilError(t, err)
		if !r.Final() {
			assert.Equal(t, r.Status, 503)
			assert.Assert(t, r.RetryAfter > 0)
		}
		return r.Final()
	})
	assert.Equal(t, r.Reason, string(verdict.OwnerGone))
	assert.Equal(t, r.Verdict, verdict.MayHaveRun.String())
	return r
}

// The owner of a running job is killed and not replaced. Another entry must tell callers to retry at
// first, because the owner might only be unreachable and return the real result to another caller. It
// replies that the owner is gone once the owner could no longer return a result by its own clock.
func TestSubmissionOfKilledOwnerBecomesFinal(t *testing.T) {
	t.Parallel() // it mostly waits
	config := cluster.Config()
	config.Limits.MaxDeadlineMs = 2000
	for _, k := range config.GetKinds() {
		k.DeadlineMs = 2000
	}
	c := cluster.Start(t, cluster.Options{
		Domains: 1, Entries: 2, Workers: 1, RunTime: time.Second, Config: config,
		EntryFlags: []string{"--identifier-window=1s", "--answer-retention=1s"},
	})
	owner, other := c.Entries[0], c.Entries[1]
	ids, err := owner.Client(cluster.Token).Reserve(t.Context(), 1)
	assert.NilError(t, err)
	reserved := time.Now()
	go owner.Client(cluster.Token).Put(t.Context(), ids[0], cluster.Job(cluster.Booking, "lost", 1))
	cluster.Eventually(t, 10*time.Second, "the task runs", func() bool { return c.RunRecord().Starts == 1 })
	owner.Kill()
	getUntilFinal(t, other, ids[0])
	passed := time.Since(reserved)
	t.Logf("final after %s; the owner could have returned a result for 4s", passed)
	assert.Assert(t, passed > 4*time.Second)
	assert.Equal(t, c.RunRecord().Starts, int64(1))
}

// The owner is killed and replaced by a new process at its address, which is cut off at once. The
// other entry knows that the process has changed. Its reply must become final a peer timeout later,
// although nothing answers at the owner's address.
func TestSubmissionOfReplacedOwnerBecomesFinal(t *testing.T) {
	t.Parallel() // it mostly waits
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	owner, other := c.Entries[0], c.Entries[1]
	r, err := owner.Client(cluster.Token).Submit(t.Context(), cluster.Job(cluster.Booking, "lost", 1))
	assert.NilError(t, err)
	owner.Kill()
	c.StartEntry(owner)
	c.WaitReady()
	owner.Proxy.Block()
	begin := time.Now()
	getUntilFinal(t, other, r.Id)
	t.Logf("final %s after the new process was cut off", time.Since(begin))
	assert.Equal(t, c.RunRecord().Starts, int64(1))
}

// An entry is killed or frozen. The other entry must take over its slots when no heartbeat has come
// for the peer timeout.
func TestSlotsOfDeadEntryAreTakenOver(t *testing.T) {
	t.Parallel() // it mostly waits
	for name, stop := range map[string]func(*cluster.Entry){
		"killed": func(e *cluster.Entry) { e.Kill() },
		"frozen": func(e *cluster.Entry) { e.Freeze() },
	} {
		t.Run(name, func(t *testing.T) {
			c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2})
			other := c.Entries[1]
			begin := time.Now()
			stop(c.Entries[0])
			cluster.Eventually(t, 10*time.Second, "the dead entry's slots are taken over", func() bool {
				return other.Metric(t, "lavendercleat_members") == 1 && other.Metric(t, "lavendercleat_slots") == 16
			})
			t.Logf("slots of the %s entry taken over after %s", name, time.Since(begin).Round(10*time.Millisecond))
		})
	}
}
