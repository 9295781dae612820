// Heartbeats: the exchange with the peers, and the view of them that results.

package entry

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

// refreshRetryPause is the time between attempts to refresh the view.
const refreshRetryPause = 20 * time.Millisecond

// membership exchanges heartbeats with the peers and maintains the view of them.
type membership struct {
	clock    *clock.Clock
	client   *peer.Client
	log      logrus.FieldLogger
	metrics  *Metrics
	interval time.Duration
	self     member.Process
	domain   string
	// onChange is called when the set of live peers has changed.
	onChange func()
	// onHeartbeat is called for each heartbeat of a peer.
	onHeartbeat func(*schema.Heartbeat)
	// fillHeartbeat adds the state of the entry's other parts to an outgoing heartbeat.
	fillHeartbeat func(*schema.Heartbeat)
	// identifierLifetime returns the time after the minting of an identifier after which its owner neither
	// starts the job nor reports an answer.
	identifierLifetime func() time.Duration

	mu       sync.Mutex
	view     *member.View
	schedule *member.HeartbeatSchedule
	// slotsReleased is set when this entry is stopping and no longer needs its slots.
	slotsReleased bool
	// lastRound is the time of the latest heartbeat round. A late round shows a pause of this process.
	lastRound time.Duration
}

// withView calls fn with the view, under the lock.
func (m *membership) withView(fn func(v *member.View)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn(m.view)
}

// members returns the addresses of the entries that share the slots of this failure domain.
func (m *membership) members() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Members()
}

// isEntry reports whether an address belongs to an entry.
func (m *membership) isEntry(a netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Known(a)
}

// successor returns the process that keeps the answers of p now.
func (m *membership) successor(p member.Process) member.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Successor(p)
}

// setCandidates sets the candidates for peers: the entries of the VM list and the seeds of the settings.
func (m *membership) setCandidates(vms *schema.VmList, seeds []netip.AddrPort) {
	c := make(map[netip.AddrPort]string)
	for _, a := range seeds {
		c[a] = ""
	}
	for _, vm := range vms.GetVms() {
		a, err := netip.ParseAddrPort(vm.GetAddress())
		if err == nil && vm.GetRole() == schema.VmRole_VM_ROLE_ENTRY {
			c[a] = vm.GetDomain()
		}
	}
	m.withView(func(v *member.View) { v.SetCandidates(c) })
}

// heartbeat returns this entry's heartbeat.
func (m *membership) heartbeat() *schema.Heartbeat {
	h := &schema.Heartbeat{
		Address:     m.self.Address.String(),
		Incarnation: m.self.Incarnation,
		Domain:      m.domain,
	}
	m.mu.Lock()
	h.Stopping = m.slotsReleased
	m.view.Successors(m.clock.Now(), func(stopped, successor member.Process, keep time.Duration) {
		h.Successors = append(h.Successors, successorMessage(stopped, successor, keep))
	})
	m.mu.Unlock()
	m.fillHeartbeat(h)
	h.SettleMs = m.identifierLifetime().Milliseconds()
	h.ClockMs = m.clock.Now().Milliseconds()
	return h
}

func successorMessage(stopped, successor member.Process, keep time.Duration) *schema.Successor {
	return &schema.Successor{
		Address:              stopped.Address.String(),
		Incarnation:          stopped.Incarnation,
		Successor:            successor.Address.String(),
		SuccessorIncarnation: successor.Incarnation,
		KeepMs:               keep.Milliseconds(),
	}
}

// handleHeartbeat handles a peer's heartbeat.
func (m *membership) handleHeartbeat(h *schema.Heartbeat) {
	address, err := netip.ParseAddrPort(h.GetAddress())
	if err != nil {
		return
	}
	p := member.Peer{
		Address:            address,
		Incarnation:        h.GetIncarnation(),
		Domain:             h.GetDomain(),
		Stopping:           h.GetStopping(),
		FreeSlots:          int(h.GetFreeSlots()),
		ConfigRevision:     h.GetConfigRevision(),
		VMListVersion:      h.GetVmListVersion(),
		Clock:              time.Duration(h.GetClockMs()) * time.Millisecond,
		IdentifierLifetime: time.Duration(h.GetSettleMs()) * time.Millisecond,
	}
	m.mu.Lock()
	restarted := m.view.Peer(address) == nil || m.view.Peer(address).Incarnation != p.Incarnation
	changed := m.view.HandleHeartbeat(m.clock.Now(), p)
	m.schedule.HandleExchange(m.clock.Now(), address)
	for _, s := range h.GetSuccessors() {
		m.handleSuccessor(s)
	}
	m.mu.Unlock()
	if restarted {
		m.client.CloseStale(address, p.Clock)
	}
	if changed {
		m.log.WithFields(logrus.Fields{"event": "peer_changed", "peer": address, "stopping": p.Stopping}).Info("peer is alive")
		m.onChange()
	}
	m.onHeartbeat(h)
}

