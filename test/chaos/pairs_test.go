// Tests of two failures at the same time.

package chaos

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	standinplatform "github.com/lavendercleat/lavendercleat/internal/standin/platform"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// loadedCluster is a cluster with callers that send jobs, and the record of the replies to them.
type loadedCluster struct {
	*cluster.Cluster
	t        *testing.T
	recorder *cluster.CallRecorder
	balancer *cluster.Balancer
	callers  *callers
}

// startLoaded starts a cluster, and callers that use the entries of a failure domain, or all entries for -1.
func startLoaded(t *testing.T, o cluster.Options, domain int) *loadedCluster {
	t.Helper()
	s := &loadedCluster{Cluster: cluster.Start(t, o), t: t, recorder: cluster.NewCallRecorder()}
	entries := s.Entries
	if domain >= 0 {
		entries = s.Domain(domain)
	}
	s.balancer = cluster.NewBalancer(entries)
	s.callers = startCallers(t, s.recorder, s.balancer, "load", 4)
	return s
}

// finish stops the callers. It checks that all answers were complete, apart from failures with the allowed
// reasons, and that no guarantee to callers was violated.
func (s *loadedCluster) finish(allowed ...string) {
	s.t.Helper()
	s.callers.stopAndWait()
	checkServed(s.t, s.callers, allowed...)
	s.t.Logf("%v, slowest %s", s.callers.counts(), s.callers.slowest)
	s.t.Log(s.recorder.Check(s.t, s.RunRecord()))
}

// waitServed waits until the callers have received this many more complete answers.
func (s *loadedCluster) waitServed(more int) {
	s.t.Helper()
	before := s.callers.counts()[client.Complete]
	cluster.Eventually(s.t, 15*time.Second, "the callers receive more complete answers", func() bool {
		return s.callers.counts()[client.Complete] >= before+more
	})
}

// replaceEntry kills an entry, waits until the other entries of its failure domain have taken over its slots,
// and starts a new process for it.
func (s *loadedCluster) replaceEntry(e *cluster.Entry) {
	s.t.Helper()
	e.Kill()
	killed := time.Now()
	s.balancer.Remove(e)
	waitSlots(s.t, s.EntriesExcept([]*cluster.Entry{e}), 16)
	s.t.Logf("the other entries took over the slots of the killed entry after %s", time.Since(killed).Round(100*time.Millisecond))
	s.StartEntry(e)
	waitReady(s.t, e)
	s.balancer.Add(e)
}

// Guards against an outage when the platform hangs and an entry is killed under load. Callers of the entry's
// submissions receive the reason owner_gone. The new process must get its state from a peer and serve, and
// all other jobs must be served throughout.
func TestEntryReplacedWhilePlatformHangs(t *testing.T) {
	t.Parallel()
	s := startLoaded(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2, OneProcess: true, Seeds: true}, -1)
	s.Platform.Freeze()
	s.waitServed(50)
	s.replaceEntry(s.Entries[0])
	waitSlots(t, s.Entries, 16)
	s.waitServed(50)
	s.Platform.Thaw()
	s.finish("owner_gone")
}

// Guards against jobs that fail when an entry stops gracefully in a failure domain that is cut off. The entry
// must finish its requests and end by itself, and every caller in the domain must receive a complete answer.
func TestPlannedStopInPartitionedDomain(t *testing.T) {
	t.Parallel()
	s := startLoaded(t, cluster.Options{Domains: 2, Entries: 2, Workers: 2, OneProcess: true, Seeds: true}, 0)
	s.Partition(s.Domain(0))
	time.Sleep(detectionLimit) // Both sides find out in this time that the other is unreachable.
	e := s.Entries[0]
	e.Terminate()
	s.balancer.Remove(e)
	assert.NilError(t, e.Wait(30*time.Second))
	waitSlots(t, s.Entries[1:2], 16)
	s.waitServed(50)
	s.HealPartition(s.Domain(0))
	s.finish()
}

