// The client: calls to peers, with one connection for each peer.

package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// Client calls peers. It has one connection to each peer.
type Client struct {
	tls *tls.Config
	// local is the IP number that the client connects from.
	local netip.Addr
	mu    sync.Mutex
	links map[netip.AddrPort]*link
	meter trafficMeter
}

// NewClient returns a client that connects to peers from the local IP number. It makes a connection at the
// first call to a peer.
func NewClient(cred Credentials, local netip.Addr) *Client {
	return &Client{tls: cred.tlsConfig(), local: local, links: make(map[netip.AddrPort]*link)}
}

func (c *Client) link(to netip.AddrPort) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[to]
	if l == nil {
		l = &link{dial: func() (*quic.Conn, error) { return c.dial(to) }}
		c.links[to] = l
	}
	return l
}

// dial connects from a new socket, which is closed with the connection. If a middlebox has lost track of an
// old path, the new one works.
func (c *Client) dial(to netip.AddrPort) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.local, 0)))
	if err != nil {
		return nil, err
	}
	t := &quic.Transport{Conn: socket}
	conn, err := t.Dial(ctx, net.UDPAddrFromAddrPort(to), c.tls, dialConfig())
	if err != nil {
		return nil, errors.CombineErrors(err, closeTransport(t, socket))
	}
	c.meter.track(conn)
	context.AfterFunc(conn.Context(), func() { _ = closeTransport(t, socket) })
	return conn, nil
}

func closeTransport(t *quic.Transport, socket *net.UDPConn) error {
	return errors.CombineErrors(t.Close(), socket.Close())
}

// Call sends a request and waits for the reply. If there is no connection, it first waits until one is made.
// The failure is NotRun if no connection could be made, because the request cannot have reached the peer.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, r *schema.Request) (*schema.Reply, *verdict.Failure) {
	l := c.link(to)
	l.beginCall()
	defer l.endCall()
	conn, err := l.connect(ctx)
	if err != nil {
		return nil, connectFailure(err, to)
	}
	return call(ctx, conn, to, r)
}

// CallIfReachable is like Call, but fails at once while the peer is unreachable. It still starts an attempt to
// connect, from which the next call profits.
func (c *Client) CallIfReachable(ctx context.Context, to netip.AddrPort, r *schema.Request) (*schema.Reply, *verdict.Failure) {
	l := c.link(to)
	l.beginCall()
	defer l.endCall()
	conn, err := l.connectReachable(ctx)
	if err != nil {
		return nil, connectFailure(err, to)
	}
	return call(ctx, conn, to, r)
}

// connectFailure returns the failure of a call that got no connection.
func connectFailure(err error, to netip.AddrPort) *verdict.Failure {
	return verdict.Wrap(err, verdict.NotRun, verdict.DialFailed, "no connection to entry %s", to)
}

// call sends a request on a stream of the connection and waits for the reply.
func call(ctx context.Context, conn *quic.Conn, to netip.AddrPort, r *schema.Request) (*schema.Reply, *verdict.Failure) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.NothingSent, "could not open a stream to entry %s", to)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	reply, err := exchange(stream, r)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ConnectionLost, "no reply from entry %s", to)
	}
	if e := reply.GetError(); e != "" {
		return nil, verdict.New(verdict.MayHaveRun, verdict.Internal, "entry %s replied with an error: %s", to, e)
	}
	return reply, nil
}

func exchange(stream *quic.Stream, r *schema.Request) (*schema.Reply, error) {
	if err := writeMessage(stream, r); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	reply := new(schema.Reply)
	if err := readMessage(stream, reply); err != nil {
		return nil, errors.Wrap(err, "reading the reply")
	}
	return reply, nil
}

// CloseIdle closes the connections that no call has used for the given time. Two entries have a connection in
// each direction, but heartbeats use only one of them. Keeping the other one open would double the cost.
func (c *Client) CloseIdle(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.closeIdle(after)
	}
}

// CloseStale closes the connection to a peer if it is older than the peer's process, whose age is given. Such a
// connection leads to a process that has ended. A call on it would wait until silenceTimeout has passed.
func (c *Client) CloseStale(to netip.AddrPort, age time.Duration) { c.link(to).closeStale(age) }

// CloseUnlisted closes the connections to all peers that are not in keep.
func (c *Client) CloseUnlisted(keep map[netip.AddrPort]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, l := range c.links {
		if keep[a] {
			continue
		}
		delete(c.links, a)
		go l.close()
	}
}

// Close closes all connections.
func (c *Client) Close() { c.CloseUnlisted(nil) }
