// The node command: the daemon on the users' platform with its HTTP servers.

package cli

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/lavendercleat/lavendercleat/internal/httpstop"
	"github.com/lavendercleat/lavendercleat/internal/logging"
	"github.com/lavendercleat/lavendercleat/internal/node"
	"github.com/lavendercleat/lavendercleat/platform"
	"github.com/lavendercleat/lavendercleat/schema"
)

// nodeCommand runs the daemon that serves jobs on the users' platform. The platform provides its
// settings in a file.
type nodeCommand struct {
	schema.NodeSettings
}

const (
	// heapShare is the part of the platform's memory limit above which the garbage collector runs more
	// often. The rest is for memory that the Go heap does not count.
	heapShare = 0.5
	// requestHeaderTimeout and connectionIdleTimeout limit how long a slow or idle caller may hold a
	// connection.
	requestHeaderTimeout  = 3 * time.Second
	connectionIdleTimeout = 60 * time.Second
	// logFlushTimeout is the time limit for writing the queued log lines at a stop.
	logFlushTimeout = 100 * time.Millisecond
	// serverStopTimeout is how long a stop waits until the servers have written their current responses.
	serverStopTimeout = 300 * time.Millisecond
	// nodeStopMargin is the time that the daemon gets for its stop in addition to its own stop limits.
	nodeStopMargin = 2 * time.Second
)

// Run runs the daemon until SIGTERM or SIGINT.
func (c *nodeCommand) Run(s *streams, l *schema.LogSettings) error {
	// Register the handler before anything else: without it, SIGHUP ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(c.GcPercent)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * heapShare))
	}
	logWriter := logging.NewAsyncWriter(s.out) // the platform collects the log from the standard output
	defer logWriter.Close(logFlushTimeout)
	s = &streams{in: s.in, out: s.out, err: logWriter}
	return runApp(newApp(s, l, c.StopDelay+c.StopTimeout+nodeStopMargin,
		fx.Supply(settings, c.NodeSettings, hup, logWriter),
		fx.Provide(newNode, newNodeServers),
		fx.Invoke(addNodeHooks, reloadSettings),
	))
}

// reloadSettings reads the settings file again on SIGHUP and whenever the file has changed, because
// the platform does not send the signal at every change. It adds new seed peers. Listen addresses and
// the addresses of other systems stay as they were at the start of the process.
func reloadSettings(lc fx.Lifecycle, c schema.NodeSettings, hup chan os.Signal, n *node.Node, log *logrus.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	modTime := func() time.Time {
		info, err := os.Stat(c.Settings)
		if err != nil {
			return time.Time{}
		}
		return info.ModTime()
	}
	pollAndReload := func() {
		lastModTime := modTime()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-time.After(settingsPollInterval):
				if current := modTime(); current.Equal(lastModTime) {
					continue
				}
			}
			lastModTime = modTime()
			s, err := platform.ReadSettings(c.Settings)
			if err != nil {
				log.WithFields(logrus.Fields{"event": "settings_invalid", "error": err}).Error("settings file is invalid; keeping the previous settings")
				continue
			}
			n.AddSeeds(s.SeedPeers)
			log.WithFields(logrus.Fields{"event": "settings_reloaded", "seeds": len(s.SeedPeers)}).Info()
		}
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { go pollAndReload(); return nil },
		OnStop:  func(context.Context) error { cancel(); return nil },
	})
}

// settingsPollInterval is the time between two checks of the settings file for changes.
const settingsPollInterval = 2 * time.Second

