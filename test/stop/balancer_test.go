// The platform's balancer and its callers, for the tests of stops.

package stop

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// balancer picks among the entries that were ready at its latest check, as the platform's balancer
// does.
type balancer struct {
	mu sync.Mutex
	// ready holds the caller URLs of the ready entries.
	ready []string
	// seenReady holds the processes that have been ready, removed those that were ready and then not.
	// A removed process is stopping, and a later answer at its address comes from another process.
	seenReady, removed map[*cluster.Process]bool
}

// readinessInterval is the time between two checks of readiness.
const readinessInterval = 50 * time.Millisecond

// newBalancer returns a balancer that checks the entries that list returns until the test ends.
func newBalancer(t testing.TB, list func() []*cluster.Entry) *balancer {
	b := &balancer{seenReady: make(map[*cluster.Process]bool), removed: make(map[*cluster.Process]bool)}
	b.refresh(list())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			time.Sleep(readinessInterval)
			b.refresh(list())
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return b
}

// refresh checks the readiness of the entries.
func (b *balancer) refresh(entries []*cluster.Entry) {
	var ready []string
	for _, e := range entries {
		if b.removed[e.Process] {
			continue
		}
		if !isReady(e) || e.Ended() {
			b.removed[e.Process] = b.seenReady[e.Process]
			continue
		}
		b.seenReady[e.Process] = true
		ready = append(ready, e.CallerURL)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// isReady reports whether the process that listens at an entry's address answers that it is ready. It
// need not be the entry's process.
func isReady(e *cluster.Entry) bool {
	resp, err := http.Get(strings.TrimSuffix(e.MetricsURL, "/metrics") + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// An entry stops, and another process on the machine gets its port and answers that it is ready. The
// balancer must not send callers to the stopped entry.
func TestBalancerIgnoresOtherProcessAtOldAddress(t *testing.T) {
	var status atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(int(status.Load())) }))
	defer s.Close()
	e := &cluster.Entry{Process: &cluster.Process{}, MetricsURL: s.URL + "/metrics", CallerURL: "http://entry"}
	b := &balancer{seenReady: make(map[*cluster.Process]bool), removed: make(map[*cluster.Process]bool)}
	for _, check := range []struct {
		says int64
		want int
	}{
		{http.StatusServiceUnavailable, 0}, // not ready yet
		{http.StatusOK, 1},
		{http.StatusServiceUnavailable, 0}, // the entry stops
		{http.StatusOK, 0},                 // another process answers
	} {
		status.Store(check.says)
		b.refresh([]*cluster.Entry{e})
		assert.Equal(t, len(b.ready), check.want)
	}
	e.Process = &cluster.Process{}
	b.refresh([]*cluster.Entry{e})
	assert.Equal(t, len(b.ready), 1, "a new process of the entry")
}

// pick returns a client of a random ready entry.
func (b *balancer) pick() *client.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &client.Client{URL: b.ready[rand.IntN(len(b.ready))], Token: cluster.Token}
}

// callers send one job after the other and record every request that failed: an error, a refusal, or
// an incomplete answer.
type callers struct {
	recorder *cluster.CallRecorder
	stop     chan struct{}
	wg       sync.WaitGroup

	mu   sync.Mutex
	jobs map[string]schema.Job
	// failed describes the requests that failed.
	failed []string
}

// startCallers starts a number of callers, which send jobs to the balancer's entries until finish.
func startCallers(t testing.TB, b *balancer, count int) *callers {
	c := &callers{recorder: cluster.NewCallRecorder(), stop: make(chan struct{}), jobs: make(map[string]schema.Job)}
	for n := range count {
		c.wg.Go(func() { c.run(t.Context(), b, n) })
	}
	return c
}

// run sends the jobs of caller n.
func (c *callers) run(ctx context.Context, b *balancer, n int) {
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		default:
		}
		c.sendJob(ctx, b, cluster.Job(cluster.Booking, fmt.Sprintf("%d/%d", n, i), 1+i%4))
	}
}

// sendJob reserves an identifier and sends a job, each in one request without a retry. A request that
// is cut off shows as an error or as an incomplete answer.
func (c *callers) sendJob(ctx context.Context, b *balancer, j schema.Job) {
	ids, err := b.pick().Reserve(ctx, 1)
	if err != nil {
		c.recordFailure("reserve: %v", err)
		return
	}
	c.mu.Lock()
	c.jobs[ids[0]] = j
	c.mu.Unlock()
	r, err := c.recorder.Put(ctx, b.pick(), ids[0], j)
	switch {
	case err != nil:
		c.recordFailure("put: %v", err)
	case r.Outcome != client.Complete:
		c.recordFailure("put: %d %s %s (%s): %s", r.Status, r.Outcome, r.Reason, r.Verdict, r.Message)
	}
}

// recordFailure records a failed request.
func (c *callers) recordFailure(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = append(c.failed, fmt.Sprintf(format, args...))
}

// count returns the number of jobs sent so far.
func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs)
}

// waitForJobs waits until the callers have sent a number of further jobs.
func (c *callers) waitForJobs(t testing.TB, more int) {
	t.Helper()
	goal := c.count() + more
	cluster.Eventually(t, 30*time.Second, "further jobs are sent", func() bool { return c.count() >= goal })
}

// finish stops the callers and checks that no request failed.
func (c *callers) finish(t testing.TB) {
	t.Helper()
	close(c.stop)
	c.wg.Wait()
	for i, failure := range c.failed {
		if i == 5 {
			break
		}
		t.Errorf("failed request: %s", failure)
	}
	assert.Equal(t, len(c.failed), 0, "failed requests, for %d jobs", len(c.jobs))
}

// checkAnswers requests every job's answer through the clients in turn and checks that it is complete.
func (c *callers) checkAnswers(t testing.TB, clients ...*client.Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	n := 0
	for id := range c.jobs {
		r, err := c.recorder.PutUntilFinal(ctx, func() *client.Client { return clients[n%len(clients)] }, id, c.jobs[id])
		assert.NilError(t, err, "%s %s: %s", r.Outcome, r.Reason, r.Message)
		assert.Equal(t, r.Outcome, client.Complete, "%s: %s", r.Reason, r.Message)
		n++
	}
}
