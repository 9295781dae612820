// The entry daemon: construction, connections between its parts, readiness, gauges and status.

package entry

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/backend"
	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/internal/platform"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/submission"
	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// tickInterval is the time between ticks of the scheduler.
	tickInterval = 10 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to a peer is kept. It is longer than any interval
	// between heartbeats.
	peerIdleTimeout = 15 * time.Second
	// sweepInterval is the time between sweeps of ended submissions.
	sweepInterval = time.Second
	// maxReplyBytes bounds the result of one task.
	maxReplyBytes = 8 << 20
)

// Entry is an entry daemon.
type Entry struct {
	settings    schema.EntrySettings
	schedConfig sched.Config
	log         logrus.FieldLogger
	clock       *clock.Clock
	metrics     *Metrics
	state       *state
	workers     *workers
	loans       *loans
	members     *membership
	router      *router
	callerAPI   *callerAPI
	operatorAPI *operatorAPI
	quotas      *quotas
	syncer      *syncer
	peerAPI     *peerAPI
	backend     *backend.Client
	peerClient  *peer.Client
	platform    *platform.Client
	servers     servers
	handover    *handover
	// stopping is set when a planned stop begins. sealed is set when the entry no longer starts jobs.
	stopping atomic.Bool
	sealed   atomic.Bool
	// inFlight is the number of callers' requests in progress.
	inFlight atomic.Int64
	// requests is the parent context of all HTTP requests.
	requests       context.Context
	cancelRequests context.CancelFunc
	cancel         context.CancelFunc
	wg             sync.WaitGroup
}

// New returns an entry that has not been started. Start starts it.
func New(c schema.EntrySettings, cred peer.Credentials, log *logrus.Logger) (*Entry, error) {
	return NewWithScheduler(c, cred, log, sched.DefaultConfig())
}

// NewWithScheduler returns an entry with the given scheduler settings instead of the default ones, for
// experiments.
func NewWithScheduler(c schema.EntrySettings, cred peer.Credentials, log *logrus.Logger, s sched.Config) (*Entry, error) {
	if err := CheckSettings(c); err != nil {
		return nil, err
	}
	e := &Entry{
		settings:    c,
		schedConfig: s,
		log:         log,
		clock:       clock.New(),
		metrics:     NewMetrics(),
		state:       newState(),
		peerClient:  peer.NewClient(cred, listenAddress(c).Addr()),
		platform:    platform.NewClientTimeout(c.PlatformUrl, c.PlatformTimeout),
		backend: backend.NewClient(backend.Config{
			IdleTimeout:    c.WorkerIdleTimeout,
			ReuseTimeout:   c.WorkerReuseTimeout,
			DialTimeout:    c.WorkerDialTimeout,
			SilenceTimeout: c.WorkerSilenceTimeout,
			MaxReplyBytes:  maxReplyBytes,
		}),
	}
	e.servers.cred = cred
	e.servers.limits = defaultHTTPLimits
	e.requests, e.cancelRequests = context.WithCancel(context.Background())
	return e, nil
}

// listenAddress returns the address on which the entry listens for peers.
func listenAddress(c schema.EntrySettings) netip.AddrPort {
	if c.PeerListen.IsValid() {
		return c.PeerListen
	}
	return c.PeerAddress
}

// assemble creates the parts of the entry and connects them. It needs the entry's peer address.
func (e *Entry) assemble(self netip.AddrPort) {
	minter := submission.NewMinter(self)
	e.schedConfig.Domain = e.settings.Domain
	d := newDispatcher(e.clock, e.backend, e.metrics, e.schedConfig)
	process := member.Process{Address: self, Incarnation: minter.Incarnation()}
	e.syncer = &syncer{
		state: e.state, platform: e.platform, client: e.peerClient, clock: e.clock, log: e.log, metrics: e.metrics,
		watchWait: e.settings.PlatformWatchWait,
	}
	e.members = e.newMembership(process)
	e.workers = &workers{
		clock: e.clock, state: e.state, members: e.members, dispatcher: d, client: e.backend,
		domain: e.settings.Domain, leaving: member.NewLeavingWorkers(),
	}
	e.loans = &loans{self: process, client: e.peerClient, members: e.members, dispatcher: d, metrics: e.metrics}
	d.onBorrow, d.onReturn, d.onFreeSlotsHint = e.loans.borrow, e.loans.returnSlots, e.loans.sendHint
	e.quotas = newQuotas(e, d)
	subs := newSubmissions(e, minter, d)
	e.router = &router{
		clock: e.clock, minter: minter, submissions: subs, members: e.members,
		client: e.peerClient, metrics: e.metrics, predecessors: submission.NewPredecessors(),
		successorsKnownAt: e.settings.PeerTimeout,
	}
	e.handover = e.newHandover(subs)
	e.callerAPI = &callerAPI{router: e.router, state: e.state, checkAcceptsWork: e.checkAcceptsWork, writeLimit: e.servers.limits.write}
	e.peerAPI = &peerAPI{
		router: e.router, members: e.members, syncer: e.syncer, loans: e.loans, handover: e.handover, status: e.Status,
	}
	e.operatorAPI = e.newOperatorAPI()
	d.onWorkerLeaving = func(worker string) { e.workers.markLeaving(worker) }
	d.onPause = e.handlePause
	e.state.subscribe(e.handleStateChange)
	e.publishGauges()
}

