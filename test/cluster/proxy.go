package cluster

import (
	"context"
	"strings"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Link is a TCP link through toxiproxy.
type Link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
	up    string
}

// newLink puts a proxy in front of an address, on a free port of 127.0.0.1.
func newLink(t testing.TB, name, upstream string) *Link {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	l := &Link{t: t, proxy: p, up: upstream}
	t.Cleanup(func() { p.Stop() })
	return l
}

// Address returns the address in front of the proxy.
func (l *Link) Address() string { return l.proxy.Listen }

// Cut breaks all connections and refuses new ones.
func (l *Link) Cut() { l.proxy.Stop() }

// Restore ends Cut, on the same address.
func (l *Link) Restore() {
	l.t.Helper()
	if err := l.proxy.Start(); err != nil {
		l.t.Fatal(err)
	}
}

// Toxic adds a toxic in the JSON of toxiproxy's API, for instance
// {"type":"timeout","stream":"downstream","attributes":{"timeout":0}}.
func (l *Link) Toxic(json string) {
	l.t.Helper()
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(json)); err != nil {
		l.t.Fatal(err)
	}
}

// Silence lets connections stay open while no byte passes in either direction.
func (l *Link) Silence() {
	l.Toxic(`{"name":"up","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`)
	l.Toxic(`{"name":"down","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`)
}

// Clear removes all toxics. Connections that a timeout toxic held are closed by it.
func (l *Link) Clear() { l.proxy.Toxics.ResetToxics(context.Background()) }
