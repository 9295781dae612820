// Life cycle: listening sockets, background loops, and closing. stop.go has the planned stop.

package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/httpstop"
	"github.com/lavendercleat/lavendercleat/internal/peer"
)

// maxHeaderBytes bounds the header of a request, in bytes.
const maxHeaderBytes = 16 << 10

// httpLimits bounds what one connection may use.
type httpLimits struct {
	// readHeader bounds the time until the header of a request has arrived, read the time until the whole
	// request has arrived.
	readHeader time.Duration
	read       time.Duration
	// write bounds the time in which the caller must read its reply.
	write       time.Duration
	idle        time.Duration
	headerBytes int
}

// defaultHTTPLimits suit callers on mobile networks.
var defaultHTTPLimits = httpLimits{
	readHeader:  5 * time.Second,
	read:        30 * time.Second,
	write:       30 * time.Second,
	idle:        time.Minute,
	headerBytes: maxHeaderBytes,
}

// servers holds the entry's listening sockets.
type servers struct {
	cred   peer.Credentials
	limits httpLimits
	peer   *peer.Server
	http   []*httpstop.Server
	// callerHTTP serves the caller interface.
	callerHTTP *httpstop.Server
	caller     netip.AddrPort
	operator   netip.AddrPort
	metrics    netip.AddrPort
}

// Start opens the listening sockets and starts the background loops.
func (e *Entry) Start(context.Context) error {
	handler := &deferredHandler{ready: make(chan struct{})}
	server, err := peer.Listen(listenAddress(e.settings), e.servers.cred, handler)
	if err != nil {
		return errors.Wrap(err, "--peer-address")
	}
	e.servers.peer = server
	self := e.settings.PeerAddress
	if self.Port() == 0 {
		self = server.Address()
	}
	e.assemble(self)
	handler.set(e.peerAPI)
	if err := e.listenHTTP(); err != nil {
		return errors.CombineErrors(err, e.close())
	}
	e.startBackground()
	e.log.WithFields(logrus.Fields{
		"event": "started", "domain": e.settings.Domain, "peer": self, "callers": e.servers.caller,
		"operators": e.servers.operator, "metrics": e.servers.metrics,
	}).Info("entry started")
	return nil
}

func (e *Entry) listenHTTP() error {
	var err error
	if e.servers.caller, err = e.serveHTTP(e.settings.CallerAddress, e.trackRequests(e.callerAPI.handler())); err != nil {
		return errors.Wrap(err, "--caller-address")
	}
	e.servers.callerHTTP = e.servers.http[0]
	if e.servers.operator, err = e.serveHTTP(e.settings.OperatorAddress, e.operatorAPI.handler()); err != nil {
		return errors.Wrap(err, "--operator-address")
	}
	if e.servers.metrics, err = e.serveHTTP(e.settings.MetricsAddress, e.monitoringHandler()); err != nil {
		return errors.Wrap(err, "--metrics-address")
	}
	return nil
}

func (e *Entry) serveHTTP(at netip.AddrPort, h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	limits := e.servers.limits
	s := httpstop.New(&http.Server{
		Handler:           h,
		ReadHeaderTimeout: limits.readHeader,
		ReadTimeout:       limits.read,
		WriteTimeout:      limits.write,
		IdleTimeout:       limits.idle,
		MaxHeaderBytes:    limits.headerBytes,
		BaseContext:       func(net.Listener) context.Context { return e.requests },
	})
	e.servers.http = append(e.servers.http, s)
	go s.Serve(l)
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// startBackground starts the loops that run until the entry stops.
func (e *Entry) startBackground() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.members.setCandidates(e.state.vmList(), e.settings.SeedPeers)
	e.wg.Go(func() { e.syncer.watchConfig(ctx) })
	e.wg.Go(func() { e.syncer.watchVMs(ctx) })
	e.wg.Go(func() { e.members.run(ctx) })
	e.wg.Go(func() { runEvery(ctx, tickInterval, e.tick) })
	e.wg.Go(func() { runEvery(ctx, sweepInterval, e.sweep) })
	e.wg.Go(func() { runEvery(ctx, demandPeriod, e.quotas.endDemandPeriod) })
	e.wg.Go(func() { runEvery(ctx, peerIdleTimeout, func() { e.peerClient.CloseIdle(peerIdleTimeout) }) })
}

// runEvery calls fn at an interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, fn func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			fn()
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) tick() {
	e.router.submissions.pauses.Tick(e.clock.Now())
	e.router.submissions.dispatcher.tick()
}

func (e *Entry) sweep() { e.router.submissions.table.Sweep(e.clock.Now()) }

// CallerAddress returns the address of the caller interface.
func (e *Entry) CallerAddress() netip.AddrPort { return e.servers.caller }

// OperatorAddress returns the address of the operator interface.
func (e *Entry) OperatorAddress() netip.AddrPort { return e.servers.operator }

// MetricsAddress returns the address of /metrics.
func (e *Entry) MetricsAddress() netip.AddrPort { return e.servers.metrics }

// PeerAddress returns the address of the peer interface.
func (e *Entry) PeerAddress() netip.AddrPort { return e.members.self.Address }

// PeerListenAddress returns the address on which the entry listens for peers.
func (e *Entry) PeerListenAddress() netip.AddrPort { return e.servers.peer.Address() }

// Abort stops everything at once, as if the process had died: callers get no reply, and no answers are
// handed over. It is for experiments.
func (e *Entry) Abort() error {
	e.workers.dispatcher.halt()
	return e.close()
}

// close closes all connections at once and waits for the background loops.
func (e *Entry) close() error {
	if e.cancel != nil {
		e.cancel()
	}
	e.cancelRequests()
	var err error
	for _, s := range e.servers.http {
		err = errors.CombineErrors(err, s.Close())
	}
	e.peerClient.Close()
	err = errors.CombineErrors(err, e.servers.peer.Close())
	e.backend.Close()
	e.platform.Close()
	e.wg.Wait()
	return err
}
