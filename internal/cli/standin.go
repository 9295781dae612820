// The standin commands: stand-ins of the platform and of backend servers, for tests.

package cli

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	standinplatform "github.com/lavendercleat/lavendercleat/internal/standin/platform"
	"github.com/lavendercleat/lavendercleat/schema"
)

// standinStopTimeout is the time limit for the stop of a stand-in.
const standinStopTimeout = 15 * time.Second

// standinCommand runs stand-ins of external systems, for tests.
type standinCommand struct {
	Platform platformCommand `cmd:"" help:"Run a stand-in of the platform's service."`
	Backend  backendCommand  `cmd:"" help:"Run stand-ins of backend servers."`
}

// platformCommand runs the stand-in of the platform's service.
type platformCommand struct {
	schema.PlatformSettings
}

// Validate checks the settings.
func (c *platformCommand) Validate() error {
	if !c.Address.IsValid() {
		return errors.New("--address is empty; accepted are IP:port")
	}
	return nil
}

// standinReady is the first line that a stand-in prints on the standard output: the addresses on
// which it listens.
type standinReady struct {
	Addresses []netip.AddrPort `json:"addresses"`
}

// Run serves the stand-in until a signal arrives.
func (c *platformCommand) Run(s *streams, l *schema.LogSettings) error {
	server := &http.Server{Handler: standinplatform.NewServer(), ReadHeaderTimeout: startTimeout}
	start := func(context.Context) error {
		listener, err := net.Listen("tcp", c.Address.String())
		if err != nil {
			return err
		}
		go server.Serve(listener)
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		return printJSON(s.out, standinReady{Addresses: []netip.AddrPort{address}})
	}
	stop := func(context.Context) error { return server.Close() }
	return runApp(newApp(s, l, standinStopTimeout, fx.Invoke(func(lc fx.Lifecycle) {
		lc.Append(fx.Hook{OnStart: start, OnStop: stop})
	})))
}

// backendCommand runs stand-ins of backend servers.
type backendCommand struct {
	schema.BackendSettings
}

// Upper limits of the settings of backend stand-ins.
const (
	maxBackends    = 1000
	maxSlots       = 10_000
	maxConnections = 100_000
	maxRunTime     = time.Hour
)

// Validate checks the settings.
func (c *backendCommand) Validate() error {
	for _, n := range []struct {
		flag       string
		value, max int32
	}{{"count", c.Count, maxBackends}, {"slots", c.Slots, maxSlots}, {"connections", c.Connections, maxConnections}} {
		if n.value < 1 || n.value > n.max {
			return errors.Newf("--%s is %d; accepted are 1 to %d", n.flag, n.value, n.max)
		}
	}
	if c.RunTime < 0 || c.RunTime > maxRunTime {
		return errors.Newf("--run-time is %s; accepted are 0s to %s", c.RunTime, maxRunTime)
	}
	if !c.Address.IsValid() {
		return errors.New("--address is empty; accepted are IP:port")
	}
	if last := int(c.Address.Port()) + int(c.Count) - 1; c.Address.Port() != 0 && last > math.MaxUint16 {
		return errors.Newf("--address with --count reaches port %d; accepted are ports up to %d", last, math.MaxUint16)
	}
	return nil
}

// Run serves the stand-ins until a signal arrives.
func (c *backendCommand) Run(s *streams, l *schema.LogSettings) error {
	var backends *standinbackend.Fleet
	start := func(context.Context) (err error) {
		if backends, err = standinbackend.Listen(c.BackendSettings); err != nil {
			return err
		}
		return printJSON(s.out, standinReady{Addresses: backends.Addresses})
	}
	stop := func(context.Context) error { return backends.Close() }
	return runApp(newApp(s, l, standinStopTimeout, fx.Invoke(func(lc fx.Lifecycle) {
		lc.Append(fx.Hook{OnStart: start, OnStop: stop})
	})))
}
