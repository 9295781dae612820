// The incoming connection of a link: frames, acknowledgements and heartbeats from the peer.

package mesh

import (
	"bufio"
	"net"
	"time"

	"github.com/lavendercleat/lavendercleat/schema"
)

// serve reads the frames of a connection that the peer dialed.
func (l *link) serve(session uint64, c net.Conn, r *bufio.Reader) {
	var state receivedState
	first := true
	for {
		// The peer sends heartbeats. Without a deadline, a silent connection would stay open forever.
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
			// The peer has been waiting for an echo since it dialed. If it had to wait for our next
			// regular heartbeat too, it might find this daemon unreachable.
			first = false
			l.sendHeartbeatNow()
		}
	}
}

// handleFrame processes a frame. It returns false if the frame's connection belongs to an ended session.
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

// dropAcknowledged removes the frames that the peer has received from the outbox. The caller holds mu.
func (l *link) dropAcknowledged(n uint64) {
	for len(l.outbox) > 0 && l.outbox[0].GetNumber() <= n {
		l.outbox = l.outbox[1:]
		l.writtenCount = max(l.writtenCount-1, 0)
	}
}

// handleHeartbeat records a heartbeat and reports whether the link came up by it. The caller holds mu.
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