func (e *Entry) newMembership(self member.Process) *membership {
	return &membership{
		clock:    e.clock,
		client:   e.peerClient,
		log:      e.log,
		metrics:  e.metrics,
		interval: e.settings.HeartbeatInterval,
		self:     self,
		domain:   e.settings.Domain,
		view: member.NewView(member.Config{
			Self:          self.Address,
			Incarnation:   self.Incarnation,
			Domain:        e.settings.Domain,
			Timeout:       e.settings.PeerTimeout,
			RemoteTimeout: cmp.Or(e.settings.RemotePeerTimeout, e.settings.PeerTimeout),
		}),
		schedule: member.NewHeartbeatSchedule(member.HeartbeatScheduleConfig{
			Domain:         e.settings.Domain,
			Interval:       e.settings.HeartbeatInterval,
			RemoteInterval: cmp.Or(e.settings.RemoteHeartbeatInterval, e.settings.HeartbeatInterval),
		}),
		onChange:           e.handleMembersChange,
		onHeartbeat:        e.handleHeartbeat,
		fillHeartbeat:      e.fillHeartbeat,
		identifierLifetime: e.identifierLifetime,
	}
}

// handleMembersChange updates the parts that depend on the set of live peers.
func (e *Entry) handleMembersChange() {
	e.workers.update()
	e.loans.updatePeers()
	e.quotas.updateShares()
}

func (e *Entry) newHandover(subs *submissions) *handover {
	return &handover{
		clock:        e.clock,
		submissions:  subs,
		predecessors: e.router.predecessors,
		members:      e.members,
		client:       e.peerClient,
		log:          e.log,
		metrics:      e.metrics,
		stopping:     e.stopping.Load,
	}
}

// identifierLifetime returns the time after the minting of an identifier after which its owner neither
// starts the job nor reports an answer.
func (e *Entry) identifierLifetime() time.Duration {
	deadline := time.Duration(e.state.config().Document().GetLimits().GetMaxDeadlineMs()) * time.Millisecond
	return e.settings.IdentifierWindow + deadline + e.settings.AnswerRetention
}

// handlePause refreshes the view of the peers after a pause of the process, and then lets tasks start
// again. The peers' answers show which peers are alive and which workers are leaving. A peer that has
// answered counts this entry as alive again.
func (e *Entry) handlePause(late time.Duration) {
	e.metrics.count("pauses", "noticed_by", "tick")
	e.log.WithFields(logrus.Fields{"event": "paused", "late": late}).Warn("the process was paused; querying the peers before starting tasks")
	e.members.refreshView(context.Background(), e.settings.PeerTimeout)
	e.workers.dispatcher.endPause()
}

// handleHeartbeat handles a peer's heartbeat.
func (e *Entry) handleHeartbeat(h *schema.Heartbeat) {
	e.workers.handleLeaving(h.GetLeaving())
	e.loans.handleHeartbeat(h)
	e.quotas.handleHeartbeat(h)
	e.wg.Go(func() { e.syncer.fetchFromPeer(context.Background(), h) })
}

// fillHeartbeat adds this entry's state to an outgoing heartbeat.
func (e *Entry) fillHeartbeat(h *schema.Heartbeat) {
	h.ConfigRevision = e.state.config().Revision()
	h.VmListVersion = e.state.vmList().GetVersion()
	load := e.workers.dispatcher.load()
	h.FreeSlots, h.WantedSlots = uint32(load.Lendable), uint32(load.MissingSlots)
	h.Leaving = e.workers.leavingList()
	e.quotas.fillHeartbeat(h)
}

// handleStateChange updates the parts that depend on the configuration or the VM list.
func (e *Entry) handleStateChange() {
	e.members.setCandidates(e.state.vmList(), e.settings.SeedPeers)
	e.workers.update()
	e.quotas.updateShares()
}

