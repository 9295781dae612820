// A stand-in for the platform's load balancer.

package cluster

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/lavendercleat/lavendercleat/client"
)

// callTimeout is how long a caller waits for a reply before it tries another entry.
const callTimeout = 8 * time.Second

// Balancer stands in for the platform's load balancer: it selects a random entry among those that
// are up. It is safe for concurrent use.
type Balancer struct {
	mu   sync.Mutex
	up   []*Entry
	urls map[*Entry]string
	http *http.Client
}

// NewBalancer returns a balancer in front of the given entries, which must be up.
func NewBalancer(entries []*Entry) *Balancer {
	b := &Balancer{urls: make(map[*Entry]string), http: &http.Client{Timeout: callTimeout}}
	for _, e := range entries {
		b.Add(e)
	}
	return b
}

// Add adds an entry, at the caller URL of its current process.
func (b *Balancer) Add(e *Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.up = append(b.up, e)
	b.urls[e] = e.CallerURL
}

// Remove removes an entry.
func (b *Balancer) Remove(e *Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.up {
		if b.up[i] == e {
			b.up = append(b.up[:i:i], b.up[i+1:]...)
			return
		}
	}
}

// refusingURL is a URL whose port refuses connections, as a balancer without entries does.
const refusingURL = "http://127.0.0.1:1"

// Pick returns a client for a random entry.
func (b *Balancer) Pick() *client.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.up) == 0 {
		return &client.Client{URL: refusingURL, Token: Token, HTTP: b.http}
	}
	return &client.Client{URL: b.urls[b.up[rand.IntN(len(b.up))]], Token: Token, HTTP: b.http}
}
