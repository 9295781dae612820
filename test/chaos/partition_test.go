// Tests of partitions between entries.

package chaos

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// cutLengthEnv is the environment variable with the duration of the cut in the partition test.
const cutLengthEnv = "LAVENDERCLEAT_CUT"

// cutLength returns the duration of the cut in the partition test; the default is 10 s.
func cutLength(t *testing.T) time.Duration {
	s := os.Getenv(cutLengthEnv)
	if s == "" {
		return 10 * time.Second
	}
	d, err := time.ParseDuration(s)
	assert.NilError(t, err)
	return d
}

// maxPendingDelay is the maximum time until a pending reply, on a busy machine.
const maxPendingDelay = time.Second

// detectionLimit is the time within which an entry must detect that a peer is unreachable.
const detectionLimit = 5 * time.Second

// reserve reserves one identifier at an entry.
func reserve(t *testing.T, e *cluster.Entry) string {
	t.Helper()
	ids, err := e.Client(cluster.Token).Reserve(t.Context(), 1)
	assert.NilError(t, err)
	return ids[0]
}

// jobWithRunTime returns a booking of one task that runs for the given duration.
func jobWithRunTime(mark string, run time.Duration) schema.Job {
	j := cluster.Job(cluster.Booking, mark, 1)
	j.Tasks[0].Payload = []byte(fmt.Sprintf(`{"run_ms":%d,"mark":%q}`, run.Milliseconds(), mark))
	return j
}

// checkPending sends 20 requests for a submission at the same time. Each must get a pending reply at once,
// with the reason owner_unreachable and the time to retry.
func checkPending(t *testing.T, e *cluster.Entry, id string, j schema.Job) {
	t.Helper()
	const requests = 20
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			begin := time.Now()
			c := e.Client(cluster.Token)
			send := func(ctx context.Context) (client.Reply, error) { return c.Get(ctx, id) }
			if n%2 == 0 {
				send = func(ctx context.Context) (client.Reply, error) { return c.Put(ctx, id, j) }
			}
			r, err := send(t.Context())
			if !assert.Check(t, err) {
				return
			}
			took := time.Since(begin)
			assert.Check(t, r.Status == http.StatusServiceUnavailable && r.Outcome == client.Pending, "%d %s", r.Status, r.Outcome)
			assert.Check(t, r.Reason == "owner_unreachable" && r.RetryAfter > 0, "%s", r.Reason)
			assert.Check(t, took < maxPendingDelay, "the reply took %s, expected less than %s", took, maxPendingDelay)
		})
	}
	wg.Wait()
}

// Guards against an outage and repeated starts in a partition. A failure domain is cut off from the other one
// and from the platform, and one of its entries is killed and restarted meanwhile. Callers on both sides must
// be served throughout. A caller outside that requests a booking that runs inside gets a pending reply at once,
// and after healing it must receive the booking's one final answer.
func TestPartitionedDomainServesItsCallers(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 2, Workers: 2, OneProcess: true, Seeds: true})
	inside, outside := c.Domain(0), c.Domain(1)
	recorder := cluster.NewCallRecorder()
	insideBalancer := cluster.NewBalancer(inside)
	insideCallers := startCallers(t, recorder, insideBalancer, "inside", 4)
	outsideCallers := startCallers(t, recorder, cluster.NewBalancer(outside), "outside", 4)

	id, j := reserve(t, inside[0]), jobWithRunTime("held", 3*time.Second)
	recorder.RecordRequest(id, j)
	first := make(chan client.Reply, 1)
	begin := time.Now()
	go func() {
		r, err := recorder.Put(t.Context(), outside[0].Client(cluster.Token), id, j)
		assert.Check(t, err)
		first <- r
	}()
	cluster.Eventually(t, 5*time.Second, "the booking runs", func() bool { return c.RunRecord().Tasks[id+"/0"] == 1 })
	c.Partition(inside)
	r := <-first
	t.Logf("the outside caller of the booking received %q after %s", r.Reason, time.Since(begin).Round(100*time.Millisecond))
	assert.Check(t, r.Outcome == client.Pending, r.Outcome)
	assert.Check(t, time.Since(begin) < detectionLimit, "the reply took %s, expected less than %s", time.Since(begin), detectionLimit)
	checkPending(t, outside[0], id, j)
	checkPending(t, outside[1], id, j)

	insideBalancer.Remove(inside[1])
	inside[1].Kill()
	c.StartEntry(inside[1])
	waitReady(t, inside[1])
	insideBalancer.Add(inside[1])
	waitSlots(t, c.Entries, 16)
	before := insideCallers.counts()
	time.Sleep(cutLength(t) - min(cutLength(t), time.Since(begin))) // The fault: a cut of this duration.
	during := insideCallers.counts()
	assert.Check(t, during[client.Complete] > before[client.Complete], "no more complete answers inside: %v before, %v after", before, during)
	checkPending(t, outside[1], id, j)
	c.HealPartition(inside)

	healed := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), finalAnswerTimeout)
	defer cancel()
	r, err := recorder.PutUntilFinal(ctx, cluster.NewBalancer(outside).Pick, id, j)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, client.Complete)
	t.Logf("the outside caller received the answer %s after healing", time.Since(healed).Round(100*time.Millisecond))
	insideCallers.stopAndWait()
	outsideCallers.stopAndWait()
	t.Logf("inside %v, slowest %s; outside %v, slowest %s", insideCallers.counts(), insideCallers.slowest, outsideCallers.counts(), outsideCallers.slowest)
	checkServed(t, insideCallers, "owner_gone")
	checkServed(t, outsideCallers)
	t.Log(recorder.Check(t, c.RunRecord()))
}

