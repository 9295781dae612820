// The daemon: settings, life cycle, and the loop that runs the state machines.

package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/arbiter"
	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/routing"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Config holds a daemon's own settings.
type Config struct {
	// Name of the VM, for logs and the registry.
	Name string
	// Domain is the failure domain.
	Domain string
	// Cores is the processor share that the VM gives the daemon; 0: not known. Daemons divide the
	// workers in proportion to it.
	Cores float64
	// Bootstrap: all daemons start for the first time, and none has a registry entry yet.
	Bootstrap bool
	// Address is the address at which peers reach the daemon.
	Address netip.AddrPort
	// Listen is the address to listen on for peers when it differs from Address.
	Listen netip.AddrPort
	// SeedPeers are addresses of peers to try first.
	SeedPeers []netip.AddrPort
	// RelayPort is the port on which the daemon serves the registry entries that it has read to
	// relays of other cells. It is the same on all VMs; 0: the daemon serves none, and every relay
	// reads the store.
	RelayPort uint16
	// Lease is how long each order extends a worker's lease on its runs. MaxLease and WorkerStopTimeout
	// are the workers' own bounds.
	Lease, MaxLease, WorkerStopTimeout time.Duration
	// EntryTTL is the time to live of the daemon's registry entry after its last renewal.
	EntryTTL time.Duration
	// StopDelay is how long a stopping daemon continues to serve, until the load balancer has
	// noticed the stop.
	StopDelay time.Duration
	// LinkMbps is the capacity of the VM's network link in Mbit/s; 0: not known.
	LinkMbps float64
	// StoreWritesPerSecond is the number of writes per second that the store accepts from all daemons
	// together; 0: unlimited.
	StoreWritesPerSecond float64
	// StateRetention is how long callers can query the state of an ended job.
	StateRetention time.Duration
	// StopTimeout bounds the wait for jobs in flight after StopDelay.
	StopTimeout time.Duration
}

// tickInterval is the time between two checks of deadlines. Shorter intervals cost wake-ups.
const tickInterval = 25 * time.Millisecond

// Node is the daemon.
type Node struct {
	config   Config
	platform Platform
	log      *logrus.Logger
	self     mesh.Peer
	mesh     *mesh.Mesh
	clock    *bootClock
	metrics  *metricSet

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// serving ends when the daemon must answer the callers that still wait, at a planned stop.
	serving     context.Context
	stopServing context.CancelFunc

	table atomic.Pointer[routing.Table]
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	stopping   atomic.Bool
	// cellResolved: the daemon knows its cell, or its read of the daemon entries failed.
	cellResolved atomic.Bool
	arbiters     arbiters
	// closing: the daemon accepts no more durable jobs.
	closing atomic.Bool

	mu          sync.Mutex
	executor    *executor.Executor
	coordinator *coordinator.Coordinator
	starts      *arbiter.Client
	quiescence  quiescenceChecks
	waiters     map[string]*waiter
	// ownCapacity is the buffer that ownExecutor fills with the executor's free capacity.
	ownCapacity   []executor.WorkerCapacity
	fleet         fleetView
	configuration configurationState
	durable       durableJobs
	// lastUpdateAt is when the state machines last ran.
	lastUpdateAt time.Duration
	// resumedAt is when this process last resumed after a standstill; 0: never.
	resumedAt time.Duration
	// arbiterSweepAt is when the arbiter next removes what has expired.
	arbiterSweepAt time.Duration
}

