package mesh

import (
	"bufio"
	"net"
	"time"

	"github.com/lavendercleat/lavendercleat/schema"
)

// serve reads what comes on a connection that the peer has dialed.
func (l *link) serve(session uint64, c net.Conn, r *bufio.Reader) {
	var before heard
	first := true
	for {
		// A sender pulses; without a deadline a silent connection would stay for ever.
		_ = c.SetReadDeadline(time.Now().Add(2 * PeerTimeout))
		f, err := readFrame(r)
		if err == nil && f.GetPulse() != nil {
			err = before.complete(f.GetPulse())
		}
		if err != nil {
			l.incomingBroke()
			return
		}
		if !l.received(session, f) {
			return
		}
		if f.GetPulse() != nil && first {
			// The peer has waited for an echo for long: to wait for our next heartbeat too
			// could make it count this daemon as lost.
			first = false
			l.pulseNow()
		}
	}
}

// received takes a frame; false when its connection belongs to an ended session.
func (l *link) received(session uint64, f *schema.Frame) bool {
	l.order.Lock()
	defer l.order.Unlock()
	l.mu.Lock()
	if session != l.session {
		l.mu.Unlock()
		return false
	}
	l.acknowledge(f.GetAcknowledged())
	p := l.peer
	if pulse := f.GetPulse(); pulse != nil {
		up := l.pulsed(pulse)
		l.mu.Unlock()
		if up {
			l.mesh.handler.PeerUp(p)
		}
		l.mesh.handler.HandleHeartbeat(p, pulse)
		return true
	}
	fresh := f.GetNumber() == l.arrived+1
	if fresh {
		l.arrived++
		l.ackDue = true
	}
	l.mu.Unlock()
	if fresh {
		l.mesh.handler.HandleFrame(p, f)
	}
	return true
}

// acknowledge drops frames that the peer has.
func (l *link) acknowledge(n uint64) {
	for len(l.outbox) > 0 && l.outbox[0].GetNumber() <= n {
		l.outbox = l.outbox[1:]
		l.sent = max(l.sent-1, 0)
	}
}

// pulsed notes a heartbeat and reports whether the link came up by it.
func (l *link) pulsed(p *schema.Pulse) bool {
	l.echo, l.interval = p.GetSentMs(), intervalOf(p)
	l.echoed = max(l.echoed, p.GetEchoMs())
	if !l.up {
		l.pulseDue = true
		l.poke()
	}
	if l.up || l.connected != l.peer.Incarnation || p.GetEchoMs() <= l.lost {
		return false
	}
	l.up = true
	return true
}
