// The application life cycle that all commands with a server share: start, stop on a signal, ready line.

package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/lavendercleat/lavendercleat/internal/entry"
	"github.com/lavendercleat/lavendercleat/internal/logging"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// startTimeout is the time limit for the start of a daemon.
	startTimeout = 15 * time.Second
	// stopMargin is the time that an entry gets for its stop in addition to its own stop limits.
	stopMargin = 10 * time.Second
)

// newApp returns an fx application with a logger and the given components.
func newApp(s *streams, l *schema.LogSettings, stopTimeout time.Duration, parts ...fx.Option) *fx.App {
	return fx.New(
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Provide(func() (*logrus.Logger, error) { return logging.New(s.err, l.LogLevel) }),
		fx.Options(parts...),
	)
}

// runApp starts an application, waits for a signal and stops the application.
func runApp(app *fx.App) error {
	if err := app.Err(); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	<-app.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(stopCtx)
}

// addEntryHooks makes the application start and stop the entry.
func addEntryHooks(lc fx.Lifecycle, e *entry.Entry) {
	lc.Append(fx.Hook{OnStart: e.Start, OnStop: e.Stop})
}

// entryReady is the first line that the entry and dev commands print on the standard output. It has
// the addresses on which the entry listens.
type entryReady struct {
	CallerURL   string `json:"caller_url"`
	OperatorURL string `json:"operator_url"`
	MetricsURL  string `json:"metrics_url"`
	// PeerListen is the UDP address on which the entry listens for peers.
	PeerListen netip.AddrPort `json:"peer_listen"`
}

// printReady prints the addresses of a started entry.
func printReady(w io.Writer, e *entry.Entry) error {
	return printJSON(w, entryReady{
		CallerURL:   httpURL(e.CallerAddress()),
		OperatorURL: httpURL(e.OperatorAddress()),
		MetricsURL:  httpURL(e.MetricsAddress()) + "/metrics",
		PeerListen:  e.PeerListenAddress(),
	})
}

func printJSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }

func httpURL(a netip.AddrPort) string { return "http://" + a.String() }
