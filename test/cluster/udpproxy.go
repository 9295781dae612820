// A UDP proxy for the links between entries.

package cluster

import (
	"net"
	"net/netip"
	"sync"
)

// UDPProxy forwards UDP packets to one entry. It distinguishes senders by IP address. Each session,
// that is each sender's socket, has its own socket towards the entry.
type UDPProxy struct {
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

// session is the proxy's socket towards the entry for one sender's socket.
type session struct {
	upstream *net.UDPConn
}

// maxPacket is the size of the buffers for packets, in bytes.
const maxPacket = 64 << 10

// newUDPProxy returns a proxy that listens at a free port of an IP address.
func newUDPProxy(at netip.Addr) (*UDPProxy, error) {
	listener, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
	if err != nil {
		return nil, err
	}
	p := &UDPProxy{
		listener:      listener,
		sessions:      make(map[netip.AddrPort]*session),
		blocked:       make(map[netip.Addr]bool),
		mutedSessions: make(map[netip.AddrPort]bool),

		blockedReplies: make(map[netip.Addr]bool),
	}
	go p.forwardToEntry()
	return p, nil
}

// Address returns the address at which peers reach the entry.
func (p *UDPProxy) Address() netip.AddrPort { return p.listener.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetTarget sets the address at which the entry's process listens, and closes all sessions.
func (p *UDPProxy) SetTarget(a netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = a
	for _, s := range p.sessions {
		s.upstream.Close()
	}
	p.sessions = make(map[netip.AddrPort]*session)
}

// Block drops the packets from and to the given IP addresses until Unblock. Without addresses it
// drops all packets.
func (p *UDPProxy) Block(from ...netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(from) == 0 {
		p.blocked[netip.Addr{}] = true
	}
	for _, a := range from {
		p.blocked[a] = true
	}
}

// BlockReplies drops the packets to the given IP addresses until Unblock. Packets from them pass.
func (p *UDPProxy) BlockReplies(to ...netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range to {
		p.blockedReplies[a] = true
	}
}

// MuteExisting drops the packets of the existing sessions for good. New sessions work.
func (p *UDPProxy) MuteExisting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.sessions {
		p.mutedSessions[a] = true
	}
}

// Unblock ends Block and BlockReplies.
func (p *UDPProxy) Unblock() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.blocked)
	clear(p.blockedReplies)
}

// Close stops the proxy and closes its sessions.
func (p *UDPProxy) Close() {
	p.listener.Close()
	p.SetTarget(netip.AddrPort{})
}

// isBlocked reports whether a sender's packets are dropped. The caller holds the lock.
func (p *UDPProxy) isBlocked(from netip.AddrPort) bool {
	return p.blocked[netip.Addr{}] || p.blocked[from.Addr()] || p.mutedSessions[from]
}

// forwardToEntry forwards the senders' packets to the entry until the proxy is closed.
func (p *UDPProxy) forwardToEntry() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := p.listener.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if s := p.session(from); s != nil {
			_, _ = s.upstream.Write(buf[:n]) // QUIC retransmits lost packets.
		}
	}
}

// session returns the sender's session, or nil if the packet is to be dropped.
func (p *UDPProxy) session(from netip.AddrPort) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isBlocked(from) || !p.target.IsValid() {
		return nil
	}
	if s := p.sessions[from]; s != nil {
		return s
	}
	upstream, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.target))
	if err != nil {
		return nil
	}
	s := &session{upstream: upstream}
	p.sessions[from] = s
	go p.forwardToSender(s, from)
	return s
}

// forwardToSender forwards the entry's packets to one sender until the session is closed.
func (p *UDPProxy) forwardToSender(s *session, to netip.AddrPort) {
	buf := make([]byte, maxPacket)
	for {
		n, err := s.upstream.Read(buf)
		if err != nil {
			if _, closed := err.(*net.OpError); closed && !isConnectionRefused(err) {
				return
			}
			continue
		}
		p.mu.Lock()
		drop := p.isBlocked(to) || p.blockedReplies[to.Addr()]
		p.mu.Unlock()
		if !drop {
			_, _ = p.listener.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}
