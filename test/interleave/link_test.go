// The simulated link between two daemons, with sessions, heartbeats and dials.

package interleave

import "time"

const (
	// peerLatency is the time that a message takes between two daemons, workerLatency between a
	// daemon and a worker.
	peerLatency   = 4 * time.Millisecond
	workerLatency = 3 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats, as in a large fleet.
	heartbeatInterval = 200 * time.Millisecond
	// A peer is unreachable when the latest of our heartbeats that it echoed is older than
	// peerTimeout: the product closes a connection after 0.6 s, and the connection that it dials then
	// after 0.4 s.
	peerTimeout = time.Second
	// redialInterval is the time from a dial that gets no answer to the next one.
	redialInterval = 500 * time.Millisecond
)

// linkEnd is one daemon's end of the link to another daemon, as in package mesh.
type linkEnd struct {
	self, peer *daemon
	up         bool
	session    uint64
	connected  bool
	nextDial   time.Duration
	outbox     []func()
	sent       int
	// lastArrival is when the latest message arrives: a message doesn't overtake an earlier one.
	lastArrival time.Duration
	// echoedHeartbeat is the sending time of the latest of our heartbeats that the peer echoed,
	// peerHeartbeat that of the peer's latest heartbeat, lostAt the end of the last session.
	echoedHeartbeat, peerHeartbeat, lostAt time.Duration
}

func (e *linkEnd) other() *linkEnd { return e.peer.links[e.self] }

func (e *linkEnd) world() *world { return e.self.w }

func (e *linkEnd) canSend() bool { return !e.world().blocked(e.self.name, e.peer.name) }

// send queues a message for the peer while the link is up.
func (e *linkEnd) send(do func()) {
	if e.up {
		e.outbox = append(e.outbox, do)
		e.flush()
	}
}

// flush sends the queued messages, if the connection lets them pass.
func (e *linkEnd) flush() {
	for e.connected && e.canSend() && e.sent < len(e.outbox) {
		do := e.outbox[e.sent]
		e.sent++
		e.deliver(func() {
			if o := e.other(); o.up {
				do()
			}
		})
	}
}

// deliver calls do at the other end if that end is still in the same session at the arrival.
func (e *linkEnd) deliver(do func()) {
	w, session := e.world(), e.session
	e.lastArrival = max(e.lastArrival, w.now+peerLatency)
	w.at(e.lastArrival, e.peer, func() {
		o := e.other()
		o.handleSession(session)
		if session == o.session {
			do()
			return
		}
		if !w.blocked(o.self.name, o.peer.name) {
			newer := o.session
			w.at(w.now+peerLatency, e.self, func() { e.handleSession(newer) })
		}
	})
}

// handleSession compares the other end's session: a higher one shows that it has dropped its state.
func (e *linkEnd) handleSession(session uint64) {
	if session > e.session {
		e.reset(session)
	}
}

// reset ends the session. Messages that are still on their way are dropped.
func (e *linkEnd) reset(session uint64) {
	wasUp, w := e.up, e.world()
	e.up, e.connected, e.nextDial = false, false, w.now
	e.session = max(e.session+1, session)
	e.outbox, e.sent, e.peerHeartbeat, e.lostAt = nil, 0, 0, w.now
	if wasUp {
		w.tracef("%s considers %s unreachable", e.self.name, e.peer.name)
		e.self.handlePeerUnreachable(e.peer)
	}
}

// tick detects an unreachable peer, dials, and sends the messages that a fault has held up.
func (e *linkEnd) tick() {
	w := e.world()
	if e.up && w.now-e.echoedHeartbeat > peerTimeout+w.delay(e.self.name, lateDetection) {
		e.reset(0)
	}
	if !e.connected && w.now >= e.nextDial {
		e.dial()
	}
	e.flush()
}

// dial makes a new connection. This fails if a fault blocks either direction.
func (e *linkEnd) dial() {
	w := e.world()
	if !e.canSend() || !e.other().canSend() {
		e.nextDial = w.now + redialInterval
		return
	}
	e.nextDial = w.now + redialInterval
	session := e.session
	w.at(w.now+peerLatency, e.peer, func() {
		o := e.other()
		o.handleSession(session)
		o.nextDial = min(o.nextDial, w.now)
		newer := o.session
		w.at(w.now+peerLatency, e.self, func() {
			e.handleSession(newer)
			if e.session == newer && session == newer && !e.connected {
				e.connected = true
				e.sendHeartbeat(e.self.executorState())
				e.flush()
			}
		})
	})
}

// sendHeartbeat sends a heartbeat with the state of this daemon's executor.
func (e *linkEnd) sendHeartbeat(h executorState) {
	if !e.connected || !e.canSend() {
		return
	}
	sent, echo := e.world().now, e.peerHeartbeat
	e.deliver(func() { e.other().handleHeartbeat(h, sent, echo) })
}

// handleHeartbeat records a heartbeat of the peer. The link is up when the peer has echoed one of our
// heartbeats of this session.
func (e *linkEnd) handleHeartbeat(h executorState, sent, echo time.Duration) {
	e.peerHeartbeat = sent
	e.echoedHeartbeat = max(e.echoedHeartbeat, echo)
	if !e.up {
		if e.connected && echo > e.lostAt {
			e.up = true
			e.world().tracef("%s is linked with %s", e.self.name, e.peer.name)
			e.self.handlePeerReachable(e.peer)
		}
		e.sendHeartbeat(e.self.executorState())
	}
	if e.up {
		e.self.handlePeerState(h)
	}
}
