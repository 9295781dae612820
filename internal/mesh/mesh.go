package mesh

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/lavendercleat/lavendercleat/internal/tcp"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// redialSlack is added to the two intervals after which a heartbeat is echoed at the
	// latest, when all is well, for a packet that has to be sent again. A connection that is
	// silent for longer is given up for a new one: something on the way may have lost track
	// of it while new ones work.
	redialSlack = 200 * time.Millisecond
	// writeTimeout bounds a greeting and each write: a peer that reads nothing, or a link
	// that is cut, must not hold up the look at its silence.
	writeTimeout = 400 * time.Millisecond
	// PeerTimeout is the silence after which a peer counts as lost. What ran for it is
	// stopped then, which has to be over before its callers submit again.
	PeerTimeout = 900 * time.Millisecond
	// redialPause is the pause between attempts to reach a peer.
	redialInterval = 100 * time.Millisecond
	// forgetAfter is how long a lost peer is dialed that nothing names any more.
	forgetTimeout = 20 * time.Second
	dialTimeout   = 400 * time.Millisecond
	// staleDial is the age from which a dial is begun anew when its peer dials us: the peer
	// was without power when it began, and packets to it were lost. Without that the peer
	// waits up to dialTimeout for our side of the link after it is back, and then lets
	// callers wait for workers.
	staleDialAge = 20 * time.Millisecond
	// StartingPeriod is how long a process counts as one that has just started. Daemons that lost
	// power together are back within 0.3 s of each other.
	StartingPeriod = time.Second
	// maxFrame bounds one frame in bytes.
	maxFrameBytes = 8 << 20
)

// Peer is another daemon's process.
type Peer struct {
	member.Process
	Name   string
	Domain string
	// Weight is what the daemon can carry, in cores; 0: not known.
	Weight float64
}

// Handler is told what happens on the links. Its methods are called without locks of
// this package, for one peer in order.
type Handler interface {
	// PeerUp tells that messages pass both ways.
	PeerUp(p Peer)
	// PeerUnreachable tells that the peer can't be reached; gone, that its process is proved over.
	PeerUnreachable(p Peer, gone bool)
	// HandleFrame takes a numbered frame.
	HandleFrame(p Peer, f *schema.Frame)
	// HandleHeartbeat takes a heartbeat.
	HandleHeartbeat(p Peer, pulse *schema.Pulse)
	// Heartbeat returns the heartbeat to send now, in full. Its NextMs names the time to the
	// next one, which all peers are to be told of within PeerTimeout.
	Heartbeat() *schema.Pulse
}

// Mesh is a daemon's end of all links.
type Mesh struct {
	self     *schema.Identity
	address  netip.AddrPort
	handler  Handler
	listener net.Listener
	dialer   net.Dialer
	started  time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	heartbeats heartbeatCache

	mu    sync.Mutex
	links map[netip.AddrPort]*link
	// linked tells which daemons to link; nil for all.
	allowed func(netip.AddrPort) bool
}

