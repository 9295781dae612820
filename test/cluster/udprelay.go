package cluster

import (
	"net"
	"net/netip"
	"sync"
)

// Relay forwards UDP packets to one entry. It distinguishes senders by IP address. Each session, that
// is each sender's socket, has its own socket towards the entry.
type Relay struct {
	listener *net.UDPConn

	mu       sync.Mutex
	target   netip.AddrPort
	sessions map[netip.AddrPort]*session
	// blocked contains the senders whose packets are dropped in both directions. The zero address
	// stands for all senders.
	blocked map[netip.Addr]bool
	// blockedReplies contains the senders that receive no packets; the packets that they send pass.
	blockedReplies map[netip.Addr]bool
	// mutedSessions contains the sessions that MuteExisting silenced. New sessions work.
	mutedSessions map[netip.AddrPort]bool
}

// session is the relay's socket towards the entry for one sender's socket.
type session struct {
	upstream *net.UDPConn
}

// maxPacket is the size of the buffers for packets, in bytes.
const maxPacket = 64 << 10

// newRelay returns a relay that listens at a free port of an IP address.
func newRelay(at netip.Addr) (*Relay, error) {
	listener, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
	if err != nil {
		return nil, err
	}
	r := &Relay{
		listener:      listener,
		sessions:      make(map[netip.AddrPort]*session),
		blocked:       make(map[netip.Addr]bool),
		mutedSessions: make(map[netip.AddrPort]bool),

		blockedReplies: make(map[netip.Addr]bool),
	}
	go r.forwardToEntry()
	return r, nil
}

// Address returns the address at which peers reach the entry.
func (r *Relay) Address() netip.AddrPort { return r.listener.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetTarget sets the address at which the entry's process listens, and closes all sessions.
func (r *Relay) SetTarget(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = a
	for _, s := range r.sessions {
		s.upstream.Close()
	}
	r.sessions = make(map[netip.AddrPort]*session)
}

// Block drops the packets from and to the given IP addresses until Heal. Without addresses it drops
// all packets.
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

// BlockReplies drops the packets to the given IP addresses until Heal. Packets from them pass.
func (r *Relay) BlockReplies(to ...netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range to {
		r.blockedReplies[a] = true
	}
}

// MuteExisting drops the packets of the existing sessions for good. New sessions work.
func (r *Relay) MuteExisting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.sessions {
		r.mutedSessions[a] = true
	}
}

// Heal ends Block and BlockReplies.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.blocked)
	clear(r.blockedReplies)
}

// Close stops the relay and closes its sessions.
func (r *Relay) Close() {
	r.listener.Close()
	r.SetTarget(netip.AddrPort{})
}

// isBlocked reports whether a sender's packets are dropped. The caller holds the lock.
func (r *Relay) isBlocked(from netip.AddrPort) bool {
	return r.blocked[netip.Addr{}] || r.blocked[from.Addr()] || r.mutedSessions[from]
}

// forwardToEntry forwards the senders' packets to the entry until the relay is closed.
func (r *Relay) forwardToEntry() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := r.listener.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if s := r.session(from); s != nil {
			_, _ = s.upstream.Write(buf[:n]) // QUIC retransmits lost packets.
		}
	}
}

// session returns the sender's session, or nil if the packet is to be dropped.
func (r *Relay) session(from netip.AddrPort) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBlocked(from) || !r.target.IsValid() {
		return nil
	}
	if s := r.sessions[from]; s != nil {
		return s
	}
	upstream, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	s := &session{upstream: upstream}
	r.sessions[from] = s
	go r.forwardToSender(s, from)
	return s
}

// forwardToSender forwards the entry's packets to one sender until the session is closed.
func (r *Relay) forwardToSender(s *session, to netip.AddrPort) {
	buf := make([]byte, maxPacket)
	for {
		n, err := s.upstream.Read(buf)
		if err != nil {
			if _, closed := err.(*net.OpError); closed && !isConnectionRefused(err) {
				return
			}
			continue
		}
		r.mu.Lock()
		drop := r.isBlocked(to) || r.blockedReplies[to.Addr()]
		r.mu.Unlock()
		if !drop {
			_, _ = r.listener.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}
