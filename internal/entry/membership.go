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

// refreshPause is the pause before the peers are asked again.
const refreshRetryPause = 20 * time.Millisecond

// membership exchanges heartbeats with the peers and keeps the view of them.
type membership struct {
	clock    *clock.Clock
	client   *peer.Client
	log      logrus.FieldLogger
	metrics  *Metrics
	interval time.Duration
	self     member.Process
	domain   string
	// onChange is called when the set of live peers changed.
	onChange func()
	// onHeartbeat is told of each peer's heartbeat.
	onHeartbeat func(*schema.Heartbeat)
	// fill adds what this entry has to tell to an outgoing heartbeat.
	fillHeartbeat func(*schema.Heartbeat)
	// settle returns the time after an identifier's minting after which its owner
	// neither starts its job nor tells an answer of it.
	identifierLifetime func() time.Duration

	mu       sync.Mutex
	view     *member.View
	schedule *member.HeartbeatSchedule
	// handedBack is set once this entry, which is stopping, needs its slots no more.
	slotsReleased bool
	// lastBeat is the time of the latest beat, by which a pause is noticed.
	lastRound time.Duration
}

// with runs fn on the view under its lock.
func (m *membership) withView(fn func(v *member.View)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn(m.view)
}

// members returns the addresses among which this domain's slots are divided.
func (m *membership) members() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Members()
}

// known tells whether an address belongs to an entry.
func (m *membership) isEntry(a netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Known(a)
}

// successor returns the process that keeps the answers of p.
func (m *membership) successor(p member.Process) member.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Successor(p)
}

// setCandidates takes the entries of the VM list and the settings.
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

// heartbeat returns what this entry tells its peers.
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

// take takes in a peer's heartbeat.
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

// due tells whether a heartbeat is due; called under the lock.
func (m *membership) heartbeatDue(a netip.AddrPort) bool {
	return m.schedule.Due(m.clock.Now(), a, m.view.Domain(a), m.view.Peer(a) != nil)
}

// beat drops silent peers and sends one heartbeat to every candidate that is wanted.
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
		m.log.WithField("event", "peer_changed").Warn("a peer went silent")
		m.onChange()
	}
	m.sendHeartbeats(ctx, include)
}

// send sends one heartbeat to every candidate that is wanted; to all for nil, when
// there is news that must not wait. The returned group ends when each has answered or
// did not in time.
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

// announce sends a heartbeat to every candidate and waits for their answers, so that
// those that can be reached know what it tells.
func (m *membership) announce(ctx context.Context) { m.sendHeartbeats(ctx, nil).Wait() }

// refresh asks the peers until each live one has answered, or for a time at most: the
// first call after a pause often fails, on a connection that timed out meanwhile.
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

// handBack tells the peers that this entry's slots are theirs.
func (m *membership) releaseSlots(ctx context.Context) {
	m.withView(func(*member.View) { m.slotsReleased = true })
	m.announce(ctx)
}

// stoppedGracefully tells the peers who keeps the answers of this process.
func (m *membership) announceSuccessor(ctx context.Context, successor member.Process) {
	m.withView(func(v *member.View) { v.SetSuccessor(m.clock.Now(), m.self, successor, m.identifierLifetime()) })
	m.announce(ctx)
}

// successorCandidates returns the live peers to whom answers can be handed over, those
// of the own failure domain first: a partition is less likely to cut them off.
func (m *membership) successorCandidates() []member.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far []member.Process
	for _, p := range m.view.Live("") {
		process := member.Process{Address: p.Address, Incarnation: p.Incarnation}
		switch {
		case p.Stopping:
		case p.Domain == m.domain:
			near = append(near, process)
		default:
			far = append(far, process)
		}
	}
	return append(near, far...)
}

// liveness tells what is certain about the owner of an identifier.
func (m *membership) liveness(owner member.Process, minted time.Duration) member.Liveness {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Liveness(m.clock.Now(), owner, minted)
}

// exchange sends a heartbeat and takes in the one that answers it.
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
