// The outgoing connection of a link: dialing, queued frames, heartbeats and time-outs.

package mesh

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/lavendercleat/lavendercleat/schema"
)

// link is this daemon's end of the link to one address. It has an outgoing connection, which this daemon
// dials and writes to, and an incoming one, which the peer dials and writes to.
type link struct {
	mesh    *Mesh
	address netip.AddrPort
	wake    chan struct{}

	// deliveryMu keeps the handler's calls for this peer in order. It is locked before mu.
	deliveryMu sync.Mutex

	mu sync.Mutex
	// peer is the process at the other end. Its incarnation is 0 while the process is unknown.
	peer Peer
	// up is set while messages pass in both directions.
	up bool
	// session is the number of the state that both ends keep about each other. An end that drops its
	// state increments the number. The other end then drops its own state and takes over the number. If
	// each end counted its own sessions, the two could make each other drop their state in turns forever
	// after a single loss.
	session uint64
	// connectedTo is the incarnation of the process that the outgoing connection reached; 0 without a
	// connection.
	connectedTo uint64
	conn        net.Conn
	// outbox holds the frames that the peer has not acknowledged.
	outbox []*schema.Frame
	// writtenCount is how many frames of the outbox were written to this connection.
	writtenCount int
	// lastNumber is the number of the latest frame sent, lastReceived that of the latest one received.
	lastNumber   uint64
	lastReceived uint64
	// lastEchoed is the time of the latest of our heartbeats that the peer has echoed. echoNext is the
	// time in the peer's latest heartbeat, which our next heartbeat echoes.
	lastEchoed, echoNext int64
	// peerInterval is the time between the peer's heartbeats.
	peerInterval time.Duration
	// lastHeartbeat is the number of the latest heartbeat written to this connection; 0: none.
	lastHeartbeat uint64
	// connectedAt is when the outgoing connection was made, sessionEndedAt when the last session ended.
	// An echo of a heartbeat older than that does not show that messages pass now.
	connectedAt, sessionEndedAt int64
	// lastNamed is when a peer list, or the peer itself, last named this address, or the link was last up.
	lastNamed time.Time
	// ackDue is set when the peer waits for an acknowledgement.
	ackDue bool
	// heartbeatDue requests a heartbeat at once, by which the link comes up.
	heartbeatDue bool
	// attemptFailed is set once an attempt to reach the peer has failed.
	attemptFailed bool
	// excluded is set when this daemon must not be linked to the peer any more.
	excluded bool
	// established is set if the peer was no longer starting when it sent its last hello.
	established bool
	// redialNow requests a dial without a pause. cancelDial cancels the dial in progress, which began at
	// dialStarted; it is nil if no dial is in progress.
	redialNow   chan struct{}
	cancelDial  func()
	dialStarted time.Time
}

func newLink(m *Mesh, a netip.AddrPort) *link {
	return &link{mesh: m, address: a, wake: make(chan struct{}, 1), redialNow: make(chan struct{}, 1), session: 1, lastNamed: time.Now(), peerInterval: defaultHeartbeatInterval}
}

func (l *link) markNamed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNamed = time.Now()
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
	l.wakeWriter()
}

// exclude ends the link permanently.
func (l *link) exclude() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excluded = true
	if l.conn != nil {
		l.conn.Close()
	}
}

func (l *link) isExcluded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.excluded
}

func (l *link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) peerIfUp() (Peer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer, l.up
}

// send queues a frame for a process. It drops the frame if the link is not up or leads to another process.
func (l *link) send(incarnation uint64, f *schema.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up || l.peer.Incarnation != incarnation {
		return
	}
	l.lastNumber++
	f.Number = l.lastNumber
	l.outbox = append(l.outbox, f)
	l.wakeWriter()
}

// run dials and writes until the mesh is closed, or the peer is excluded or has left.
func (l *link) run() {
	for l.mesh.ctx.Err() == nil {
		err := l.connect()
		if errors.Is(err, errStaleSession) {
			continue
		}
		l.mu.Lock()
		l.attemptFailed = l.attemptFailed || err != nil
		l.mu.Unlock()
		if errors.Is(err, syscall.ECONNREFUSED) || l.isExcluded() {
			l.endSession(true)
		}
		l.checkTimeout()
		if l.hasLeft() || l.isExcluded() {
			l.mesh.removeLink(l)
			return
		}
		select {
		case <-l.mesh.ctx.Done():
		case <-l.redialNow:
		case <-time.After(l.redialPause()):
		}
	}
}

// dial makes one attempt to reach the peer. dialNow cancels the attempt if the peer dials this daemon
// meanwhile and the attempt is stale.
func (l *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithCancel(l.mesh.ctx)
	defer cancel()
	l.mu.Lock()
	l.cancelDial, l.dialStarted = cancel, time.Now()
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.cancelDial = nil
		l.mu.Unlock()
	}()
	return l.mesh.dialer.DialContext(ctx, "tcp4", l.address.String())
}

// dialNow starts a dial at once after the peer has dialed this daemon, as the peer is certainly running.
// A connection or a recent dial stays. The caller holds mu.
func (l *link) dialNow() {
	if l.conn != nil || l.cancelDial != nil && time.Since(l.dialStarted) < staleDialAge {
		return
	}
	if l.cancelDial != nil {
		l.cancelDial()
	}
	select {
	case l.redialNow <- struct{}{}:
	default:
	}
}

func (l *link) isEstablished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.established
}

// longDown reports whether the peer is not up and nothing has named it for frequentRedialPeriod.
func (l *link) longDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.up && time.Since(l.lastNamed) > frequentRedialPeriod
}