// Guards against tasks for a backend server that leaves while no entry reaches the platform and the list of
// VMs still contains the server. The entries learn of it only by the server's own reply, which they pass on
// to each other. After 3 s the server must receive no new tasks.
func TestWorkerLeavesWhilePlatformUnreachable(t *testing.T) {
	t.Parallel()
	s := startLoaded(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2}, -1)
	for _, e := range s.Entries {
		e.Platform.Blackhole()
	}
	w := s.Workers[0]
	s.SetWorkerBehaviour(w, standinbackend.Behaviour{Mode: standinbackend.Leaving})
	time.Sleep(3 * time.Second) // The guarantee: a few seconds.
	before := s.RunRecordOf(w)
	s.waitServed(50)
	after := s.RunRecordOf(w)
	assert.Equal(t, after.Starts, before.Starts)
	assert.Equal(t, after.Refused, before.Refused)
	t.Logf("the leaving server refused %d tasks in total", after.Refused)
	for _, e := range s.Entries {
		e.Platform.RemoveToxics()
	}
	s.finish()
}

// Guards against a second start when the owner of a running booking is frozen and the backend server's reply
// is lost. A caller at another entry gets a pending reply. After the owner resumes, the caller must receive the
// one final answer, with the verdict may-have-run, and the booking must not start again.
func TestOwnerFrozenAndReplyLost(t *testing.T) {
	t.Parallel()
	s := startLoaded(t, cluster.Options{Domains: 2, Entries: 1, Workers: 1}, 1)
	owner, other := s.Entries[0], s.Entries[1]
	s.SetWorkerBehaviour(s.Workers[0], standinbackend.Behaviour{Mode: standinbackend.DropReply})
	id, j := reserve(t, owner), jobWithRunTime("frozen", 500*time.Millisecond)
	first := make(chan client.Reply, 1)
	go func() {
		r, err := s.recorder.Put(t.Context(), other.Client(cluster.Token), id, j)
		assert.Check(t, err)
		first <- r
	}()
	cluster.Eventually(t, 5*time.Second, "the booking runs", func() bool { return s.RunRecord().Tasks[id+"/0"] == 1 })
	owner.Freeze()
	r := <-first
	assert.Check(t, r.Status == http.StatusServiceUnavailable && r.Outcome == client.Pending, "%d %s", r.Status, r.Outcome)
	owner.Thaw()
	ctx, cancel := context.WithTimeout(t.Context(), finalAnswerTimeout)
	defer cancel()
	r, err := s.recorder.PutUntilFinal(ctx, cluster.NewBalancer(s.Entries).Pick, id, j)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, client.Failed)
	assert.Equal(t, r.Verdict, "may-have-run")
	assert.Equal(t, r.Reason, "connection_lost")
	s.finish("connection_lost") // A job of the load may run on a slot of the same server that the owner lent.
}

// Guards against a configuration that does not spread over silent connections. All connections between entries
// go silent for good while new ones work, and the platform fails after only one entry has received a new
// configuration. The entries must make new connections, the configuration must be in force on all of them
// within seconds, and callers must be served throughout.
func TestNewConfigurationOverSilentPeerConnections(t *testing.T) {
	t.Parallel()
	s := startLoaded(t, cluster.Options{Domains: 2, Entries: 2, Workers: 1}, -1)
	for _, e := range s.Entries {
		e.Proxy.MuteExisting()
		if e != s.Entries[0] {
			e.Platform.Blackhole()
		}
	}
	doc := cluster.Config()
	doc.Revision = 2
	s.UpdateConfig(1, doc)
	begin := time.Now()
	for n, e := range s.Entries {
		cluster.Eventually(t, 10*time.Second, "revision 2 is in force", func() bool {
			return e.Metric(t, "lavendercleat_config_revision") == 2
		})
		if n == 0 {
			s.PlatformFaults(standinplatform.Faults{FailCalls: true})
		}
	}
	s.waitServed(50)
	t.Logf("in force on all entries after %s", time.Since(begin).Round(100*time.Millisecond))
	s.PlatformFaults(standinplatform.Faults{})
	for _, e := range s.Entries[1:] {
		e.Platform.RemoveToxics()
	}
	s.finish()
}

