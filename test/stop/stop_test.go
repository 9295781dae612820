// The tests of planned stops of entries.

package stop

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// exitTimeout bounds the wait for the end of a stopping process.
const exitTimeout = 30 * time.Second

// stopDelay lasts for several readiness checks of the balancer.
const stopDelay = "--stop-delay=1s"

// One of three entries is stopped while callers send jobs through a balancer. The entry turns its
// readiness off, serves the requests that the balancer still sends, finishes its jobs, hands its
// answers over and exits. No request may fail, and the other entries must have every answer. Jobs
// under identifiers that were reserved but not used must get the verdict "not run".
func TestPlannedStopUnderLoadFailsNoRequest(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 3, Workers: 4, EntryFlags: []string{stopDelay}})
	stopped, others := c.Entries[0], c.Entries[1:]
	unused, err := stopped.Client(cluster.Token).Reserve(t.Context(), 20)
	assert.NilError(t, err)
	b := newBalancer(t, func() []*cluster.Entry { return c.Entries })
	load := startCallers(t, b, 30)
	load.waitForJobs(t, 300)
	refused := c.RunRecord().Refused
	stopped.Terminate()
	assert.NilError(t, stopped.Wait(exitTimeout))
	load.waitForJobs(t, 300)
	load.finish(t)
	t.Logf("jobs=%d refused_by_workers_around_the_stop=%d", load.count(), c.RunRecord().Refused-refused)

	load.checkAnswers(t, others[0].Client(cluster.Token), others[1].Client(cluster.Token))
	for i, id := range unused {
		r, err := others[i%2].Client(cluster.Token).Put(t.Context(), id, cluster.Job(cluster.Booking, "late", 1))
		assert.NilError(t, err)
		assert.Equal(t, r.Outcome, client.Failed)
		assert.Equal(t, r.Verdict, verdict.NotRun.String())
		assert.Equal(t, r.Reason, string(verdict.Stopping))
		assert.Equal(t, r.Resubmit, "safe")
	}
	t.Log(load.recorder.Check(t, c.RunRecord()))
}

// Each entry in turn is stopped and replaced by a new process at its address while callers send jobs.
// It hands over its own answers and those that it has taken over. The new process at an owner's
// address must not reply that the owner's answers are gone. No request may fail, and the entries must
// return each answer unchanged at the end.
func TestRollingRestartLosesNoAnswer(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 3, Workers: 4, EntryFlags: []string{stopDelay}})
	var mu sync.Mutex
	running := make(map[int]cluster.Entry)
	list := func() []*cluster.Entry {
		mu.Lock()
		defer mu.Unlock()
		var all []*cluster.Entry
		for _, e := range running {
			all = append(all, &e)
		}
		return all
	}
	for i, e := range c.Entries {
		running[i] = *e
	}
	load := startCallers(t, newBalancer(t, list), 20)
	load.waitForJobs(t, 100)
	for i, e := range c.Entries {
		e.Terminate()
		assert.NilError(t, e.Wait(exitTimeout))
		mu.Lock()
		delete(running, i)
		mu.Unlock()
		c.StartEntry(e)
		c.WaitReady()
		mu.Lock()
		running[i] = *e
		mu.Unlock()
		load.waitForJobs(t, 100)
	}
	load.finish(t)
	load.checkAnswers(t, c.Entries[0].Client(cluster.Token), c.Entries[1].Client(cluster.Token), c.Entries[2].Client(cluster.Token))
	t.Log(load.recorder.Check(t, c.RunRecord()))
}

// slowJob returns a job with one task that runs for the given time.
func slowJob(run time.Duration) schema.Job {
	return schema.Job{
		Kind:       cluster.Booking,
		DeadlineMs: 30_000,
		Tasks:      []schema.Task{{Payload: json.RawMessage(fmt.Sprintf(`{"run_ms":%d}`, run.Milliseconds()))}},
	}
}

// inFlight is a PUT request that waits for its reply.
type inFlight struct {
	id    string
	reply client.Reply
	err   error
	done  chan struct{}
}

