package mesh

import (
	"net"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

// lose ends the session.
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

// reset drops all state with the peer for a new session, of at least the given number,
// and returns the peer that was up.
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
	return &p
}

func (l *link) reportUnreachable(p *Peer, gone bool) {
	if p != nil {
		l.mesh.handler.PeerUnreachable(*p, gone)
	}
}

// peerOf is the process that a greeting names.
func (l *link) peerFrom(h *schema.Identity) Peer {
	return Peer{
		Process: member.Process{Address: l.address, Incarnation: h.GetIncarnation()},
		Name:    h.GetName(), Domain: h.GetDomain(), Weight: float64(h.GetMilliCores()) / 1000,
	}
}

// greeted takes the greeting of a connection that the peer dialed. It returns the session
// in force; ok is false when the greeting is of an earlier one, which the peer has left or
// has to leave, or which was held up on the way.
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

// reached notes the process that a new connection leads to; false when our session has
// changed meanwhile.
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
		return false // the greeting carried the old session
	}
	l.peer, l.established = l.peerFrom(reply), !reply.GetYoung()
	l.conn, l.connectedTo, l.writtenCount, l.lastHeartbeat = c, reply.GetIncarnation(), 0, 0
	l.connectedAt = l.mesh.uptimeMs()
	return true
}