// New returns a mesh that links nobody yet. Peers reach it at self's address; it listens
// on another one where that is given.
func New(self Peer, listen netip.AddrPort, h Handler) (*Mesh, error) {
	if !listen.IsValid() {
		listen = self.Address
	}
	l, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listening for peers")
	}
	m := &Mesh{
		self: &schema.Identity{
			Address: self.Address.String(), Incarnation: self.Incarnation, Name: self.Name, Domain: self.Domain,
			MilliCores: uint32(self.Weight * 1000),
		},
		address: self.Address, handler: h, listener: l, started: time.Now(),
		dialer: tcp.Dialer(dialTimeout, PeerTimeout),
		links:  make(map[netip.AddrPort]*link),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

// Start begins to accept links.
func (m *Mesh) Start() { m.wg.Go(m.accept) }

// Close ends all links.
func (m *Mesh) Close() {
	m.cancel()
	m.listener.Close()
	m.mu.Lock()
	for _, l := range m.links {
		l.close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// AddPeers adds daemons that may be linked, by address.
func (m *Mesh) AddPeers(addresses ...netip.AddrPort) {
	for _, a := range addresses {
		m.link(a).markNamed()
	}
}

// ResetSessions ends the sessions of all links: what was sent in them and is still on its way is
// dropped on both sides.
func (m *Mesh) ResetSessions() {
	m.mu.Lock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	m.mu.Unlock()
	for _, l := range links {
		l.endSession(false)
	}
}

// RestrictPeers links only daemons for which linked is true from now on. Links to others end,
// as if their processes were gone.
func (m *Mesh) RestrictPeers(allowed func(netip.AddrPort) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.allowed = allowed
	for a, l := range m.links {
		if !allowed(a) {
			l.exclude()
		}
	}
}

// Send queues a numbered frame for a process; it is dropped when the process is not linked.
func (m *Mesh) Send(to member.Process, f *schema.Frame) {
	m.mu.Lock()
	l := m.links[to.Address]
	m.mu.Unlock()
	if l != nil {
		l.send(to.Incarnation, f)
	}
}

// Peers returns the peers that messages pass to and from.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Peer
	for _, l := range m.links {
		if p, up := l.peerIfUp(); up {
			list = append(list, p)
		}
	}
	return list
}

// AllPeersTried reports whether each known peer is up or was found not to answer.
func (m *Mesh) AllPeersTried() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if !l.tried() {
			return false
		}
	}
	return true
}

// link returns the link to an address, made when there is none.
func (m *Mesh) link(a netip.AddrPort) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[a]
	if l == nil && a != m.address && m.ctx.Err() == nil && (m.allowed == nil || m.allowed(a)) {
		l = newLink(m, a)
		m.links[a] = l
		m.wg.Go(l.run)
	}
	if l == nil {
		return new(link) // ourselves, closing, or not to be linked: a link that does nothing
	}
	return l
}

func (m *Mesh) removeLink(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.address] == l {
		delete(m.links, l.address)
	}
}

func (m *Mesh) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			time.Sleep(redialInterval) // out of descriptors, or the connection is gone already
			continue
		}
		m.wg.Go(func() { m.serve(c) })
	}
}

// serve reads one connection that a peer dialed.
func (m *Mesh) serve(c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(m.ctx, func() { c.Close() })
	defer stop()
	r := bufio.NewReader(c)
	_ = c.SetDeadline(time.Now().Add(PeerTimeout))
	hello, err := readHello(r)
	if err != nil {
		return
	}
	a, err := netip.ParseAddrPort(hello.GetAddress())
	if err != nil || a == m.address {
		return
	}
	l := m.link(a)
	session, ok := l.handleHello(hello)
	reply := m.identity(session)
	if _, err := protodelim.MarshalTo(c, &schema.Frame{Body: &schema.Frame_Hello{Hello: reply}}); err != nil || !ok {
		return
	}
	l.serve(session, c, r)
}

// greeting names this daemon and the session that it is in.
func (m *Mesh) identity(session uint64) *schema.Identity {
	return &schema.Identity{
		Address: m.self.Address, Incarnation: m.self.Incarnation, Name: m.self.Name, Domain: m.self.Domain,
		MilliCores: m.self.MilliCores, Session: session, Young: time.Since(m.started) < StartingPeriod,
	}
}

// MetEstablishedPeer reports whether a peer that has not just started has answered a greeting or sent
// one: the fleet was there before this process. It is known a round trip after the dial,
// long before the link is up.
func (m *Mesh) MetEstablishedPeer() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.isEstablished() {
			return true
		}
	}
	return false
}

func readFrame(r *bufio.Reader) (*schema.Frame, error) {
	f := new(schema.Frame)
	err := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(r, f)
	return f, err
}

func readHello(r *bufio.Reader) (*schema.Identity, error) {
	f, err := readFrame(r)
	if err != nil {
		return nil, err
	}
	if f.GetHello() == nil {
		return nil, errors.New("the first frame is not a greeting")
	}
	return f.GetHello(), nil
}

// clock returns the time since the start in ms, for pulses and their echoes; never 0.
func (m *Mesh) uptimeMs() int64 { return time.Since(m.started).Milliseconds() + 1 }
