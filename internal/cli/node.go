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

// nodeCommand runs the daemon that serves jobs on the users' platform.
type nodeCommand struct {
	schema.NodeSettings
}

const (
	// heapShare is the part of the platform's memory limit at which garbage collection
	// becomes eager; the rest is for what the Go heap doesn't count.
	heapShare = 0.5
	// frontHeaderTimeout and frontIdleTimeout bound what a caller's connection may hold.
	requestHeaderTimeout  = 3 * time.Second
	connectionIdleTimeout = 60 * time.Second
	// logCloseTimeout bounds the writing of the last lines.
	logFlushTimeout = 100 * time.Millisecond
	// closeTimeout bounds the wait for answers under way to be written at a stop.
	serverStopTimeout = 300 * time.Millisecond
	// nodeStopMargin is added to the daemon's own limits for a planned stop.
	nodeStopMargin = 2 * time.Second
)

// Run runs the daemon until SIGTERM or SIGINT.
func (c *nodeCommand) Run(s *streams, l *schema.LogSettings) error {
	// First of all: without a handler the signal ends the process.
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
	logWriter := logging.NewAsyncWriter(s.out) // the platform collects the standard output
	defer logWriter.Close(logFlushTimeout)
	s = &streams{in: s.in, out: s.out, err: logWriter}
	return runApp(newApp(s, l, c.StopDelay+c.StopTimeout+nodeStopMargin,
		fx.Supply(settings, c.NodeSettings, hup, logWriter),
		fx.Provide(newNode, newNodeServers),
		fx.Invoke(addNodeHooks, reloadSettings),
	))
}

// reloadSettings reads the settings file again at SIGHUP and whenever it has changed, as
// the platform doesn't always say so. New seeds are taken; what the process listens on
// and talks to is fixed at its start.
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
				log.WithFields(logrus.Fields{"event": "settings_invalid", "error": err}).Error("the settings in force stay")
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

// settingsCheck is the time between two looks at the settings file.
const settingsPollInterval = 2 * time.Second

func newNode(s platform.Settings, c schema.NodeSettings, log *logrus.Logger, logWriter *logging.AsyncWriter) (*node.Node, error) {
	n, err := node.New(node.Config{
		Name: s.Name, Domain: s.Domain, Cores: s.Cores, LinkMbps: s.LinkMbps, FirstStart: s.Bootstrap, Address: s.PeerAddress, Listen: c.PeerListen, Seeds: s.SeedPeers, FeedPort: s.RelayAddress.Port(),
		Lease: min(c.Lease, s.MaxWorkerLease), MaxLease: s.MaxWorkerLease, StopWithin: s.WorkerStopTimeout, EntryTTL: max(c.EntryTtl, s.MinStoreLease),
		StopDelay: c.StopDelay, StopTimeout: c.StopTimeout, StoreWrites: s.StoreWritesPerSecond, Retention: s.StateRetention,
	}, platform.Connect(s), log)
	if err != nil {
		return nil, err
	}
	n.PublishGauge("log_lines_left_out", func() float64 { return float64(logWriter.DroppedLines()) })
	return n, nil
}

// nodeServers are the HTTP servers of a daemon.
type nodeServers struct {
	servers   []*httpstop.Server
	addresses []netip.AddrPort
}

func newNodeServers(s platform.Settings, c schema.NodeSettings, n *node.Node) *nodeServers {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.NoRoute(func(c *gin.Context) {
		// gin has set 404 for a path without a route; the handler decides.
		c.Status(http.StatusOK)
		if n.Stopping() {
			c.Header("Connection", "close") // callers on open connections go elsewhere
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

// metricsHandler serves the daemon's counters at /metrics.
func metricsHandler(n *node.Node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		n.WriteMetrics(w)
	})
	return mux
}

// start listens on all addresses.
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

// stop ends the servers once the requests in progress are answered.
func (s *nodeServers) stop(ctx context.Context) error {
	var first error
	for _, server := range s.servers {
		if err := server.Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// hookNode starts the daemon before its servers. At a stop the daemon serves on until
// the balancer has noticed and its jobs are answered, then the servers end.
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