// putSlow sends a slow job under an identifier of the owner through an entry, and waits until the task
// runs.
func putSlow(t testing.TB, c *cluster.Cluster, owner, through *cluster.Entry, run time.Duration) *inFlight {
	t.Helper()
	ids, err := owner.Client(cluster.Token).Reserve(t.Context(), 1)
	assert.NilError(t, err)
	f := &inFlight{id: ids[0], done: make(chan struct{})}
	go func() {
		defer close(f.done)
		f.reply, f.err = through.Client(cluster.Token).Put(t.Context(), f.id, slowJob(run))
	}()
	cluster.Eventually(t, 10*time.Second, "the task runs", func() bool { return c.RunRecord().Tasks[f.id+"/0"] == 1 })
	return f
}

// The owner of slow jobs is stopped while they run. One caller waits at the owner, another at an entry
// that forwarded its request. Both must get the complete answer: the owner takes no further jobs, but
// exits only after its last replies.
func TestPlannedStopFinishesSlowJobs(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2})
	owner, other := c.Entries[0], c.Entries[1]
	direct := putSlow(t, c, owner, owner, 2*time.Second)
	forwarded := putSlow(t, c, owner, other, 2*time.Second)
	owner.Terminate()
	assert.NilError(t, owner.Wait(exitTimeout))
	for _, f := range []*inFlight{direct, forwarded} {
		<-f.done
		assert.NilError(t, f.err)
		assert.Equal(t, f.reply.Outcome, client.Complete, "%s: %s", f.reply.Reason, f.reply.Message)
		again, err := other.Client(cluster.Token).Get(t.Context(), f.id)
		assert.NilError(t, err)
		assert.DeepEqual(t, again.Answer, f.reply.Answer)
	}
	assert.Equal(t, c.RunRecord().Duplicates, int64(0))
}

// A job runs for longer than the owner may take to stop. The owner abandons it at the stop timeout, and
// both callers must learn before the process exits that the job may have run. Later the successor
// must give the same answer.
func TestStopTimeoutAnswersWaitingCallers(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2, EntryFlags: []string{"--stop-timeout=1s"}})
	owner, other := c.Entries[0], c.Entries[1]
	direct := putSlow(t, c, owner, owner, 25*time.Second)
	forwarded := putSlow(t, c, owner, other, 25*time.Second)
	owner.Terminate()
	assert.NilError(t, owner.Wait(exitTimeout))
	for _, f := range []*inFlight{direct, forwarded} {
		<-f.done
		assert.NilError(t, f.err)
		assert.Equal(t, f.reply.Outcome, client.Failed)
		assert.Equal(t, f.reply.Verdict, verdict.MayHaveRun.String())
		assert.Equal(t, f.reply.Reason, string(verdict.Stopping))
		again, err := other.Client(cluster.Token).Get(t.Context(), f.id)
		assert.NilError(t, err)
		assert.DeepEqual(t, again.Answer, f.reply.Answer)
	}
}

// The last entry is stopped, and there is no successor for its answers. It must serve them until the
// stop times out and log that they are lost.
func TestLastEntryServesAnswersUntilStopTimeout(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1, EntryFlags: []string{"--stop-timeout=3s"}})
	e := c.Entries[0]
	answer, err := e.Client(cluster.Token).Submit(t.Context(), cluster.Job(cluster.Booking, "last", 1))
	assert.NilError(t, err)
	e.Terminate()
	cluster.Eventually(t, 10*time.Second, "the entry has found no successor", func() bool {
		return strings.Contains(e.Log(), "event=no_successor")
	})
	again, err := e.Client(cluster.Token).Get(t.Context(), answer.Id)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Answer, answer.Answer)
	_, err = e.Client(cluster.Token).Reserve(t.Context(), 1)
	assert.ErrorContains(t, err, "this entry is stopping")
	assert.NilError(t, e.Wait(exitTimeout))
	assert.Assert(t, strings.Contains(e.Log(), "event=answers_lost"))
}
