package mesh

import (
	"bufio"
	"net"
	"time"

	"github.com/lavendercleat/lavendercleat/schema"
)

// serve reads what comes on a connection that the peer has dialed.
func (l *link) serve(session uint64, c net.Conn, r *bufio.Reader) {
	var state receivedState
	first := true
	for {
		// A sender pulses; without a deadline a silent connection would stay for ever.
		_ = c.SetReadDeadline(time.Now().Add(2 * PeerTimeout))
		f, err := readFrame(r)
		if err == nil && f.GetPulse() != nil {
			err = state.addUnchanged(f.GetPulse())
		}
		if err != nil {
			l.closeOutgoing()
			return
		}
		if !l.handleFrame(session, f) {
			return
		}
		if f.GetPulse() != nil && first {
			// The peer has waited for an echo for long: to wait for our next heartbeat too
			// could make it count this daemon as lost.
			first = false
			l.sendHeartbeatNow()
		}
	}
}

// received takes a frame; false when its connection belongs to an ended session.
func (l *link) handleFrame(session uint64, f *schema.Frame) bool {
	l.deliveryMu.Lock()
	defer l.deliveryMu.Unlock()
	l.mu.Lock()
	if session != l.session {
		l.mu.Unlock()
		return false
	}
	l.dropAcknowledged(f.GetAcknowledged())
	p := l.peer
	if pulse := f.GetPulse(); pulse != nil {
		up := l.handleHeartbeat(pulse)
		l.mu.Unlock()
		if up {
			l.mesh.handler.PeerUp(p)
		}
		l.mesh.handler.HandleHeartbeat(p, pulse)
		return true
	}
	isNext := f.GetNumber() == l.lastReceived+1
	if isNext {
		l.lastReceived++
		l.ackDue = true
	}
	l.mu.Unlock()
	if isNext {
		l.mesh.handler.HandleFrame(p, f)
	}
	return true
}

// acknowledge drops frames that the peer has.
func (l *link) dropAcknowledged(n uint64) {
	for len(l.outbox) > 0 && l.outbox[0].GetNumber() <= n {
		l.outbox = l.outbox[1:]
		l.writtenCount = max(l.writtenCount-1, 0)
	}
}

// pulsed notes a heartbeat and reports whether the link came up by it.
func (l *link) handleHeartbeat(p *schema.Pulse) bool {
	l.echoNext, l.peerInterval = p.GetSentMs(), intervalAfter(p)
	l.lastEchoed = max(l.lastEchoed, p.GetEchoMs())
	if !l.up {
		l.heartbeatDue = true
		l.wakeWriter()
	}
	if l.up || l.connectedTo != l.peer.Incarnation || p.GetEchoMs() <= l.sessionEndedAt {
		return false
	}
	l.up = true
	return true
}
