package mesh

import (
	"net"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

// lose ends the session.
func (l *link) lose(gone bool) {
	l.order.Lock()
	defer l.order.Unlock()
	l.mu.Lock()
	var lost *Peer
	if l.peer.Incarnation != 0 {
		lost = l.reset(0)
	}
	l.mu.Unlock()
	l.tellLost(lost, gone)
}

// reset drops all state with the peer for a new session, of at least the given number,
// and returns the peer that was up.
func (l *link) reset(session uint64) *Peer {
	p, was := l.peer, l.up
	l.peer.Incarnation, l.up = 0, false
	l.session = max(l.session+1, session)
	l.outbox, l.sent, l.next, l.arrived = nil, 0, 0, 0
	l.echo, l.lost = 0, l.mesh.clock()
	if l.conn != nil {
		l.conn.Close()
	}
	if !was {
		return nil
	}
	return &p
}

func (l *link) tellLost(p *Peer, gone bool) {
	if p != nil {
		l.mesh.handler.PeerUnreachable(*p, gone)
	}
}

// peerOf is the process that a greeting names.
func (l *link) peerOf(h *schema.Identity) Peer {
	return Peer{
		Process: member.Process{Address: l.address, Incarnation: h.GetIncarnation()},
		Name:    h.GetName(), Domain: h.GetDomain(), Weight: float64(h.GetMilliCores()) / 1000,
	}
}

// greeted takes the greeting of a connection that the peer dialed. It returns the session
// in force; ok is false when the greeting is of an earlier one, which the peer has left or
// has to leave, or which was held up on the way.
func (l *link) greeted(h *schema.Identity) (session uint64, ok bool) {
	if l.mesh == nil {
		return 0, false
	}
	l.order.Lock()
	defer l.order.Unlock()
	l.mu.Lock()
	l.lastNamed = time.Now()
	var lost *Peer
	replaced := l.peer.Incarnation != 0 && l.peer.Incarnation != h.GetIncarnation()
	if replaced || h.GetSession() > l.session {
		lost = l.reset(h.GetSession())
	}
	session = l.session
	if ok = h.GetSession() == session; ok {
		l.peer = l.peerOf(h)
		l.elder = !h.GetYoung()
	}
	l.peerDialed()
	l.mu.Unlock()
	l.tellLost(lost, replaced)
	return session, ok
}

// reached notes the process that a new connection leads to; false when our session has
// changed meanwhile.
func (l *link) reached(answer *schema.Identity, session uint64, c net.Conn) bool {
	l.order.Lock()
	defer l.order.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != session {
		return false
	}
	known := l.peer.Incarnation
	replaced := known != 0 && known != answer.GetIncarnation()
	if replaced || answer.GetSession() > session {
		lost := l.reset(answer.GetSession())
		l.mu.Unlock()
		l.tellLost(lost, replaced)
		l.mu.Lock()
		return false // the greeting carried the old session
	}
	l.peer, l.elder = l.peerOf(answer), !answer.GetYoung()
	l.conn, l.connected, l.sent, l.told = c, answer.GetIncarnation(), 0, 0
	l.dialed = l.mesh.clock()
	return true
}