// New returns a daemon that listens for peers and is not started.
func New(c Config, p Platform, log *logrus.Logger) (*Node, error) {
	n := &Node{config: c, platform: p, log: log, clock: newBootClock(), metrics: newMetricSet(), waiters: make(map[string]*waiter), configured: make(chan struct{})}
	n.self = mesh.Peer{
		Process: member.Process{Address: c.Address, Incarnation: rand.Uint64()},
		Name:    c.Name, Domain: c.Domain, Weight: c.Cores,
	}
	n.executor = executor.New(executor.Config{Lease: c.Lease, MaxLease: c.MaxLease, StopTimeout: c.WorkerStopTimeout, TokenSource: tokenSource(n.self.Incarnation)})
	n.coordinator = coordinator.New(n.self.Process)
	n.arbiters.Arbiter, n.starts = arbiter.New(), arbiter.NewClient(n.self.Process, (*startView)(n))
	n.fleet = newFleetView()
	n.fleet.sync.copyLimiter.Mbps, n.configuration.copyLimiter.Mbps = c.LinkMbps, c.LinkMbps
	n.quiescence = newQuiescenceChecks()
	n.durable = newDurableJobs(n.self, c.StateRetention)
	n.publishDurableJobs()
	var err error
	if n.mesh, err = mesh.New(n.self, c.Listen, (*peerHandler)(n)); err != nil {
		return nil, err
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.serving, n.stopServing = context.WithCancel(context.Background())
	return n, nil
}

// tokenSource returns fencing tokens that grow with the time of day and differ between daemons.
// They need no store, so a daemon can take over a worker while the store is unreachable. A
// difference between two daemons' clocks delays a takeover by at most that difference. The tokens
// fit into 53 bits, as some JSON readers store numbers as floating point.
func tokenSource(incarnation uint64) func() uint64 {
	const processBits = 12
	return func() uint64 {
		return uint64(time.Now().UnixMilli())<<processBits | incarnation&(1<<processBits-1)
	}
}

// Start starts the daemon's goroutines.
func (n *Node) Start(context.Context) error {
	n.mesh.Start()
	n.wg.Go(n.linkDaemons)
	n.wg.Go(n.runTicks)
	n.wg.Go(func() { n.follow(n.platform.Configuration, configurationFollowConfig, false) })
	n.wg.Go(func() { n.follow(newCellFeed(n), fleetFollowConfig, true) })
	n.wg.Go(n.maintainOwnEntry)
	n.wg.Go(n.watchOwners)
	n.wg.Go(n.verifyOwnership)
	n.wg.Go(n.followCancellations)
	n.log.WithFields(logrus.Fields{
		"event": "started", "name": n.self.Name, "domain": n.self.Domain, "incarnation": n.self.Incarnation, "address": n.self.Address,
	}).Info()
	return nil
}

// Drain is the first part of a planned stop. The daemon continues to serve until the load balancer
// has noticed the stop, while its peers take over its workers. Then it waits for the jobs in
// flight.
func (n *Node) Drain(ctx context.Context) {
	n.stopping.Store(true)
	n.log.WithField("event", "stopping").Info()
	n.update(n.assignWorkers)
	clock.Sleep(ctx, n.config.StopDelay)
	n.closing.Store(true)
	bounded, cancel := context.WithTimeout(ctx, n.config.StopTimeout)
	defer cancel()
	n.awaitJobs(bounded)
	n.releaseOwnership(ctx)
	// Callers on open connections send jobs meanwhile; the daemon answers each of them in full.
	n.awaitJobs(bounded)
	n.stopServing()
	n.answerAll()
}

// whileServing returns a context that ends with the caller's and when the daemon stops serving. A
// call to a store that does not answer would otherwise delay the stop beyond its time-out.
func (n *Node) whileServing(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(n.serving, cancel)
	return ctx, func() { stop(); cancel() }
}

// Close ends the daemon and waits for its goroutines.
func (n *Node) Close() {
	n.stopServing()
	n.cancel()
	n.mesh.Close()
	n.wg.Wait()
	n.log.WithField("event", "stopped").Info()
}

// awaitJobs waits until no job is in flight or ctx ends.
func (n *Node) awaitJobs(ctx context.Context) {
	for ctx.Err() == nil && n.jobCount() > 0 {
		clock.Sleep(ctx, tickInterval)
	}
}

// answerAll answers all waiting callers: a job that takes longer than the grace time also gets an
// answer. The daemon refuses jobs that arrive later.
func (n *Node) answerAll() {
	n.update(func(now time.Duration) {
		for id := range n.waiters {
			n.coordinator.Cancel(now, id)
			n.handleJobAnswer(coordinator.Answer{Job: id, Status: coordinator.GivenUp, Reason: coordinator.ReasonStopping})
		}
	})
}

// Stopping reports whether a planned stop is in progress.
func (n *Node) Stopping() bool { return n.stopping.Load() }

func (n *Node) jobCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.waiters) + n.durable.ledger.Len()
}

func (n *Node) runTicks() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		}
		if jump := n.clock.sync(); jump > 0 {
			n.log.WithFields(logrus.Fields{"event": "suspended", "for": jump}).Warn()
		}
		n.update(func(now time.Duration) {
			n.fleetTick(now)
			n.requestNewerConfiguration(now)
			n.executor.Tick(now)
			n.coordinator.Tick(now)
			n.startsTick(now)
			n.durableTick(now)
		})
	}
}

