// Sessions: the hellos of both ends agree on a session number, and an end that drops its state starts a new
// session.

package mesh

import (
	"net"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

// endSession ends the session and reports the peer as unreachable if it was up. gone is set if the peer's
// address refused a connection, or if the link is excluded.
func (l *link) endSession(gone bool) {
	l.deliveryMu.Lock()
	defer l.deliveryMu.Unlock()
	l.mu.Lock()
	var unreachable *Peer
	if l.peer.Incarnation != 0 {
		unreachable = l.reset(0)
	}
	l.mu.Unlock()
	l.reportUnreachable(unreachable, gone)
}

// reset drops all state about the peer and starts a new session, whose number is at least the given one. It
// returns the peer if it was up. The caller holds deliveryMu and mu.
func (l *link) reset(session uint64) *Peer {
	p, wasUp := l.peer, l.up
	l.peer.Incarnation, l.up = 0, false
	l.session = max(l.session+1, session)
	l.outbox, l.writtenCount, l.lastNumber, l.lastReceived = nil, 0, 0, 0
	l.echoNext, l.sessionEndedAt = 0, l.mesh.uptimeMs()
	if l.conn != nil {
		l.conn.Close()
	}
	if !wasUp {
		return nil
	}
	l.lastNamed = time.Now()
	return &p
}

// reportUnreachable calls the handler if p is not nil.
func (l *link) reportUnreachable(p *Peer, gone bool) {
	if p != nil {
		l.mesh.handler.PeerUnreachable(*p, gone)
	}
}

// peerFrom returns the process that a hello names.
func (l *link) peerFrom(h *schema.Identity) Peer {
	return Peer{
		Process: member.Process{Address: l.address, Incarnation: h.GetIncarnation()},
		Name:    h.GetName(), Domain: h.GetDomain(), Weight: float64(h.GetMilliCores()) / 1000,
	}
}

// handleHello processes the hello of a connection that the peer dialed, and returns the current session. ok
// is false if the hello belongs to an earlier session: the peer has left that session or must leave it, or
// the hello was delayed on the way.
func (l *link) handleHello(h *schema.Identity) (session uint64, ok bool) {
	if l.mesh == nil {
		return 0, false
	}
	l.deliveryMu.Lock()
	defer l.deliveryMu.Unlock()
	l.mu.Lock()
	l.lastNamed = time.Now()
	var unreachable *Peer
	replaced := l.peer.Incarnation != 0 && l.peer.Incarnation != h.GetIncarnation()
	if replaced || h.GetSession() > l.session {
		unreachable = l.reset(h.GetSession())
	}
	session = l.session
	if ok = h.GetSession() == session; ok {
		l.peer = l.peerFrom(h)
		l.established = !h.GetYoung()
	}
	l.dialNow()
	l.mu.Unlock()
	l.reportUnreachable(unreachable, replaced)
	return session, ok
}

// handleHelloReply records the process that a new outgoing connection has reached. It returns false if this
// daemon's session has changed meanwhile.
func (l *link) handleHelloReply(reply *schema.Identity, session uint64, c net.Conn) bool {
	l.deliveryMu.Lock()
	defer l.deliveryMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != session {
		return false
	}
	known := l.peer.Incarnation
	replaced := known != 0 && known != reply.GetIncarnation()
	if replaced || reply.GetSession() > session {
		unreachable := l.reset(reply.GetSession())
		l.mu.Unlock()
		l.reportUnreachable(unreachable, replaced)
		l.mu.Lock()
		return false // our hello carried the old session
	}
	l.peer, l.established = l.peerFrom(reply), !reply.GetYoung()
	l.conn, l.connectedTo, l.writtenCount, l.lastHeartbeat = c, reply.GetIncarnation(), 0, 0
	l.connectedAt = l.mesh.uptimeMs()
	return true
}
