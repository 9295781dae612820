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

// link is this daemon's end of the link to one address.
type link struct {
	mesh    *Mesh
	address netip.AddrPort
	wake    chan struct{}

	// order keeps calls of the handler for this peer in order; taken before mu.
	deliveryMu sync.Mutex

	mu sync.Mutex
	// peer is the process on the other side; its incarnation is 0 while unknown.
	peer Peer
	// up: messages pass both ways.
	up bool
	// session numbers the state that both ends keep with each other. An end that drops its
	// state raises it, and the other end drops its own and takes the number over: were each
	// to count for itself, one loss could have both drop their state by turns for ever.
	session uint64
	// connected is the incarnation that our connection reached, 0 without one.
	connectedTo uint64
	conn        net.Conn
	outbox      []*schema.Frame
	// sent is how many of the outbox were written on this connection.
	writtenCount int
	lastNumber   uint64
	lastReceived uint64
	// echoed is when the latest echo of one of our pulses was sent by us; echo is the
	// peer's latest pulse.
	lastEchoed, echoNext int64
	// interval is the time between the peer's heartbeats.
	peerInterval time.Duration
	// told is the number of the heartbeat last written on this connection; 0: none.
	lastHeartbeat uint64
	// dialed is when the connection was made, lost when the last session ended: an echo
	// of an older pulse doesn't show that messages pass now.
	connectedAt, sessionEndedAt int64
	// lastNamed is when something last named this address.
	lastNamed time.Time
	// ackDue: the peer waits for an acknowledgement.
	ackDue bool
	// pulseDue asks for a heartbeat at once: the link comes up by it.
	heartbeatDue bool
	// failed: an attempt to reach the peer has failed.
	attemptFailed bool
	// parted: the daemon is not to be linked any more.
	excluded bool
	// elder: the peer had been there for a while when it greeted.
	established bool
	// redial asks for a dial without a pause; stopDial ends the one that began at dialing,
	// nil when there is none.
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

// part ends the link for good.
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

// send queues a frame for the process, if that is still the one linked.
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

// run dials and writes until the mesh closes or the peer is forgotten.
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
		if l.expired() || l.isExcluded() {
			l.mesh.removeLink(l)
			return
		}
		select {
		case <-l.mesh.ctx.Done():
		case <-l.redialNow:
		case <-time.After(redialInterval):
		}
	}
}

// dial makes one attempt to reach the peer, which ends early when the peer dials us after it
// has begun.
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

// peerDialed has the peer, which is surely there now, dialed at once. The link is locked.
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

func (l *link) expired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.up && time.Since(l.lastNamed) > forgetTimeout
}

// errBehind: the greeting carried a session that has ended; the next one follows at once.
var errStaleSession = errors.New("the session has ended")

// connect dials, greets and writes until the connection is given up.
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
		_, _ = r.ReadByte() // nothing comes but the end
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

// write sends pulses and the outbox until the connection breaks or goes silent.
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

// flush writes what is queued, and a pulse.
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
		return nil // the next pulse acknowledges
	}
	return w.Flush()
}

// heartbeat returns the common part of a heartbeat for what was written before on this
// connection. A write that fails ends the connection, so what it left out isn't missed.
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

func (l *link) tried() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up || l.attemptFailed
}

// silentFor is the age of the latest pulse of ours that the peer echoed.
func (l *link) sinceLastEcho() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.mesh.uptimeMs()-l.lastEchoed) * time.Millisecond
}

// redialIn is the time until the connection has been silent for too long: our heartbeats
// are echoed with the peer's next ones.
func (l *link) untilRedial() time.Duration {
	own := l.mesh.heartbeats.interval()
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := time.Duration(l.mesh.uptimeMs()-max(l.lastEchoed, l.connectedAt)) * time.Millisecond
	return own + l.peerInterval + redialSlack - silent
}

// checkSilence counts a peer as lost that has not echoed for PeerTimeout.
func (l *link) checkTimeout() {
	if _, up := l.peerIfUp(); up && l.sinceLastEcho() > PeerTimeout {
		l.endSession(false)
	}
}

// incomingBroke looks at once whether the peer is still there.
func (l *link) closeOutgoing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}

// pulseNow sends a heartbeat at once.
func (l *link) sendHeartbeatNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heartbeatDue = true
	l.wakeWriter()
}
