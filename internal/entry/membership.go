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
	fill func(*schema.Heartbeat)

	mu       sync.Mutex
	view     *member.View
	pace     *member.Pace
	stopping bool
}

// with runs fn on the view under its lock.
func (m *membership) with(fn func(v *member.View)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn(m.view)
}

// members returns the addresses among which this domain's slots are divided.
func (m *membership) members() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Members(m.stopping)
}

// known tells whether an address belongs to an entry.
func (m *membership) known(a netip.AddrPort) bool {
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
	m.with(func(v *member.View) { v.SetCandidates(c) })
}

// heartbeat returns what this entry tells its peers.
func (m *membership) heartbeat() *schema.Heartbeat {
	h := &schema.Heartbeat{
		Address:     m.self.Address.String(),
		Incarnation: m.self.Incarnation,
		Domain:      m.domain,
	}
	m.mu.Lock()
	h.Stopping = m.stopping
	m.view.Successors(func(stopped, successor member.Process) {
		h.Successors = append(h.Successors, &schema.Successor{
			Address:              stopped.Address.String(),
			Incarnation:          stopped.Incarnation,
			Successor:            successor.Address.String(),
			SuccessorIncarnation: successor.Incarnation,
		})
	})
	m.mu.Unlock()
	m.fill(h)
	return h
}

// take takes in a peer's heartbeat.
func (m *membership) take(h *schema.Heartbeat) {
	address, err := netip.ParseAddrPort(h.GetAddress())
	if err != nil {
		return
	}
	p := member.Peer{
		Address:        address,
		Incarnation:    h.GetIncarnation(),
		Domain:         h.GetDomain(),
		Stopping:       h.GetStopping(),
		FreeSlots:      int(h.GetFreeSlots()),
		ConfigRevision: h.GetConfigRevision(),
		VMListVersion:  h.GetVmListVersion(),
	}
	m.mu.Lock()
	changed := m.view.Heard(m.clock.Now(), p)
	m.pace.Exchanged(m.clock.Now(), address)
	for _, s := range h.GetSuccessors() {
		m.takeSuccessor(s)
	}
	m.mu.Unlock()
	if changed {
		m.log.WithFields(logrus.Fields{"event": "peer_changed", "peer": address, "stopping": p.Stopping}).Info("peer is alive")
		m.onChange()
	}
	m.onHeartbeat(h)
}

func (m *membership) takeSuccessor(s *schema.Successor) {
	stopped, err1 := netip.ParseAddrPort(s.GetAddress())
	successor, err2 := netip.ParseAddrPort(s.GetSuccessor())
	if err1 != nil || err2 != nil {
		return
	}
	m.view.SetSuccessor(
		member.Process{Address: stopped, Incarnation: s.GetIncarnation()},
		member.Process{Address: successor, Incarnation: s.GetSuccessorIncarnation()},
	)
}

// run sends heartbeats until the context ends.
func (m *membership) run(ctx context.Context) {
	t := time.NewTicker(m.interval)
	defer t.Stop()
	for {
		m.beat(ctx, m.due)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// due tells whether a heartbeat is due; called under the lock.
func (m *membership) due(a netip.AddrPort) bool {
	return m.pace.Due(m.clock.Now(), a, m.view.Domain(a), m.view.Peer(a) != nil)
}

// beat drops silent peers and sends one heartbeat to every candidate that is wanted;
// to all for nil, when there is news that must not wait.
func (m *membership) beat(ctx context.Context, wanted func(netip.AddrPort) bool) {
	var candidates []netip.AddrPort
	changed := false
	m.with(func(v *member.View) {
		changed = v.Tick(m.clock.Now())
		candidates = v.Candidates()
		m.pace.Keep(candidates)
		if wanted != nil {
			candidates = slices.DeleteFunc(candidates, func(a netip.AddrPort) bool { return !wanted(a) })
		}
	})
	if changed {
		m.log.WithField("event", "peer_changed").Warn("a peer went silent")
		m.onChange()
	}
	if len(candidates) == 0 {
		return
	}
	h := m.heartbeat()
	for _, a := range candidates {
		go m.send(ctx, a, h)
	}
}

// send sends a heartbeat and takes in the one that answers it.
func (m *membership) send(ctx context.Context, to netip.AddrPort, h *schema.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, 2*m.interval)
	defer cancel()
	m.metrics.message("heartbeat")
	reply, failure := m.client.Call(ctx, to, &schema.Request{Body: &schema.Request_Heartbeat{Heartbeat: h}})
	if failure != nil {
		m.with(func(*member.View) { m.pace.Failed(m.clock.Now(), to) })
		return
	}
	if back := reply.GetHeartbeat(); back != nil {
		m.take(back)
	}
}
