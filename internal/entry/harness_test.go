// Helpers of the tests: an entry with stand-ins for the platform and the workers.

package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/internal/platform"
	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	standinplatform "github.com/lavendercleat/lavendercleat/internal/standin/platform"
	"github.com/lavendercleat/lavendercleat/schema"
)

const testToken = "token"

// testConfig returns a configuration with one kind, which accepts one-call and reserved submissions.
func testConfig() *schema.Config {
	return &schema.Config{
		Revision: 1,
		Kinds: map[string]*schema.Kind{
			"quote": {Path: "/quote", Idempotent: true, OneCall: true, RunTimeMs: 10, DeadlineMs: 10_000},
		},
		Teams:  map[string]*schema.Team{"team": {TokenSha256: config.HashToken(testToken)}},
		Limits: &schema.Limits{MaxTasks: config.MaxTasks, MaxBodyBytes: 1 << 20, MaxDeadlineMs: 60_000},
	}
}

// startEntry starts an entry with stand-ins in this process. change, if not nil, may alter the entry before
// its start.
func startEntry(t *testing.T, change func(*Entry)) *Entry {
	t.Helper()
	fleet, err := standinbackend.Listen(schema.BackendSettings{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Count: 1, Slots: 8, Connections: 64,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, fleet.Close()) })
	standin := standinplatform.NewServer()
	standin.SetVMs([]*schema.Vm{{
		Address: fleet.Addresses[0].String(), Domain: "test", Rack: "rack", Role: schema.VmRole_VM_ROLE_WORKER,
		Slots: 8, Connections: 64, Resources: &schema.Resources{Cpus: 1},
	}})
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	b, err := proto.Marshal(testConfig())
	assert.NilError(t, err)
	p := platform.NewClient(server.URL)
	_, err = p.CompareAndSwap(t.Context(), ConfigKey, 0, b)
	assert.NilError(t, err)
	p.Close()

	keys, err := peer.Generate()
	assert.NilError(t, err)
	cred, err := keys.Credentials()
	assert.NilError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	local := netip.MustParseAddrPort("127.0.0.1:0")
	settings := schema.EntrySettings{
		CallerAddress: local, OperatorAddress: local, MetricsAddress: local, PeerAddress: local,
		Domain: "test", PlatformUrl: server.URL, CaFile: "-", CertFile: "-", KeyFile: "-",
	}
	assert.NilError(t, kong.ApplyDefaults(&settings))
	settings.StopDelay = 0
	settings.StopTimeout = 500 * time.Millisecond // a lone entry serves its answers for this time
	e, err := New(settings, cred, log)
	assert.NilError(t, err)
	if change != nil {
		change(e)
	}
	assert.NilError(t, e.Start(t.Context()))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		assert.Check(t, e.Stop(ctx))
	})
	for deadline := time.Now().Add(10 * time.Second); !e.Ready(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the entry did not become ready")
	}
	return e
}

// testClient returns a client of the entry with its own connections.
func testClient(e *Entry) *client.Client {
	return &client.Client{URL: "http://" + e.CallerAddress().String(), Token: testToken, HTTP: &http.Client{Transport: &http.Transport{}}}
}
