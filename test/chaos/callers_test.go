// Callers that send jobs during the faults of a test.

package chaos

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// callers send jobs, each caller one after the other, until stopAndWait.
type callers struct {
	wg   sync.WaitGroup
	stop context.CancelFunc
	mu   sync.Mutex
	// answers counts the complete answers under the outcome, and the failures by reason.
	answers map[string]int
	// slowest is the longest time until a final answer.
	slowest time.Duration
}

// finalAnswerTimeout is how long a caller retries. It is longer than every failure that the tests cause, so
// a submission without a final answer by then is lost.
const finalAnswerTimeout = time.Minute

// startCallers starts callers that send quotes and bookings through a balancer.
func startCallers(t *testing.T, recorder *cluster.CallRecorder, b *cluster.Balancer, name string, count int) *callers {
	ctx, stop := context.WithCancel(t.Context())
	c := &callers{stop: stop, answers: make(map[string]int)}
	for n := range count {
		c.wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				kind := cluster.Quote
				if i%2 == 1 {
					kind = cluster.Booking
				}
				c.submit(t, recorder, b, cluster.Job(kind, fmt.Sprintf("%s/%d/%d", name, n, i), 1+i%4))
			}
		})
	}
	t.Cleanup(c.stopAndWait)
	return c
}

// submit sends one job until it has a final answer, and counts the answer.
func (c *callers) submit(t *testing.T, recorder *cluster.CallRecorder, b *cluster.Balancer, j schema.Job) {
	ctx, cancel := context.WithTimeout(t.Context(), finalAnswerTimeout)
	defer cancel()
	begin := time.Now()
	r, err := recorder.Submit(ctx, b.Pick, j)
	if !assert.Check(t, err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowest = max(c.slowest, time.Since(begin))
	key := r.Outcome
	if r.Outcome == client.Failed {
		key = r.Reason
	}
	c.answers[key]++
}

// stopAndWait stops the callers and waits until each has the final answer to its last job.
func (c *callers) stopAndWait() {
	c.stop()
	c.wg.Wait()
}

// counts returns a copy of the counts of final answers.
func (c *callers) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.answers))
	for k, n := range c.answers {
		out[k] = n
	}
	return out
}
