// The schedule of heartbeats to peers.

package member

import (
	"net/netip"
	"time"
)

// HeartbeatScheduleConfig holds the settings of a HeartbeatSchedule.
type HeartbeatScheduleConfig struct {
	// Domain is this entry's failure domain.
	Domain string
	// Interval is the time between two exchanges with a peer of the same failure domain, RemoteInterval
	// with a peer of another. Slots are divided inside a failure domain, so only there a dead peer must
	// be detected fast.
	Interval       time.Duration
	RemoteInterval time.Duration
}

// HeartbeatSchedule decides when a heartbeat to a peer is due.
//
// A heartbeat and its answer carry the same information to both ends, so one exchange per interval and
// pair of peers is enough. An entry omits its heartbeat if the peer's own arrived meanwhile. When the
// peer's heartbeats stop, this entry's are due again at once, over its own connection. So a path that
// works in only one direction is still detected.
type HeartbeatSchedule struct {
	config HeartbeatScheduleConfig
	// exchanged is the time of the latest exchange with a peer. failed is the time of the latest failed
	// heartbeat since then.
	exchanged map[netip.AddrPort]time.Duration
	failed    map[netip.AddrPort]time.Duration
}

// NewHeartbeatSchedule returns a schedule without exchanges: a heartbeat to every peer is due.
func NewHeartbeatSchedule(c HeartbeatScheduleConfig) *HeartbeatSchedule {
	return &HeartbeatSchedule{
		config:    c,
		exchanged: make(map[netip.AddrPort]time.Duration),
		failed:    make(map[netip.AddrPort]time.Duration),
	}
}

// earlyFraction: a heartbeat may be sent Interval/earlyFraction too early, because the ticks that check
// for it, one per Interval, do not coincide with the time at which it is due.
const earlyFraction = 4

// Due reports whether a heartbeat to a peer is due. alive is whether the view considers the peer alive. An
// unknown domain counts as this entry's domain.
func (s *HeartbeatSchedule) Due(now time.Duration, peer netip.AddrPort, domain string, alive bool) bool {
	interval := s.config.Interval
	if domain != "" && domain != s.config.Domain {
		interval = s.config.RemoteInterval
	}
	// A dead peer stays in the VM list for minutes, and each attempt to connect costs kilobytes. So a
	// heartbeat to it is tried once per RemoteInterval; a peer that restarts sends heartbeats itself. A
	// peer that is considered alive is tried again at the next tick. Otherwise a single lost heartbeat
	// would make it count as dead.
	if at, ok := s.failed[peer]; ok && !alive && now-at < s.config.RemoteInterval {
		return false
	}
	at, ok := s.exchanged[peer]
	return !ok || now-at >= interval-s.config.Interval/earlyFraction
}

// HandleExchange records a heartbeat that was answered, or a peer's heartbeat that arrived.
func (s *HeartbeatSchedule) HandleExchange(now time.Duration, peer netip.AddrPort) {
	s.exchanged[peer] = now
	delete(s.failed, peer)
}

// HandleFailure records a heartbeat without an answer.
func (s *HeartbeatSchedule) HandleFailure(now time.Duration, peer netip.AddrPort) {
	s.failed[peer] = now
}

// RemoveUnlisted removes all peers but the given ones.
func (s *HeartbeatSchedule) RemoveUnlisted(peers []netip.AddrPort) {
	listed := make(map[netip.AddrPort]bool, len(peers))
	for _, a := range peers {
		listed[a] = true
	}
	for a := range s.exchanged {
		if !listed[a] {
			delete(s.exchanged, a)
		}
	}
	for a := range s.failed {
		if !listed[a] {
			delete(s.failed, a)
		}
	}
}
