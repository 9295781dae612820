package member

import (
	"net/netip"
	"time"
)

// HeartbeatScheduleConfig holds the settings of a pace.
type HeartbeatScheduleConfig struct {
	// Domain is this entry's failure domain.
	Domain string
	// Interval is the time between two exchanges with a peer of the same failure
	// domain, RemoteInterval with one of another. Slots are divided inside a failure
	// domain, so only there a death has to be noticed fast.
	Interval       time.Duration
	RemoteInterval time.Duration
}

// HeartbeatSchedule decides when a heartbeat to a peer is due.
//
// A heartbeat and its answer tell both ends the same, so one exchange per interval
// and pair is enough: an entry leaves its heartbeat out when the peer's own came in
// meanwhile. When the peer's stop coming, its own are due again at once, over its own
// connection, so a path that works in one direction only is still noticed.
type HeartbeatSchedule struct {
	config HeartbeatScheduleConfig
	// exchanged is the time of the latest exchange, failed of the latest attempt that
	// failed since.
	exchanged map[netip.AddrPort]time.Duration
	failed    map[netip.AddrPort]time.Duration
}

// NewHeartbeatSchedule returns a pace without exchanges: every peer is due.
func NewHeartbeatSchedule(c HeartbeatScheduleConfig) *HeartbeatSchedule {
	return &HeartbeatSchedule{
		config:    c,
		exchanged: make(map[netip.AddrPort]time.Duration),
		failed:    make(map[netip.AddrPort]time.Duration),
	}
}

// earlyShare of Interval is how much too early a heartbeat may be: the ticks that ask
// for it, one each Interval, don't fall exactly on the time.
const earlyFraction = 4

// Due tells whether a heartbeat to a peer is due; alive says whether the view holds it
// alive. A domain that is not known yet counts as the own.
func (p *HeartbeatSchedule) Due(now time.Duration, peer netip.AddrPort, domain string, alive bool) bool {
	interval := p.config.Interval
	if domain != "" && domain != p.config.Domain {
		interval = p.config.RemoteInterval
	}
	// A dead peer stays in the VM list for minutes. Each attempt to connect costs
	// kilobytes, so it is tried at the slow pace; one that comes back makes itself
	// heard. One that is held alive is tried again at the next tick, or a single lost
	// heartbeat would make it count as dead.
	if at, ok := p.failed[peer]; ok && !alive && now-at < p.config.RemoteInterval {
		return false
	}
	at, ok := p.exchanged[peer]
	return !ok || now-at >= interval-p.config.Interval/earlyFraction
}

// HandleExchange notes a heartbeat that was answered, or a peer's that came in.
func (p *HeartbeatSchedule) HandleExchange(now time.Duration, peer netip.AddrPort) {
	p.exchanged[peer] = now
	delete(p.failed, peer)
}

// HandleFailure notes a heartbeat without an answer.
func (p *HeartbeatSchedule) HandleFailure(now time.Duration, peer netip.AddrPort) {
	p.failed[peer] = now
}

// RemoveUnlisted forgets the peers that are not listed.
func (p *HeartbeatSchedule) RemoveUnlisted(peers []netip.AddrPort) {
	listed := make(map[netip.AddrPort]bool, len(peers))
	for _, a := range peers {
		listed[a] = true
	}
	for a := range p.exchanged {
		if !listed[a] {
			delete(p.exchanged, a)
		}
	}
	for a := range p.failed {
		if !listed[a] {
			delete(p.failed, a)
		}
	}
}