// Guards against a start after a cancellation when the owner has stopped. A caller cancels a submission before
// its PUT arrives, and the owner stops gracefully. The late PUT arrives through another entry. It must receive
// the same answer as the cancellation, and start nothing.
func TestLatePutAfterCancelAndOwnerStop(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	owner, other := c.Entries[0], c.Entries[1]
	recorder := cluster.NewCallRecorder()
	id, j := reserve(t, owner), jobWithRunTime("late", 10*time.Millisecond)
	recorder.RecordRequest(id, j)
	r, err := other.Client(cluster.Token).Delete(t.Context(), id)
	assert.NilError(t, err)
	assert.Equal(t, r.Reason, "canceled")
	recorder.RecordReply(id, r)
	owner.Terminate()
	assert.NilError(t, owner.Wait(30*time.Second))
	ctx, cancel := context.WithTimeout(t.Context(), finalAnswerTimeout)
	defer cancel()
	r, err = recorder.PutUntilFinal(ctx, cluster.NewBalancer(c.Entries[1:]).Pick, id, j)
	assert.NilError(t, err)
	assert.Equal(t, r.Reason, "canceled")
	recorder.Check(t, c.RunRecord())
}

// Guards against a wrong verdict not-run for an answer that is handed over. A booking runs, and the connection
// on which another entry waits for it goes silent. The owner stops gracefully and hands its answers to that
// same entry. When the entry gives up the silent connection, its caller must receive the booking's answer.
// With the verdict not-run, as for an identifier without an answer, the caller would book again.
func TestStoppedOwnerHandsAnswerToWaitingEntry(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	owner, other := c.Entries[0], c.Entries[1]
	recorder := cluster.NewCallRecorder()
	id, j := reserve(t, owner), jobWithRunTime("handed over", 500*time.Millisecond)
	first := make(chan client.Reply, 1)
	go func() {
		r, err := recorder.Put(t.Context(), other.Client(cluster.Token), id, j)
		assert.Check(t, err)
		first <- r
	}()
	cluster.Eventually(t, 5*time.Second, "the booking runs", func() bool { return c.RunRecord().Tasks[id+"/0"] == 1 })
	owner.Proxy.MuteExisting()
	owner.Terminate()
	r := <-first
	assert.Check(t, r.Verdict != "not-run", "%s %s", r.Outcome, r.Reason)
	ctx, cancel := context.WithTimeout(t.Context(), finalAnswerTimeout)
	defer cancel()
	r, err := recorder.PutUntilFinal(ctx, cluster.NewBalancer(c.Entries[1:]).Pick, id, j)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, client.Complete)
	recorder.Check(t, c.RunRecord())
}

// Guards against callers that retry forever after an answer is lost. An entry stops gracefully, and the entry
// that took over its answers is killed and restarted, so no entry has them. A caller at a third entry must
// receive that as its one final answer.
func TestAnswerLostWithSuccessor(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 2, Workers: 1, OneProcess: true})
	owner, successor, third := c.Entries[0], c.Entries[1], c.Entries[2]
	recorder := cluster.NewCallRecorder()
	id, j := reserve(t, owner), jobWithRunTime("held", 10*time.Millisecond)
	r, err := recorder.Put(t.Context(), owner.Client(cluster.Token), id, j)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, client.Complete)
	owner.Terminate()
	assert.NilError(t, owner.Wait(30*time.Second))
	cluster.Eventually(t, detectionLimit, "the successor returns the answer", func() bool {
		r, err := third.Client(cluster.Token).Get(t.Context(), id)
		return err == nil && r.Outcome == client.Complete
	})
	successor.Kill()
	c.StartEntry(successor)
	ctx, cancel := context.WithTimeout(t.Context(), finalAnswerTimeout/2)
	defer cancel()
	begin := time.Now()
	r, err = recorder.PutUntilFinal(ctx, cluster.NewBalancer([]*cluster.Entry{third}).Pick, id, j)
	assert.NilError(t, err, "reason of the last reply: %s", r.Reason)
	assert.Equal(t, r.Reason, "owner_gone")
	t.Logf("the caller received owner_gone after %s", time.Since(begin).Round(100*time.Millisecond))
	recorder.Check(t, c.RunRecord())
}
