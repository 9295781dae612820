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

// balancer chooses among the entries whose readiness it saw at its latest look, as the
// platform's balancer does.
type balancer struct {
	mu    sync.Mutex
	ready []string
	// was holds the processes that have been ready, left those that have ceased to be: they
	// are stopping, and what answers at their addresses later is another process.
	seenReady, removed map[*cluster.Process]bool
}

// look is how often the balancer looks at readiness.
const readinessInterval = 50 * time.Millisecond

// newBalancer starts to look at the entries that list returns, until the test ends.
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

// answersReady asks whatever listens at an entry's address.
func isReady(e *cluster.Entry) bool {
	resp, err := http.Get(strings.TrimSuffix(e.MetricsURL, "/metrics") + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// An entry stops, and another process on the machine gets its port. What answers there says
// that it is ready; callers must not be sent to the entry that has gone.
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
		{http.StatusServiceUnavailable, 0}, // not yet
		{http.StatusOK, 1},
		{http.StatusServiceUnavailable, 0}, // it stops
		{http.StatusOK, 0},                 // another process
	} {
		status.Store(check.says)
		b.refresh([]*cluster.Entry{e})
		assert.Equal(t, len(b.ready), check.want)
	}
	e.Process = &cluster.Process{}
	b.refresh([]*cluster.Entry{e})
	assert.Equal(t, len(b.ready), 1, "a new process of the entry")
}

func (b *balancer) pick() *client.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &client.Client{URL: b.ready[rand.IntN(len(b.ready))], Token: cluster.Token}
}

// callers send jobs one after the other and count every request that was cut off or
// refused.
type callers struct {
	recorder *cluster.CallRecorder
	stop     chan struct{}
	wg       sync.WaitGroup

	mu     sync.Mutex
	jobs   map[string]schema.Job
	failed []string
}

func startCallers(t testing.TB, b *balancer, count int) *callers {
	c := &callers{recorder: cluster.NewCallRecorder(), stop: make(chan struct{}), jobs: make(map[string]schema.Job)}
	for n := range count {
		c.wg.Go(func() { c.run(t.Context(), b, n) })
	}
	return c
}

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

// one reserves and sends a job, each in one request: a caller whose request is cut
// off sees an error, or an answer that is not complete.
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

func (c *callers) recordFailure(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = append(c.failed, fmt.Sprintf(format, args...))
}

// count returns the jobs sent so far.
func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs)
}

// waitFor waits until a number of further jobs was sent.
func (c *callers) waitForJobs(t testing.TB, more int) {
	t.Helper()
	goal := c.count() + more
	cluster.Eventually(t, 30*time.Second, "further jobs are sent", func() bool { return c.count() >= goal })
}

// finish stops the callers and checks that nothing was cut off.
func (c *callers) finish(t testing.TB) {
	t.Helper()
	close(c.stop)
	c.wg.Wait()
	for i, failure := range c.failed {
		if i == 5 {
			break
		}
		t.Errorf("cut off: %s", failure)
	}
	assert.Equal(t, len(c.failed), 0, "requests cut off, of %d", len(c.jobs))
}

// answersKept asks for every answer through the clients in turn.
func (c *callers) checkAnswers(t testing.TB, clients ...*client.Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	n := 0
	for id := range c.jobs {
		r, err := c.recorder.Ask(ctx, func() *client.Client { return clients[n%len(clients)] }, id, c.jobs[id])
		assert.NilError(t, err, "%s %s: %s", r.Outcome, r.Reason, r.Message)
		assert.Equal(t, r.Outcome, client.Complete, "%s: %s", r.Reason, r.Message)
		n++
	}
}
