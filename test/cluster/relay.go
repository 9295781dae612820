package cluster

import (
	"net"
	"net/netip"
	"sync"
)

// Relay passes UDP packets to one entry. Senders are told apart by IP address, and
// each session (one sender's socket) has its own socket towards the entry.
type Relay struct {
	front *net.UDPConn

	mu       sync.Mutex
	target   netip.AddrPort
	sessions map[netip.AddrPort]*session
	// blocked holds the senders whose packets are dropped, both ways; the zero
	// address blocks all.
	blocked map[netip.Addr]bool
	// unanswered holds the senders whose packets pass while the replies are dropped.
	unanswered map[netip.Addr]bool
	// muted drops the packets of the sessions that exist now, while new ones work.
	muted map[netip.AddrPort]bool
}

type session struct {
	back *net.UDPConn
}

const maxPacket = 64 << 10

// newRelay listens on a free port of an IP address.
func newRelay(at netip.Addr) (*Relay, error) {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
	if err != nil {
		return nil, err
	}
	r := &Relay{
		front:    front,
		sessions: make(map[netip.AddrPort]*session),
		blocked:  make(map[netip.Addr]bool),
		muted:    make(map[netip.AddrPort]bool),

		unanswered: make(map[netip.Addr]bool),
	}
	go r.forward()
	return r, nil
}

// Address returns the address that peers use.
func (r *Relay) Address() netip.AddrPort { return r.front.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetTarget sets the entry's real address.
func (r *Relay) SetTarget(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = a
	for _, s := range r.sessions {
		s.back.Close()
	}
	r.sessions = make(map[netip.AddrPort]*session)
}

// Block drops the packets of senders at the given IP addresses, of all when none is
// given.
func (r *Relay) Block(from ...netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(from) == 0 {
		r.blocked[netip.Addr{}] = true
	}
	for _, a := range from {
		r.blocked[a] = true
	}
}

// BlockReplies drops the packets towards the given IP addresses only: theirs pass.
func (r *Relay) BlockReplies(to ...netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range to {
		r.unanswered[a] = true
	}
}

// MuteExisting drops the packets of all present sessions for good.
func (r *Relay) MuteExisting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.sessions {
		r.muted[a] = true
	}
}

// Heal ends Block and BlockReplies.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.blocked)
	clear(r.unanswered)
}

// Close ends the relay.
func (r *Relay) Close() {
	r.front.Close()
	r.SetTarget(netip.AddrPort{})
}

// dropped tells whether a sender's packets are dropped. Called under the lock.
func (r *Relay) dropped(from netip.AddrPort) bool {
	return r.blocked[netip.Addr{}] || r.blocked[from.Addr()] || r.muted[from]
}

func (r *Relay) forward() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := r.front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if s := r.session(from); s != nil {
			_, _ = s.back.Write(buf[:n]) // a lost packet is sent again by QUIC
		}
	}
}

// session returns the sender's session, nil when its packets are dropped.
func (r *Relay) session(from netip.AddrPort) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropped(from) || !r.target.IsValid() {
		return nil
	}
	if s := r.sessions[from]; s != nil {
		return s
	}
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	s := &session{back: back}
	r.sessions[from] = s
	go r.backward(s, from)
	return s
}

func (r *Relay) backward(s *session, to netip.AddrPort) {
	buf := make([]byte, maxPacket)
	for {
		n, err := s.back.Read(buf)
		if err != nil {
			if _, closed := err.(*net.OpError); closed && !isRefused(err) {
				return
			}
			continue
		}
		r.mu.Lock()
		drop := r.dropped(to) || r.unanswered[to.Addr()]
		r.mu.Unlock()
		if !drop {
			_, _ = r.front.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}