// checkServed checks that all answers were complete, apart from failures with the allowed reasons.
func checkServed(t *testing.T, c *callers, allowed ...string) {
	t.Helper()
	counts := c.counts()
	assert.Check(t, counts[client.Complete] > 0)
	delete(counts, client.Complete)
	for _, reason := range allowed {
		delete(counts, reason)
	}
	assert.Check(t, len(counts) == 0, "failures by reason: %v", counts)
}

// Guards against an unclear answer when two entries do not reach each other while both reach a third. A caller
// at the entry that does not reach the owner must get a pending reply at once, and must receive its answer
// through the third entry during the cut.
func TestCutBetweenTwoEntries(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Domains: 3, Entries: 1, Workers: 1})
	a, b, third := c.Entries[0], c.Entries[1], c.Entries[2]
	a.Proxy.Block(b.IP)
	b.Proxy.Block(a.IP)
	recorder := cluster.NewCallRecorder()
	id, j := reserve(t, b), jobWithRunTime("pair", 100*time.Millisecond)
	cluster.Eventually(t, detectionLimit, "the entry reports the owner as unreachable", func() bool {
		r, err := a.Client(cluster.Token).Get(t.Context(), id)
		return err == nil && r.Status == http.StatusServiceUnavailable
	})
	checkPending(t, a, id, j)
	r, err := recorder.Put(t.Context(), third.Client(cluster.Token), id, j)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, client.Complete, r.Message)
	c.HealPeers()
	r, err = recorder.PutUntilFinal(t.Context(), cluster.NewBalancer(c.Entries).Pick, id, j)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, client.Complete)
	recorder.Check(t, c.RunRecord())
}

// Guards against a wrong verdict not-run when an entry's replies to another entry are lost. Requests still
// pass, so the booking starts at the owner, and the other entry cannot know it. Its caller must get a pending
// reply, and must receive the one final answer when replies pass again.
func TestLostRepliesBetweenEntries(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 1, Workers: 1})
	other, owner := c.Entries[0], c.Entries[1]
	recorder := cluster.NewCallRecorder()
	id, j := reserve(t, owner), jobWithRunTime("one way", 50*time.Millisecond)
	// The first request for the identifier opens the connection on which replies are lost later.
	r, err := other.Client(cluster.Token).Get(t.Context(), id)
	assert.NilError(t, err)
	assert.Equal(t, r.Reason, "identifier_unknown")
	owner.Proxy.BlockReplies(other.IP)
	begin := time.Now()
	r, err = recorder.Put(t.Context(), other.Client(cluster.Token), id, j)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, client.Pending, r.Reason)
	assert.Check(t, time.Since(begin) < detectionLimit, "the reply took %s, expected less than %s", time.Since(begin), detectionLimit)
	assert.Equal(t, c.RunRecord().Tasks[id+"/0"], 1)
	checkPending(t, other, id, j)
	c.HealPeers()
	ctx, cancel := context.WithTimeout(t.Context(), finalAnswerTimeout)
	defer cancel()
	r, err = recorder.PutUntilFinal(ctx, cluster.NewBalancer(c.Entries[:1]).Pick, id, j)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, client.Complete)
	recorder.Check(t, c.RunRecord())
}

// Guards against failed jobs when an entry reaches only its callers and workers. It and the other entry of its
// failure domain each assume to be the only one and use all slots. They must retry the tasks that workers
// refuse, and the callers of both must be served.
func TestIsolatedEntryServesItsCallers(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2, OneProcess: true})
	recorder := cluster.NewCallRecorder()
	var all []*callers
	for _, e := range c.Entries {
		all = append(all, startCallers(t, recorder, cluster.NewBalancer([]*cluster.Entry{e}), e.CallerURL, 6))
	}
	c.Partition(c.Entries[:1])
	for _, e := range c.Entries {
		cluster.Eventually(t, detectionLimit, "each entry has all 16 slots", func() bool { return e.Metric(t, "lavendercleat_slots") == 16 })
	}
	time.Sleep(3 * time.Second) // In this time both entries use all slots.
	c.HealPartition(c.Entries[:1])
	c.WaitReady()
	for _, s := range all {
		s.stopAndWait()
		checkServed(t, s)
	}
	t.Log(recorder.Check(t, c.RunRecord()))
}
