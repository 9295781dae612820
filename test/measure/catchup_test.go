// The benchmark of an entry's fetch of the state from a peer.

package measure

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/schema"
)

// stateServer answers every peer request with the same state.
type stateServer struct{ state *schema.State }

func (s stateServer) ServePeer(context.Context, *schema.Request) *schema.Reply {
	return &schema.Reply{State: s.state}
}

// BenchmarkCatchUp measures the time and the bytes that an entry needs to fetch the whole VM list and
// configuration from a peer after an absence.
func BenchmarkCatchUp(b *testing.B) {
	for _, workers := range []int{50, 200, 950} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			pem, err := peer.Generate()
			assert.NilError(b, err)
			cred, err := pem.Credentials()
			assert.NilError(b, err)
			state := &schema.State{Config: largeConfig(), Vms: &schema.VmList{Version: 2, Vms: fakeWorkers(5, workers)}}
			server, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), cred, stateServer{state})
			assert.NilError(b, err)
			defer server.Close()
			client := peer.NewClient(cred, netip.MustParseAddr("127.0.0.1"))
			defer client.Close()
			fetch := func() {
				_, failure := client.Call(context.Background(), server.Address(), &schema.Request{Body: &schema.Request_State{State: &schema.StateRequest{}}})
				assert.Assert(b, failure == nil, "%v", failure)
			}
			fetch() // opens the connection
			before, fetches := client.Traffic(), 0
			for b.Loop() {
				fetch()
				fetches++
			}
			time.Sleep(50 * time.Millisecond) // for the last acknowledgements
			after := client.Traffic()
			b.ReportMetric(float64(after.BytesReceived-before.BytesReceived)/float64(fetches), "B-received")
			b.ReportMetric(float64(after.BytesSent-before.BytesSent)/float64(fetches), "B-sent")
			b.ReportMetric(float64(proto.Size(state.GetConfig())), "B-config")
			b.ReportMetric(float64(proto.Size(state.GetVms())), "B-VMs")
		})
	}
}

// largeConfig returns a configuration with as many teams as are planned.
func largeConfig() *schema.Config {
	c := &schema.Config{Revision: 600, Kinds: map[string]*schema.Kind{}, Teams: map[string]*schema.Team{}}
	for i := range 79 {
		c.Teams[fmt.Sprintf("team-%d", i)] = &schema.Team{
			TokenSha256: fmt.Sprintf("%064x", i), StartsPerSecond: 1000, Weight: 2,
		}
	}
	for i := range 20 {
		c.Kinds[fmt.Sprintf("kind-%d", i)] = &schema.Kind{
			Path: fmt.Sprintf("/kind-%d", i), Idempotent: true, Urgency: schema.Urgency_URGENCY_NORMAL,
			Domains: []string{"domain-a", "domain-b"}, RunTimeMs: 200, DeadlineMs: 10_000, OneCall: true,
		}
	}
	return c
}