func (e *Entry) publishGauges() {
	load := e.workers.dispatcher.load
	e.metrics.gauge("running_tasks", func() float64 { return float64(load().Running) })
	e.metrics.gauge("waiting_tasks", func() float64 { return float64(load().Waiting) })
	e.metrics.gauge("slots", func() float64 { return float64(load().Slots) })
	e.metrics.gauge("free_slots", func() float64 { return float64(load().Free) })
	e.metrics.gauge("borrowed_slots", func() float64 { return float64(load().Borrowed) })
	e.metrics.gauge("lent_slots", func() float64 { return float64(load().Lent) })
	e.metrics.gauge("ejected_workers", func() float64 { return float64(load().Ejected) })
	e.metrics.gauge("members", func() float64 { return float64(len(e.members.members())) })
	e.metrics.gauge("leaving_workers", func() float64 { return float64(len(e.workers.leavingList())) })
	e.metrics.gauge("config_revision", func() float64 { return float64(e.state.config().Revision()) })
	e.metrics.gauge("platform_config_revision", func() float64 { return float64(e.syncer.platformRevision()) })
	e.metrics.gauge("alarms", func() float64 { return float64(len(e.alarms())) })
	e.metrics.gauge("submissions", func() float64 { return float64(e.router.submissions.table.Len()) })
	e.publishTrafficGauges()
	e.metrics.gauge("answer_bytes", func() float64 { return float64(e.router.submissions.table.Bytes()) })
}

// publishTrafficGauges publishes the amount of control traffic.
func (e *Entry) publishTrafficGauges() {
	peers := func() peer.Traffic { return e.peerClient.Traffic().Add(e.servers.peer.Traffic()) }
	calls := &e.platform.Traffic
	e.metrics.gauge(`peer_bytes_total{direction="sent"}`, func() float64 { return float64(peers().BytesSent) })
	e.metrics.gauge(`peer_bytes_total{direction="received"}`, func() float64 { return float64(peers().BytesReceived) })
	e.metrics.gauge(`peer_packets_total{direction="sent"}`, func() float64 { return float64(peers().PacketsSent) })
	e.metrics.gauge(`peer_packets_total{direction="received"}`, func() float64 { return float64(peers().PacketsReceived) })
	e.metrics.gauge(`platform_bytes_total{direction="sent"}`, func() float64 { return float64(calls.Sent.Load()) })
	e.metrics.gauge(`platform_bytes_total{direction="received"}`, func() float64 { return float64(calls.Received.Load()) })
}

// checkReady returns the reason why the load balancer must not send work, or nil if the entry is ready.
func (e *Entry) checkReady() *verdict.Failure {
	if e.stopping.Load() {
		return verdict.New(verdict.NotRun, verdict.Stopping, "this entry is stopping; ask another").WithRetryAfter(time.Second)
	}
	return e.checkCanServe()
}

// checkCanServe returns the reason why this entry cannot run jobs, or nil if it can.
func (e *Entry) checkCanServe() *verdict.Failure {
	if why := e.state.missing(); why != "" {
		return verdict.New(verdict.NotRun, verdict.NotReady, "%s", why).WithRetryAfter(time.Second)
	}
	return checkNotRetired(e.state, e.settings.Domain)
}

// Ready reports whether the entry accepts new work.
func (e *Entry) Ready() bool { return e.checkReady() == nil }

// alarms returns the conditions that need an operator's attention.
func (e *Entry) alarms() []string {
	list := e.syncer.alarms()
	if e.state.config().Retired(e.settings.Domain) {
		list = append(list, AlarmDomainRetired+": failure domain "+e.settings.Domain+" is retired; this entry accepts no new work")
	}
	return list
}

// Status returns the status of the entry.
func (e *Entry) Status() *schema.StatusReply {
	load := e.workers.dispatcher.load()
	s := &schema.StatusReply{
		Address:       e.members.self.Address.String(),
		Incarnation:   e.members.self.Incarnation,
		Domain:        e.settings.Domain,
		VmListVersion: e.state.vmList().GetVersion(),
		RunningTasks:  uint32(load.Running),
		WaitingTasks:  uint32(load.Waiting),
		Slots:         uint32(load.Slots),
		Ready:         true,
	}
	s.Alarms = e.alarms()
	s.TeamRates = e.quotas.teamRates()
	for worker, n := range e.workers.dispatcher.runningByWorker() {
		s.RunningOn = append(s.RunningOn, &schema.WorkerSlots{Worker: worker, Slots: uint32(n)})
	}
	s.ConfigRevision = e.state.config().Revision()
	if f := e.checkReady(); f != nil {
		s.Ready = false
		s.NotReadyBecause = f.Message
	}
	return s
}