// hasLeft reports whether the peer has been down for long and the handler knows that it has left. The
// time alone proves nothing: a partition may last for hours, and both ends have to dial when it heals.
func (l *link) hasLeft() bool { return l.longDown() && l.mesh.handler.HasLeft(l.address) }

// redialPause is the pause before the next attempt to reach the peer.
func (l *link) redialPause() time.Duration {
	if l.longDown() {
		return rareRedialInterval
	}
	return redialInterval
}

// errStaleSession is returned when our hello carried a session that has ended. run dials again at once
// with the new session.
var errStaleSession = errors.New("the hello carried a session that has ended")

// connect dials, exchanges hellos and writes until the connection ends or is closed.
func (l *link) connect() error {
	c, err := l.dial()
	if err != nil {
		return err
	}
	defer c.Close()
	l.mu.Lock()
	hello := l.mesh.identity(l.session)
	l.mu.Unlock()
	_ = c.SetDeadline(time.Now().Add(writeTimeout))
	if _, err := protodelim.MarshalTo(c, &schema.Frame{Body: &schema.Frame_Hello{Hello: hello}}); err != nil {
		return err
	}
	r := bufio.NewReaderSize(c, 512)
	reply, err := readHello(r)
	if err != nil {
		return err
	}
	_ = c.SetDeadline(time.Time{})
	if !l.handleHelloReply(reply, hello.GetSession(), c) {
		return errStaleSession
	}
	broken := make(chan struct{})
	l.mesh.wg.Go(func() {
		defer close(broken)
		_, _ = r.ReadByte() // the peer sends nothing more here, so a read returns only when the connection ends
	})
	defer func() {
		c.Close()
		<-broken
		l.mu.Lock()
		l.conn, l.connectedTo = nil, 0
		l.mu.Unlock()
	}()
	return l.write(c, broken)
}

// write sends heartbeats and the outbox until the connection breaks or goes silent.
func (l *link) write(c net.Conn, broken chan struct{}) error {
	w := bufio.NewWriterSize(c, 4096)
	due := time.Now()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		heartbeat := !time.Now().Before(due)
		if heartbeat {
			due = time.Now().Add(l.mesh.untilNextHeartbeat())
		}
		if err := l.flush(c, w, heartbeat); err != nil {
			return err
		}
		tick.Reset(min(time.Until(due), l.untilRedial()))
		select {
		case <-l.mesh.ctx.Done():
			return nil
		case <-broken:
			return nil
		case <-l.wake:
		case <-tick.C:
			if l.untilRedial() <= 0 {
				return nil
			}
		}
	}
}

// flush writes the queued frames, and a heartbeat if one is due.
func (l *link) flush(c net.Conn, w *bufio.Writer, heartbeat bool) error {
	var shared []byte
	heartbeat = l.takeHeartbeatDue() || heartbeat
	if heartbeat {
		var err error
		if shared, err = l.sharedHeartbeat(); err != nil {
			return err
		}
	}
	l.mu.Lock()
	frames := l.outbox[min(l.writtenCount, len(l.outbox)):]
	l.writtenCount = len(l.outbox)
	ack := l.lastReceived
	needsAck := l.ackDue
	l.ackDue = false
	echo := l.echoNext
	l.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, f := range frames {
		f.Acknowledged = ack
		if _, err := protodelim.MarshalTo(w, f); err != nil {
			return err
		}
	}
	switch {
	case heartbeat:
		if err := writeHeartbeat(w, shared, ack, l.mesh.uptimeMs(), echo); err != nil {
			return err
		}
	case needsAck && len(frames) == 0:
		return nil // the next heartbeat acknowledges the received frames
	}
	return w.Flush()
}

// sharedHeartbeat returns the part of a heartbeat that is the same for all peers, as changes to the one
// last written to this connection. A failed write ends the connection, and the next connection starts
// with a full heartbeat. So the peer misses no change.
func (l *link) sharedHeartbeat() ([]byte, error) {
	l.mu.Lock()
	base := l.lastHeartbeat
	l.mu.Unlock()
	b, number, err := l.mesh.heartbeats.get(l.mesh.handler, base)
	l.mu.Lock()
	l.lastHeartbeat = number
	l.mu.Unlock()
	return b, err
}

func (l *link) takeHeartbeatDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := l.heartbeatDue
	l.heartbeatDue = false
	return due
}

// tried reports whether the link is up or an attempt to reach the peer has failed.
func (l *link) tried() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up || l.attemptFailed
}

// sinceLastEcho returns the age of the latest of our heartbeats that the peer has echoed.
func (l *link) sinceLastEcho() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.mesh.uptimeMs()-l.lastEchoed) * time.Millisecond
}

// untilRedial returns the time until the connection counts as silent and is replaced. The peer echoes our
// heartbeats in its own next ones.
func (l *link) untilRedial() time.Duration {
	own := l.mesh.heartbeats.interval()
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := time.Duration(l.mesh.uptimeMs()-max(l.lastEchoed, l.connectedAt)) * time.Millisecond
	return own + l.peerInterval + redialSlack - silent
}

// checkTimeout ends the session if the peer has echoed no heartbeat within PeerTimeout.
func (l *link) checkTimeout() {
	if _, up := l.peerIfUp(); up && l.sinceLastEcho() > PeerTimeout {
		l.endSession(false)
	}
}

// closeOutgoing closes the outgoing connection. run then dials again, which shows at once whether the
// peer is still running.
func (l *link) closeOutgoing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}

// sendHeartbeatNow makes the writer send a heartbeat at once.
func (l *link) sendHeartbeatNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heartbeatDue = true
	l.wakeWriter()
}
