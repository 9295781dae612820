// Tests with many callers, callers that reconnect and callers that cancel.

package failure

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// Guards against mixed-up or truncated answers. 200 callers send jobs at the same time, through
// entries that do not own the identifier. Run times differ, so answers overtake each other, and
// answers are larger than a packet. Each caller must receive the complete answer to its own job.
func TestConcurrentCallersGetOwnResults(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 2, Workers: 3})
	recorder := cluster.NewCallRecorder()
	var wg sync.WaitGroup
	for n := range 200 {
		wg.Go(func() {
			job := cluster.Job(cluster.Booking, fmt.Sprint(n), 1+n%4)
			for i := range job.Tasks {
				job.Tasks[i].Payload = json.RawMessage(fmt.Sprintf(`{"caller":%d,"task":%d,"run_ms":%d,"reply_bytes":%d}`, n, i, (n*37+i*11)%80, (n%20)*10_000))
			}
			r, err := recorder.Submit(t.Context(), roundRobin(c, n), job)
			if assert.Check(t, err) && r.Verdict != "not-run" { // Entries may refuse jobs in a burst.
				cluster.CheckComplete(t, job, r)
			}
		})
	}
	wg.Wait()
	r := recorder.Check(t, c.RunRecord())
	t.Log(r)
	assert.Assert(t, r.Complete >= 100, "%s", r)
}

// Guards against a second run for a caller that reconnects. The caller disconnects while its booking
// runs. Through another entry a GET must say that the booking runs, and the same PUT must wait for the
// answer of that run.
func TestCallerReconnectsThroughOtherEntry(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 3, Workers: 1, RunTime: 2 * time.Second})
	recorder := cluster.NewCallRecorder()
	id := reserve(t, c.Entries[0].Client(cluster.Token))
	job := cluster.Job(cluster.Booking, "left", 2)
	ctx, disconnect := context.WithCancel(t.Context())
	disconnected := make(chan struct{})
	go func() {
		_, _ = recorder.Put(ctx, c.Entries[1].Client(cluster.Token), id, job) // The test cancels ctx below.
		close(disconnected)
	}()
	cluster.Eventually(t, 10*time.Second, "both tasks of the booking run", func() bool { return c.RunRecord().Starts == 2 })
	disconnect()
	<-disconnected

	other := c.Entries[2].Client(cluster.Token)
	r, err := other.Get(t.Context(), id)
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusAccepted)
	assert.Assert(t, r.RetryAfter > 0)
	r, err = recorder.Put(t.Context(), other, id, job)
	assert.NilError(t, err)
	cluster.CheckComplete(t, job, r)
	r, err = other.Get(t.Context(), id)
	assert.NilError(t, err)
	recorder.RecordReply(id, r)
	report := recorder.Check(t, c.RunRecord())
	assert.Equal(t, report.Starts, int64(2))
}

// Guards against leaked slots and conflicting answers after many cancellations. 1,000 callers cancel
// their jobs at the same time, most of them while the job waits for a slot. Each job has one final
// answer, also for the request that cancels it. Then all slots are free and the next booking runs.
func TestMassCancellation(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 2, Slots: 4})
	const jobs = 1000
	recorder := cluster.NewCallRecorder()
	clients := []*client.Client{c.Entries[0].Client(cluster.Token), c.Entries[1].Client(cluster.Token)}
	for _, k := range clients {
		k.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: jobs}}
	}
	var ids []string
	for i := range clients {
		half, err := clients[i].Reserve(t.Context(), jobs/2)
		assert.NilError(t, err)
		ids = append(ids, half...)
	}
	job := cluster.Job(cluster.Quote, "canceled", 2)
	for i := range job.Tasks {
		job.Tasks[i].Payload = json.RawMessage(`{"run_ms":3000}`)
	}
	var wg sync.WaitGroup
	var canceled sync.Map
	for n, id := range ids {
		recorder.RecordRequest(id, job)
		wg.Go(func() {
			_, err := recorder.Put(t.Context(), clients[n%2], id, job)
			assert.Check(t, err)
		})
		wg.Go(func() {
			r, err := clients[(n+1)%2].Delete(t.Context(), id)
			if assert.Check(t, err) {
				recorder.RecordReply(id, r)
				canceled.Store(id, r.Reason == "canceled")
			}
		})
	}
	wg.Wait()
	ended := time.Now()
	waitIdle(t, c)
	after := cluster.Job(cluster.Booking, "after", 4)
	r, err := recorder.Submit(t.Context(), roundRobin(c, 0), after)
	assert.NilError(t, err)
	cluster.CheckComplete(t, after, r)
	t.Logf("slots free and a booking complete %s after the last cancellation", time.Since(ended).Round(time.Millisecond))
	n := 0
	canceled.Range(func(_, was any) bool {
		if was.(bool) {
			n++
		}
		return true
	})
	t.Logf("%d ended as canceled; %s", n, recorder.Check(t, c.RunRecord()))
	assert.Assert(t, n > jobs/2)
}
