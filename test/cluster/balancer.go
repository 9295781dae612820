package cluster

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/lavendercleat/lavendercleat/client"
)

// callTimeout is how long a caller waits on one connection before it asks through
// another entry.
const callTimeout = 8 * time.Second

// Balancer stands for the platform's balancer: it picks a random entry among those
// that are up. It is safe for concurrent use.
type Balancer struct {
	mu   sync.Mutex
	up   []*Entry
	urls map[*Entry]string
	http *http.Client
}

// NewBalancer returns a balancer in front of entries that are up.
func NewBalancer(entries []*Entry) *Balancer {
	b := &Balancer{urls: make(map[*Entry]string), http: &http.Client{Timeout: callTimeout}}
	for _, e := range entries {
		b.Add(e)
	}
	return b
}

// Add takes an entry in, at the addresses of its present process.
func (b *Balancer) Add(e *Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.up = append(b.up, e)
	b.urls[e] = e.CallerURL
}

// Remove leaves an entry out.
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

// nowhere refuses connections, as a balancer without entries does.
const nowhere = "http://127.0.0.1:1"

// Pick returns a client of a random entry.
func (b *Balancer) Pick() *client.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.up) == 0 {
		return &client.Client{URL: nowhere, Token: Token, HTTP: b.http}
	}
	return &client.Client{URL: b.urls[b.up[rand.IntN(len(b.up))]], Token: Token, HTTP: b.http}
}