// update calls f under the lock and then carries out the outputs of the state machines.
func (n *Node) update(f func(now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.now()
	n.detectGap(now)
	n.coordinator.UpdateExecutor(n.ownExecutor(now))
	f(now)
	for n.applyOutputs(now) {
	}
	n.startWrites(now)
}

// ownExecutor returns the state of this daemon's executor, as peers report theirs.
func (n *Node) ownExecutor(now time.Duration) coordinator.ExecutorState {
	// The buffer is reused, as this runs for each event. The coordinator keeps only the latest
	// report.
	n.ownCapacity = n.executor.AppendWorkerCapacities(n.ownCapacity[:0], now)
	return coordinator.ExecutorState{
		Process: n.self.Process, Domain: n.self.Domain, Workers: n.ownCapacity, Backlog: n.executor.Backlog(now), ReportedAt: now,
	}
}

// applyOutputs carries out the outputs of both state machines; false when there were none.
func (n *Node) applyOutputs(now time.Duration) bool {
	c, e := n.coordinator.Drain(), n.executor.Drain()
	n.logEvents(c.Events)
	n.logEvents(e.Events)
	for _, m := range c.Messages {
		n.sendToExecutor(now, m)
	}
	for _, a := range c.Answers {
		n.handleJobAnswer(a)
	}
	for _, id := range c.ProgressChanged {
		n.updateProgress(now, id)
	}
	for _, id := range c.Stopped {
		n.starts.ConfirmStopped(now, id)
	}
	for _, call := range e.Calls {
		if n.ctx.Err() == nil { // after the close orders would fail at once, and request the next ones
			n.wg.Go(func() { n.sendOrder(call) })
		}
	}
	for _, id := range e.DroppedWorkers {
		n.platform.Workers.CloseConnections(id)
	}
	n.sendReports(now, e.Reports)
	for _, t := range e.Takeovers {
		n.requestClaims(now, t)
	}
	if len(e.JobsToLookUp) > 0 {
		n.lookUpJobStates(now, e.JobsToLookUp)
	}
	decided := n.applyStartOutputs(now)
	return decided || len(c.Messages)+len(e.Reports)+len(e.Takeovers)+len(e.Calls) > 0
}

// sendOrder sends one order to a worker and gives the answer to the executor.
func (n *Node) sendOrder(c executor.Call) {
	a := n.platform.Workers.Do(n.ctx, c)
	n.metrics.countOrder(c.Kind, a.Verdict)
	n.update(func(now time.Duration) { n.executor.HandleAnswer(now, c, a) })
}

func (n *Node) sendToExecutor(now time.Duration, m coordinator.Message) {
	if m.To != n.self.Process {
		n.mesh.Send(m.To, messageToWire(now, m))
		return
	}
	switch {
	case m.Claims != nil:
		n.executor.HandleClaims(now, *m.Claims)
	case m.Offer != nil:
		n.executor.Offer(now, n.self.Process, m.Offer)
	case m.Reclaim != nil:
		n.executor.Reclaim(now, n.self.Process, m.Reclaim)
	case m.WithdrawDurable != nil:
		n.executor.WithdrawDurable(now, n.self.Process, m.WithdrawDurable)
	case m.ConfirmStored != nil:
		n.executor.ConfirmStored(now, m.ConfirmStored)
	case m.Superseded != nil:
		n.executor.MarkSuperseded(m.Superseded)
	case m.Reserve != nil:
		n.executor.Reserve(now, n.self.Process, m.Reserve)
	case m.Unreserve != nil:
		n.executor.Unreserve(now, n.self.Process, m.Unreserve)
	case m.Reconcile != nil:
		n.executor.Reconcile(now, n.self.Process, m.Reconcile)
	default:
		n.executor.Withdraw(now, n.self.Process, m.Withdraw, m.Confirm)
	}
}

func (n *Node) sendReports(now time.Duration, reports []executor.OwnedReport) {
	byOwner := make(map[member.Process]*schema.Reports)
	for _, r := range reports {
		if r.Outcome != 0 && r.Reason != executor.ReasonReserved {
			n.metrics.countReport(r.Outcome)
		}
		if r.Owner == n.self.Process {
			n.coordinator.HandleReport(now, n.self.Process, r.Report)
			continue
		}
		list := byOwner[r.Owner]
		if list == nil {
			list = new(schema.Reports)
			byOwner[r.Owner] = list
		}
		list.Reports = append(list.Reports, reportToWire(r.Report))
	}
	for owner, list := range byOwner {
		n.mesh.Send(owner, &schema.Frame{Body: &schema.Frame_Reports{Reports: list}})
	}
}

// requestClaims asks all coordinators for their runs on a worker that the executor took over.
func (n *Node) requestClaims(now time.Duration, t executor.Takeover) {
	if t.To == n.self.Process {
		n.coordinator.HandleTakeover(now, n.self.Process, t)
		return
	}
	if t.To != (member.Process{}) {
		n.mesh.Send(t.To, takeoverToWire(t))
		return
	}
	asked := []member.Process{n.self.Process}
	for _, p := range n.mesh.Peers() {
		asked = append(asked, p.Process)
		n.mesh.Send(p.Process, takeoverToWire(t))
	}
	n.executor.ExpectClaims(now, t.Worker, asked)
	n.coordinator.HandleTakeover(now, n.self.Process, t)
}