// newNode creates the daemon from the platform's settings and the command line, and adds a metric for
// dropped log lines.
func newNode(s platform.Settings, c schema.NodeSettings, log *logrus.Logger, logWriter *logging.AsyncWriter) (*node.Node, error) {
	n, err := node.New(node.Config{
		Name: s.Name, Domain: s.Domain, Cores: s.Cores, LinkMbps: s.LinkMbps, Bootstrap: s.Bootstrap, Address: s.PeerAddress, Listen: c.PeerListen, SeedPeers: s.SeedPeers, RelayPort: s.RelayAddress.Port(),
		Lease: min(c.Lease, s.MaxWorkerLease), MaxLease: s.MaxWorkerLease, WorkerStopTimeout: s.WorkerStopTimeout, EntryTTL: max(c.EntryTtl, s.MinStoreLease),
		StopDelay: c.StopDelay, StopTimeout: c.StopTimeout, StoreWritesPerSecond: s.StoreWritesPerSecond, StateRetention: s.StateRetention,
	}, platform.Connect(s), log)
	if err != nil {
		return nil, err
	}
	n.PublishGauge("log_lines_left_out", func() float64 { return float64(logWriter.DroppedLines()) })
	return n, nil
}

// nodeServers are the HTTP servers of a daemon, with the address of each.
type nodeServers struct {
	servers   []*httpstop.Server
	addresses []netip.AddrPort
}

// newNodeServers creates the servers for callers and readiness checks. It adds the servers for relayed
// entries and metrics if their ports are set.
func newNodeServers(s platform.Settings, c schema.NodeSettings, n *node.Node) *nodeServers {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.NoRoute(func(c *gin.Context) {
		// gin sets 404 for a path without a route. The handler sets the actual status.
		c.Status(http.StatusOK)
		if n.Stopping() {
			c.Header("Connection", "close") // makes callers on open connections connect to another daemon
		}
		platform.NewCallerHandler(n).ServeHTTP(c.Writer, c.Request)
	})
	newServer := func(h http.Handler) *httpstop.Server {
		return httpstop.New(&http.Server{Handler: h, ReadHeaderTimeout: requestHeaderTimeout, IdleTimeout: connectionIdleTimeout})
	}
	servers := &nodeServers{
		servers:   []*httpstop.Server{newServer(engine), newServer(platform.NewReadinessHandler(n.Ready))},
		addresses: []netip.AddrPort{s.CallerAddress, s.ReadinessAddress},
	}
	if s.RelayAddress.IsValid() {
		servers.servers = append(servers.servers, newServer(n.FeedHandler()))
		servers.addresses = append(servers.addresses, s.RelayAddress)
	}
	if c.MetricsPort != 0 {
		servers.servers = append(servers.servers, newServer(metricsHandler(n)))
		servers.addresses = append(servers.addresses, netip.AddrPortFrom(s.CallerAddress.Addr(), c.MetricsPort))
	}
	return servers
}

// metricsHandler serves the daemon's metrics at /metrics.
func metricsHandler(n *node.Node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		n.WriteMetrics(w)
	})
	return mux
}

// start listens on all addresses and serves in the background.
func (s *nodeServers) start(ctx context.Context) error {
	for i, server := range s.servers {
		var lc net.ListenConfig
		l, err := lc.Listen(ctx, "tcp4", s.addresses[i].String())
		if err != nil {
			return err
		}
		go func() { _ = server.Serve(l) }()
	}
	return nil
}

// stop stops the servers one after another. Each waits for the requests in progress.
func (s *nodeServers) stop(ctx context.Context) error {
	var first error
	for _, server := range s.servers {
		if err := server.Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// addNodeHooks starts the daemon before its servers. At a stop, the daemon keeps serving until the
// balancer has removed it and its jobs are answered. Then the servers stop.
func addNodeHooks(lc fx.Lifecycle, n *node.Node, servers *nodeServers) {
	lc.Append(fx.Hook{OnStart: n.Start, OnStop: func(ctx context.Context) error {
		n.Close()
		return nil
	}})
	lc.Append(fx.Hook{OnStart: servers.start, OnStop: func(ctx context.Context) error {
		n.Drain(ctx)
		ctx, cancel := context.WithTimeout(ctx, serverStopTimeout)
		defer cancel()
		return servers.stop(ctx)
	}})
}
