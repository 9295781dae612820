package interleave

import "time"

const (
	// hop is the time that a message between daemons takes, workerHop one between a daemon and a
	// worker.
	peerLatency   = 4 * time.Millisecond
	workerLatency = 3 * time.Millisecond
	// heartbeat is the time between heartbeats, as in a large fleet.
	heartbeatInterval = 200 * time.Millisecond
	// noticeAfter is the age of the latest heartbeat of ours that was echoed at which a peer counts
	// as lost: a connection is given up after 0.6 s, and one that is dialed then after 0.4 s.
	peerTimeout = time.Second
	// redialEvery is the time of a dial that gets no answer, and the pause after it.
	redialInterval = 500 * time.Millisecond
)

// end is one daemon's end of the link to another, as in package mesh.
type linkEnd struct {
	self, peer *daemon
	up         bool
	session    uint64
	connected  bool
	nextDial   time.Duration
	outbox     []func()
	sent       int
	// last is when the latest message arrives: they don't overtake each other.
	lastArrival time.Duration
	// echoed is when the latest echo of one of our heartbeats was sent by us, echo the peer's
	// latest, lost when the last session ended.
	echoedHeartbeat, peerHeartbeat, lostAt time.Duration
}

func (e *linkEnd) other() *linkEnd { return e.peer.links[e.self] }

func (e *linkEnd) world() *world { return e.self.w }

func (e *linkEnd) canSend() bool { return !e.world().blocked(e.self.name, e.peer.name) }

// send queues a numbered message while the link is up.
func (e *linkEnd) send(do func()) {
	if e.up {
		e.outbox = append(e.outbox, do)
		e.flush()
	}
}

// flush sends what is queued.
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

// deliver brings something to the other end if it is of the same session then.
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

// greeted takes the other end's session; a higher one tells that it has dropped its state.
func (e *linkEnd) handleSession(session uint64) {
	if session > e.session {
		e.reset(session)
	}
}

// reset ends the session. What was on its way is not delivered any more.
func (e *linkEnd) reset(session uint64) {
	wasUp, w := e.up, e.world()
	e.up, e.connected, e.nextDial = false, false, w.now
	e.session = max(e.session+1, session)
	e.outbox, e.sent, e.peerHeartbeat, e.lostAt = nil, 0, 0, w.now
	if wasUp {
		w.tracef("%s loses %s", e.self.name, e.peer.name)
		e.self.handlePeerUnreachable(e.peer)
	}
}

// tick notices silence, dials and sends what was held up.
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

// dial makes a new connection, which needs both directions.
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

// pulse sends a heartbeat.
func (e *linkEnd) sendHeartbeat(h executorState) {
	if !e.connected || !e.canSend() {
		return
	}
	sent, echo := e.world().now, e.peerHeartbeat
	e.deliver(func() { e.other().handleHeartbeat(h, sent, echo) })
}

// pulsed takes a heartbeat. The link is up when one of ours of this session was echoed.
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
