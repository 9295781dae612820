package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// callTimeout is how long a caller waits on one connection before it asks through
// another entry.
const callTimeout = 8 * time.Second

// balancer stands for the platform's balancer: it picks a random entry among those
// that are up. It is safe for concurrent use.
type balancer struct {
	mu   sync.Mutex
	up   []*cluster.Entry
	urls map[*cluster.Entry]string
	http *http.Client
}

func newBalancer(entries []*cluster.Entry) *balancer {
	b := &balancer{urls: make(map[*cluster.Entry]string), http: &http.Client{Timeout: callTimeout}}
	for _, e := range entries {
		b.add(e)
	}
	return b
}

// add takes an entry in, at the addresses of its present process.
func (b *balancer) add(e *cluster.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.up = append(b.up, e)
	b.urls[e] = e.CallerURL
}

// remove leaves an entry out.
func (b *balancer) remove(e *cluster.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.up {
		if b.up[i] == e {
			b.up = append(b.up[:i:i], b.up[i+1:]...)
			return
		}
	}
}

// nowhere refuses connections, as a balancer without entries does.
const nowhere = "http://127.0.0.1:1"

// pick returns a client of a random entry.
func (b *balancer) pick() *client.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.up) == 0 {
		return &client.Client{URL: nowhere, Token: cluster.Token, HTTP: b.http}
	}
	return &client.Client{URL: b.urls[b.up[rand.IntN(len(b.up))]], Token: cluster.Token, HTTP: b.http}
}

// callers send jobs one after the other until they are stopped.
type callers struct {
	wg   sync.WaitGroup
	stop context.CancelFunc
	mu   sync.Mutex
	// answered counts the final answers by outcome, and failures by reason.
	answered map[string]int
	// slowest is the longest time that a caller waited for a final answer.
	slowest time.Duration
}

// finalWithin is how long a caller goes on asking. It covers every failure that the
// tests cause, so a submission without a final answer by then is lost.
const finalWithin = time.Minute

// startCallers starts callers that send quotes and bookings through a balancer.
func startCallers(t *testing.T, l *cluster.Ledger, b *balancer, name string, count int) *callers {
	ctx, stop := context.WithCancel(t.Context())
	c := &callers{stop: stop, answered: make(map[string]int)}
	for n := range count {
		c.wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				kind := cluster.Quote
				if i%2 == 1 {
					kind = cluster.Booking
				}
				c.one(t, l, b, cluster.Job(kind, fmt.Sprintf("%s/%d/%d", name, n, i), 1+i%4))
			}
		})
	}
	t.Cleanup(c.halt)
	return c
}

func (c *callers) one(t *testing.T, l *cluster.Ledger, b *balancer, j schema.Job) {
	ctx, cancel := context.WithTimeout(t.Context(), finalWithin)
	defer cancel()
	begin := time.Now()
	r, err := l.Submit(ctx, b.pick, j)
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
	c.answered[key]++
}

// halt stops the callers once each has its last answer.
func (c *callers) halt() {
	c.stop()
	c.wg.Wait()
}

// counts returns how many final answers there were by outcome and reason.
func (c *callers) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.answered))
	for k, n := range c.answered {
		out[k] = n
	}
	return out
}
