// Links to backend servers and to the platform through toxiproxy.

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
	t        testing.TB
	proxy    *toxiproxy.Proxy
	upstream string
}

// newLink puts a proxy at a free port of 127.0.0.1 in front of an address.
func newLink(t testing.TB, name, upstream string) *Link {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	l := &Link{t: t, proxy: p, upstream: upstream}
	t.Cleanup(func() { p.Stop() })
	return l
}

// Address returns the address at which the proxy listens.
func (l *Link) Address() string { return l.proxy.Listen }

// Cut closes all connections and refuses new ones until Restore.
func (l *Link) Cut() { l.proxy.Stop() }

// Restore ends Cut; the proxy listens at the same address again.
func (l *Link) Restore() {
	l.t.Helper()
	if err := l.proxy.Start(); err != nil {
		l.t.Fatal(err)
	}
}

// AddToxic adds a toxic, given in the JSON of toxiproxy's API:
// {"type":"timeout","stream":"downstream","attributes":{"timeout":0}} is an example.
func (l *Link) AddToxic(json string) {
	l.t.Helper()
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(json)); err != nil {
		l.t.Fatal(err)
	}
}

// Blackhole drops the data of both directions; the connections stay open.
func (l *Link) Blackhole() {
	l.AddToxic(`{"name":"up","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`)
	l.AddToxic(`{"name":"down","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`)
}

// RemoveToxics removes all toxics. The timeout toxics close the connections whose data they dropped.
func (l *Link) RemoveToxics() { l.proxy.Toxics.ResetToxics(context.Background()) }
