// Tests of owners of submissions that are killed, frozen or unreachable.

package failure

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// freezeDuration is the duration for which an owner is frozen. The default keeps CI short.
var freezeDuration = flag.Duration("freeze", 5*time.Second, "time for which an owner is frozen")

// maxUnreachableDelay is the maximum time until the reply that the owner is unreachable.
const maxUnreachableDelay = 6 * time.Second

// jobWithRunTime returns a job whose tasks each run for the given duration.
func jobWithRunTime(kind, mark string, tasks int, run time.Duration) schema.Job {
	j := cluster.Job(kind, mark, tasks)
	for i := range j.Tasks {
		j.Tasks[i].Payload = json.RawMessage(fmt.Sprintf(`{"mark":%q,"task":%d,"run_ms":%d}`, mark, i, run.Milliseconds()))
	}
	return j
}

// checkUnreachable checks the reply that the owner is unreachable: it is not final, says when to
// retry, and arrives in time.
func checkUnreachable(t *testing.T, r client.Reply, took time.Duration) {
	t.Helper()
	assert.Check(t, r.Status == http.StatusServiceUnavailable, "%+v", r)
	assert.Check(t, r.Outcome == client.Pending, "%+v", r)
	assert.Check(t, r.RetryAfter > 0)
	assert.Check(t, took < maxUnreachableDelay, "the reply took %s, expected less than %s", took, maxUnreachableDelay)
}

// Guards against a second start after the owner of two running jobs is killed. Callers wait at another
// entry, which tells them to retry while it is uncertain whether the owner has ended. After a new
// process has started at the owner's address, the callers receive the verdict may-have-run, and for the
// booking that a new submission is unsafe. Repeated requests at any entry start no task again.
func TestOwnerKilledAndRestarted(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 3, Workers: 2})
	owner, other := c.Entries[0], c.Entries[1]
	recorder := cluster.NewCallRecorder()
	jobs := map[string]schema.Job{}
	for kind, mark := range map[string]string{cluster.Booking: "unsafe", cluster.Quote: "safe"} {
		jobs[reserve(t, owner.Client(cluster.Token))] = jobWithRunTime(kind, mark, 2, 2*time.Second)
	}
	var wg sync.WaitGroup
	var killed time.Time
	for id, job := range jobs {
		wg.Go(func() {
			r, err := recorder.Put(t.Context(), other.Client(cluster.Token), id, job)
			assert.Check(t, err)
			checkUnreachable(t, r, time.Since(killed))
		})
	}
	cluster.Eventually(t, 10*time.Second, "all 4 tasks of both jobs run", func() bool { return c.RunRecord().Starts == 4 })
	killed = time.Now()
	owner.Kill()
	wg.Wait()
	c.StartEntry(owner)
	for id, job := range jobs {
		want := map[string]string{cluster.Booking: "unsafe", cluster.Quote: "safe"}[job.Kind]
		r, err := recorder.PutUntilFinal(t.Context(), roundRobin(c, 1), id, job)
		assert.NilError(t, err)
		assert.Equal(t, r.Reason, "owner_gone")
		assert.Equal(t, r.Verdict, "may-have-run")
		assert.Equal(t, r.Resubmit, want)
		for _, e := range c.Entries {
			r, err := recorder.PutUntilFinal(t.Context(), func() *client.Client { return e.Client(cluster.Token) }, id, job)
			assert.NilError(t, err)
			assert.Equal(t, r.Outcome, client.Failed)
		}
	}
	report := recorder.Check(t, c.RunRecord())
	assert.Equal(t, report.Starts, int64(4))
	t.Log(report)
}

