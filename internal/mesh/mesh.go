// The mesh: all links of a daemon, and the listener for connections from peers.

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
	// redialSlack is the time for resending a lost packet. A heartbeat is normally echoed within two
	// heartbeat intervals, one of each side. A connection without an echo for these intervals and
	// redialSlack is replaced: a device on the path may have lost track of it while new connections work.
	redialSlack = 200 * time.Millisecond
	// writeTimeout limits the exchange of hellos and each write. A peer that reads nothing, or a cut link,
	// must not delay the check for PeerTimeout.
	writeTimeout = 400 * time.Millisecond
	// PeerTimeout is the time without an echo after which a peer counts as unreachable. The daemon then
	// stops what it ran for the peer. These runs must have ended before the peer's callers submit again.
	PeerTimeout = 900 * time.Millisecond
	// redialInterval is the pause between attempts to reach a peer, for frequentRedialPeriod after it was
	// last named or up. After that the pause is rareRedialInterval, until the peer is known to have left:
	// attempts cost a small VM time, and a partition of a large fleet separates it from hundreds of peers.
	redialInterval       = 100 * time.Millisecond
	rareRedialInterval   = time.Second
	frequentRedialPeriod = 20 * time.Second
	dialTimeout          = 400 * time.Millisecond
	// staleDialAge is the age from which a dial is restarted when its peer dials us. The peer had no power
	// when the dial began, and the dial's packets were lost. Otherwise the peer would wait up to
	// dialTimeout for our side of the link after its return, and its callers would wait for workers.
	staleDialAge = 20 * time.Millisecond
	// MaxLossSkew bounds by how much later than its peer one end of a link notices the loss of the link, without
	// the time between heartbeats: an end may be dialing when the other one finds that it gets no echoes.
	MaxLossSkew = dialTimeout + redialInterval
	// StartingPeriod is how long a process counts as starting. Daemons that lost power together are running
	// again within 0.3 s of each other.
	StartingPeriod = time.Second
	// maxFrameBytes is the largest size of a frame.
	maxFrameBytes = 8 << 20
)

// Peer is another daemon's process.
type Peer struct {
	member.Process
	Name   string
	Domain string
	// Weight is the capacity of the daemon's machine in cores; 0: unknown.
	Weight float64
}

// Handler receives the events and frames of the links. The package calls its methods without holding a
// lock, and for one peer in order.
type Handler interface {
	// PeerUp is called when messages start to pass in both directions.
	PeerUp(p Peer)
	// PeerUnreachable is called when the peer can no longer be reached. gone is set if the peer's address
	// refused a connection, if another process has its address, or if this daemon must not be linked to
	// it any more.
	PeerUnreachable(p Peer, gone bool)
	// HasLeft reports whether the daemon at an address, which can't be reached, is proved not to belong to
	// the fleet any more. Its link is then given up.
	HasLeft(a netip.AddrPort) bool
	// HandleFrame processes a numbered frame.
	HandleFrame(p Peer, f *schema.Frame)
	// HandleHeartbeat processes a heartbeat.
	HandleHeartbeat(p Peer, pulse *schema.Pulse)
	// Heartbeat returns the heartbeat to send now, in full. Its NextMs is the time until the next one. All
	// peers must receive that time within PeerTimeout.
	Heartbeat() *schema.Pulse
}

// Mesh holds all links of a daemon.
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
	// allowed reports which daemons may be linked; nil: all.
	allowed func(netip.AddrPort) bool
}

// New returns a mesh without links. Peers reach it at self's address. It listens on the listen address if
// that is valid, or else on self's.
func New(self Peer, listen netip.AddrPort, h Handler) (*Mesh, error) {
	if !listen.IsValid() {
		listen = self.Address
	}
	l, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listening for peers on %s", listen)
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

// Start starts accepting connections from peers.
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

// AddPeers adds daemons to link, by address. Each call counts as naming them.
func (m *Mesh) AddPeers(addresses ...netip.AddrPort) {
	for _, a := range addresses {
		m.link(a).markNamed()
	}
}

// ResetSessions ends the sessions of all links. Both sides drop the frames of these sessions that have not
// arrived yet.
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

// RestrictPeers restricts the links to daemons for which allowed returns true. It ends all other links as
// if the peers' processes had ended.
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

// Send queues a numbered frame for a process. It drops the frame if the process is not linked.
func (m *Mesh) Send(to member.Process, f *schema.Frame) {
	m.mu.Lock()
	l := m.links[to.Address]
	m.mu.Unlock()
	if l != nil {
		l.send(to.Incarnation, f)
	}
}

// SendToAll queues numbered frames for all linked processes. The heartbeats that follow are built anew, so they are
// not older than the frames.
func (m *Mesh) SendToAll(frame func() *schema.Frame) {
	m.heartbeats.expired.Store(true)
	for _, p := range m.Peers() {
		m.Send(p.Process, frame())
	}
}

// Peers returns the peers whose links are up.
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

// AllPeersTried reports whether each known peer is up or an attempt to reach it has failed.
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

// link returns the link to an address, and creates it if there is none.
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
		return new(link) // our own address, a closing mesh, or a peer that is not allowed: an inactive link
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
			time.Sleep(redialInterval) // no file descriptor is left, or the connection has already ended
			continue
		}
		m.wg.Go(func() { m.serve(c) })
	}
}

// serve handles one connection that a peer dialed.
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

// identity returns the hello that names this daemon and the session that it is in.
func (m *Mesh) identity(session uint64) *schema.Identity {
	return &schema.Identity{
		Address: m.self.Address, Incarnation: m.self.Incarnation, Name: m.self.Name, Domain: m.self.Domain,
		MilliCores: m.self.MilliCores, Session: session, Young: time.Since(m.started) < StartingPeriod,
	}
}

// MetEstablishedPeer reports whether an established peer has sent or answered a hello, so that the fleet was
// running before this process started. This is known one round trip after the dial, long before the link
// is up.
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
		return nil, errors.Newf("the first frame is a %T; want a hello", f.GetBody())
	}
	return f.GetHello(), nil
}

// uptimeMs returns the time since the start in ms, for heartbeats and their echoes. It never returns 0.
func (m *Mesh) uptimeMs() int64 { return time.Since(m.started).Milliseconds() + 1 }
