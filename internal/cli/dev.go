// The dev command: an entry, a stand-in platform and stand-in backend servers in one process.

package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/entry"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/internal/platform"
	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	standinplatform "github.com/lavendercleat/lavendercleat/internal/standin/platform"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	devDomain  = "dev"
	devWorkers = 4
	devSlots   = 8
	devTeam    = "dev"
	// devToken is the caller's token and devOperatorToken the operator's.
	devToken         = "dev-token"
	devOperatorToken = "dev-operator-token"
	// maxDevPort leaves valid port numbers for the two interfaces after the first.
	maxDevPort = 65530
)

// devCommand runs an entry with a stand-in platform and stand-in backend servers in one process.
type devCommand struct {
	Once bool `help:"Submit one sample job, print its answer and exit."`
	Port int  `help:"Port of the caller interface on 127.0.0.1. The operator interface and the metrics use the next two ports. 0 picks free ports." default:"7400"`
}

// Validate checks the port.
func (c *devCommand) Validate() error {
	if c.Port < 0 || c.Port > maxDevPort {
		return errors.Newf("--port is %d; accepted are 0 to %d", c.Port, maxDevPort)
	}
	return nil
}

// Run runs the sample job with --once. Otherwise it serves until a signal arrives.
func (c *devCommand) Run(s *streams, l *schema.LogSettings) error {
	var e *entry.Entry
	app := newApp(s, l, standinStopTimeout,
		fx.Provide(newDevPlatform, newDevBackends, newDevCredentials, c.entrySettings, entry.New),
		fx.Invoke(addEntryHooks),
		fx.Populate(&e),
	)
	if c.Once {
		return c.runOnce(app, &e, s)
	}
	return runDev(app, &e, s)
}

// runDev serves until a signal arrives.
func runDev(app *fx.App, e **entry.Entry, s *streams) error {
	if err := startDev(app, e); err != nil {
		return err
	}
	if err := printReady(s.out, *e); err != nil {
		return err
	}
	<-app.Done()
	return stopDev(app)
}

// runOnce submits the sample job, prints its answer and stops the application.
func (c *devCommand) runOnce(app *fx.App, e **entry.Entry, s *streams) error {
	if err := startDev(app, e); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	caller := client.Client{URL: httpURL((*e).CallerAddress()), Token: devToken}
	r, err := caller.Submit(ctx, sampleJob())
	if err == nil {
		err = printAnswer(s.out, r.Answer)
	}
	return errors.CombineErrors(err, stopDev(app))
}

// startDev starts the application and waits until the entry is ready for jobs.
func startDev(app *fx.App, e **entry.Entry) error {
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return err
	}
	for !(*e).Ready() {
		select {
		case <-ctx.Done():
			return errors.Newf("the entry is not ready %s after the start of the application", app.StartTimeout())
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// stopDev stops the application within its time limit.
func stopDev(app *fx.App) error {
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(ctx)
}

// devPlatform is the stand-in of the platform's service.
type devPlatform struct {
	url string
}

// newDevPlatform starts the stand-in platform with the stand-in workers in its VM list, and writes the
// sample configuration to it.
func newDevPlatform(lc fx.Lifecycle, backends *standinbackend.Fleet) (*devPlatform, error) {
	server := standinplatform.NewServer()
	server.SetVMs(devVMs(backends))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: startTimeout}
	go httpServer.Serve(l)
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return httpServer.Close() }})
	p := &devPlatform{url: httpURL(l.Addr().(*net.TCPAddr).AddrPort())}
	return p, entry.SeedConfig(context.Background(), p.url, sampleConfig())
}

// devVMs returns the VM list: all backend servers as workers of one failure domain, two in each rack.
func devVMs(backends *standinbackend.Fleet) []*schema.Vm {
	var vms []*schema.Vm
	for i, a := range backends.Addresses {
		vms = append(vms, &schema.Vm{
			Address:     a.String(),
			Domain:      devDomain,
			Rack:        fmt.Sprintf("rack-%d", i/2),
			Role:        schema.VmRole_VM_ROLE_WORKER,
			Slots:       devSlots,
			Connections: 64,
			Resources:   &schema.Resources{Cpus: 64, MemoryMb: 256 << 10},
		})
	}
	return vms
}

// newDevBackends starts the stand-in backend servers on free ports.
func newDevBackends(lc fx.Lifecycle) (*standinbackend.Fleet, error) {
	f, err := standinbackend.Listen(schema.BackendSettings{
		Address:     netip.MustParseAddrPort("127.0.0.1:0"),
		Count:       devWorkers,
		Slots:       devSlots,
		Connections: 64,
		RunTime:     50 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return f.Close() }})
	return f, nil
}

// newDevCredentials generates keys and certificates in memory.
func newDevCredentials() (peer.Credentials, error) {
	p, err := peer.Generate()
	if err != nil {
		return peer.Credentials{}, err
	}
	return p.Credentials()
}

// entrySettings returns the settings of the entry. With --once, it listens on free ports.
func (c *devCommand) entrySettings(p *devPlatform) schema.EntrySettings {
	port := func(offset int) netip.AddrPort {
		if c.Port == 0 || c.Once {
			return netip.MustParseAddrPort("127.0.0.1:0")
		}
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(c.Port+offset))
	}
	return schema.EntrySettings{
		CallerAddress:        port(0),
		OperatorAddress:      port(1),
		MetricsAddress:       port(2),
		PeerAddress:          netip.MustParseAddrPort("127.0.0.1:0"),
		Domain:               devDomain,
		PlatformUrl:          p.url,
		Operators:            []string{"dev:" + config.HashToken(devOperatorToken)},
		HeartbeatInterval:    500 * time.Millisecond,
		PeerTimeout:          2 * time.Second,
		IdentifierWindow:     5 * time.Minute,
		AnswerRetention:      5 * time.Minute,
		AnswerBytes:          128 << 20,
		StopTimeout:          c.stopTimeout(),
		WorkerIdleTimeout:    time.Second,
		WorkerReuseTimeout:   100 * time.Millisecond,
		WorkerDialTimeout:    time.Second,
		WorkerSilenceTimeout: 4 * time.Second,
		PlatformWatchWait:    20 * time.Second,
		PlatformTimeout:      platform.DefaultTimeout,
	}
}

// stopTimeout returns how long a stop waits first for jobs in flight, and then for another entry to
// take over the answers. The dev command has no other entry.
func (c *devCommand) stopTimeout() time.Duration {
	if c.Once {
		return 0
	}
	return time.Second
}