// Guards against starts after the deadline by an owner that was frozen. At the freeze one booking runs
// and one waits for a slot; the request for a third arrives during the freeze and stays unread in the
// owner's sockets. Callers at the other entry receive the reason owner_unreachable within seconds. When
// the owner resumes, it must not start the two bookings whose deadlines have passed, and each booking has
// one final answer.
func TestOwnerFrozenPastDeadlines(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1, Slots: 2})
	owner, other := c.Entries[0], c.Entries[1]
	recorder := cluster.NewCallRecorder()
	direct := owner.Client(cluster.Token)
	ids, err := direct.Reserve(t.Context(), 3)
	assert.NilError(t, err)
	running := jobWithRunTime(cluster.Booking, "running", 2, 1500*time.Millisecond)
	waiting := cluster.Job(cluster.Booking, "waiting", 1)
	unread := cluster.Job(cluster.Booking, "unread", 1)
	waiting.DeadlineMs, unread.DeadlineMs = 3000, 2000
	var wg sync.WaitGroup
	send := func(id string, j schema.Job) {
		recorder.RecordRequest(id, j)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), *freezeDuration/2)
			defer cancel()
			_, _ = recorder.Put(ctx, direct, id, j) // The caller gives up at half of the freeze.
		})
	}
	send(ids[0], running)
	cluster.Eventually(t, 10*time.Second, "both tasks of the first booking run", func() bool { return c.RunRecord().Starts == 2 })
	send(ids[1], waiting)
	cluster.Eventually(t, 10*time.Second, "the second booking waits for a slot", func() bool {
		return owner.Metric(t, "lavendercleat_waiting_tasks") == 1
	})
	frozen := time.Now()
	owner.Freeze()
	send(ids[2], unread)
	putToFrozenOwner(t, recorder, other, ids[0], running)
	wg.Wait()
	time.Sleep(time.Until(frozen.Add(*freezeDuration))) // The fault: the owner stays frozen for this time.
	owner.Thaw()
	askOther := func(i int, job schema.Job) {
		r, err := recorder.PutUntilFinal(t.Context(), func() *client.Client { return other.Client(cluster.Token) }, ids[i], job)
		assert.NilError(t, err)
		t.Logf("job %d: %s %s %s", i, r.Outcome, r.Verdict, r.Reason)
	}
	askOther(0, running)
	askOther(1, waiting)
	wasRead := hasEnded(t, recorder, direct, ids[2])
	waitIdle(t, c)
	assert.Equal(t, c.RunRecord().Tasks[ids[2]+"/0"], 0, "the booking whose request was unread until after its deadline started")
	askOther(2, unread)
	waitIdle(t, c)
	w := c.RunRecord()
	report := recorder.Check(t, w)
	t.Log(report)
	assert.Equal(t, w.Tasks[ids[1]+"/0"], 0, "the waiting booking started after its deadline")
	if wasRead {
		assert.Equal(t, w.Tasks[ids[2]+"/0"], 0, "the booking whose request was unread until after its deadline started")
	}
}

// hasEnded reports whether a submission has ended at its owner, which has just resumed, within the time in
// which the owner reads the requests that waited. If the owner had accepted the connection of such a request
// before it was frozen, the connection has timed out and the owner never reads the request. The next PUT is
// then the first of its submission, and its deadline counts from then.
func hasEnded(t *testing.T, recorder *cluster.CallRecorder, owner *client.Client, id string) bool {
	t.Helper()
	const readTimeout = 3 * time.Second
	for until := time.Now().Add(readTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		r, err := owner.Get(t.Context(), id)
		assert.NilError(t, err)
		if r.Final() {
			recorder.RecordReply(id, r)
			return true
		}
	}
	t.Logf("the owner has not read the request of %s", id)
	return false
}

// putToFrozenOwner lets 50 callers send the submission of a frozen owner to another entry, twice each.
func putToFrozenOwner(t *testing.T, recorder *cluster.CallRecorder, other *cluster.Entry, id string, job schema.Job) {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var slowest time.Duration
	for range 50 {
		wg.Go(func() {
			for range 2 {
				begin := time.Now()
				r, err := recorder.Put(t.Context(), other.Client(cluster.Token), id, job)
				if !assert.Check(t, err) {
					return
				}
				took := time.Since(begin)
				checkUnreachable(t, r, took)
				mu.Lock()
				slowest = max(slowest, took)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("figure: frozen owner: slowest of 100 answers %s", slowest.Round(time.Millisecond))
}

// Guards against requests lost on silent connections. The existing connections between two entries go
// silent for good while new ones work. A caller that retries through the other entry must receive its
// answer within 15 s.
func TestSilentPeerConnections(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	owner, other := c.Entries[0], c.Entries[1]
	recorder := cluster.NewCallRecorder()
	for n := range 2 {
		id := reserve(t, owner.Client(cluster.Token))
		warm := cluster.Job(cluster.Booking, fmt.Sprint("warm ", n), 1)
		r, err := recorder.Put(t.Context(), other.Client(cluster.Token), id, warm)
		assert.NilError(t, err)
		cluster.CheckComplete(t, warm, r)
		job := cluster.Job(cluster.Booking, fmt.Sprint("silent ", n), 2)
		id = reserve(t, owner.Client(cluster.Token))
		silent := time.Now()
		owner.Proxy.MuteExisting()
		r, err = recorder.PutUntilFinal(t.Context(), func() *client.Client { return other.Client(cluster.Token) }, id, job)
		assert.NilError(t, err)
		took := time.Since(silent)
		cluster.CheckComplete(t, job, r)
		t.Logf("figure: silent peer connection: answer %s after the silence", took.Round(time.Millisecond))
		assert.Assert(t, took < 15*time.Second)
	}
	recorder.Check(t, c.RunRecord())
}