// handleSuccessor records the successor of a stopped process. The caller holds the lock.
func (m *membership) handleSuccessor(s *schema.Successor) {
	stopped, err1 := netip.ParseAddrPort(s.GetAddress())
	successor, err2 := netip.ParseAddrPort(s.GetSuccessor())
	if err1 != nil || err2 != nil {
		return
	}
	m.view.SetSuccessor(
		m.clock.Now(),
		member.Process{Address: stopped, Incarnation: s.GetIncarnation()},
		member.Process{Address: successor, Incarnation: s.GetSuccessorIncarnation()},
		time.Duration(s.GetKeepMs())*time.Millisecond,
	)
}

// run sends heartbeats until the context ends.
func (m *membership) run(ctx context.Context) {
	t := time.NewTicker(m.interval)
	defer t.Stop()
	for {
		m.heartbeatRound(ctx, m.heartbeatDue)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// heartbeatDue reports whether a heartbeat to an address is due. The caller holds the lock.
func (m *membership) heartbeatDue(a netip.AddrPort) bool {
	return m.schedule.Due(m.clock.Now(), a, m.view.Domain(a), m.view.Peer(a) != nil)
}

// heartbeatRound removes the peers whose time-out has passed, and sends a heartbeat to every candidate for
// which include returns true (all if nil).
func (m *membership) heartbeatRound(ctx context.Context, include func(netip.AddrPort) bool) {
	changed := false
	m.withView(func(v *member.View) {
		now := m.clock.Now()
		if late := now - m.lastRound - m.interval; m.lastRound != 0 && late > clock.PauseThreshold {
			v.HandlePause(now, late)
		}
		m.lastRound = now
		changed = v.Tick(now)
	})
	if changed {
		m.log.WithField("event", "peer_changed").Warn("a peer sent no heartbeat within its time-out")
		m.onChange()
	}
	m.sendHeartbeats(ctx, include)
}

// sendHeartbeats sends a heartbeat to every candidate for which include returns true. If include is nil,
// it sends one to all, for an update that must not wait. The returned group is done when each candidate
// has answered or has timed out.
func (m *membership) sendHeartbeats(ctx context.Context, include func(netip.AddrPort) bool) *sync.WaitGroup {
	var candidates []netip.AddrPort
	m.withView(func(v *member.View) {
		candidates = v.Candidates()
		m.schedule.RemoveUnlisted(candidates)
		if include != nil {
			candidates = slices.DeleteFunc(candidates, func(a netip.AddrPort) bool { return !include(a) })
		}
	})
	var pending sync.WaitGroup
	if len(candidates) == 0 {
		return &pending
	}
	h := m.heartbeat()
	for _, a := range candidates {
		pending.Go(func() { m.exchangeHeartbeat(ctx, a, h) })
	}
	return &pending
}

// announce sends a heartbeat to every candidate and waits for the answers. After it, every reachable peer
// has the current state of this entry.
func (m *membership) announce(ctx context.Context) { m.sendHeartbeats(ctx, nil).Wait() }

// refreshView exchanges heartbeats until every live peer has answered, at most for the given time. The
// first call after a pause often fails, because its connection timed out during the pause.
func (m *membership) refreshView(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := m.clock.Now()
	for {
		m.announce(ctx)
		allHeard := false
		m.withView(func(v *member.View) { allHeard = v.AllHeardSince(start) })
		if allHeard || !clock.Sleep(ctx, refreshRetryPause) {
			return
		}
	}
}

// releaseSlots tells the peers that they can use this entry's slots.
func (m *membership) releaseSlots(ctx context.Context) {
	m.withView(func(*member.View) { m.slotsReleased = true })
	m.announce(ctx)
}

// announceSuccessor tells the peers which process keeps the answers of this one.
func (m *membership) announceSuccessor(ctx context.Context, successor member.Process) {
	m.withView(func(v *member.View) { v.SetSuccessor(m.clock.Now(), m.self, successor, m.identifierLifetime()) })
	m.announce(ctx)
}

// successorCandidates returns the live peers that may take over the answers. Those of this failure domain
// come first, because a partition is less likely to separate them from this entry.
func (m *membership) successorCandidates() []member.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sameDomain, otherDomains []member.Process
	for _, p := range m.view.Live("") {
		process := member.Process{Address: p.Address, Incarnation: p.Incarnation}
		switch {
		case p.Stopping:
		case p.Domain == m.domain:
			sameDomain = append(sameDomain, process)
		default:
			otherDomains = append(otherDomains, process)
		}
	}
	return append(sameDomain, otherDomains...)
}

// liveness returns what is certain about the owner of an identifier.
func (m *membership) liveness(owner member.Process, minted time.Duration) member.Liveness {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Liveness(m.clock.Now(), owner, minted)
}

// exchangeHeartbeat sends a heartbeat and handles the peer's heartbeat in the answer.
func (m *membership) exchangeHeartbeat(ctx context.Context, to netip.AddrPort, h *schema.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, 2*m.interval)
	defer cancel()
	m.metrics.countMessage("heartbeat")
	reply, failure := m.client.Call(ctx, to, &schema.Request{Body: &schema.Request_Heartbeat{Heartbeat: h}})
	if failure != nil {
		m.withView(func(*member.View) { m.schedule.HandleFailure(m.clock.Now(), to) })
		return
	}
	if answer := reply.GetHeartbeat(); answer != nil {
		m.handleHeartbeat(answer)
	}
}
