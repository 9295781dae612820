// The server: connections and requests from peers, and the shutdown.

package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Handler answers a peer's request. The context ends when the peer's connection ends.
type Handler interface {
	ServePeer(ctx context.Context, r *schema.Request) *schema.Reply
}

// Server accepts connections from peers and serves their requests.
type Server struct {
	listener *quic.Listener
	conn     *net.UDPConn
	handler  Handler
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	meter    trafficMeter
	close    func() error

	mu    sync.Mutex
	conns map[*quic.Conn]struct{}
}

// Listen starts a server at an address.
func Listen(address netip.AddrPort, cred Credentials, h Handler) (*Server, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listening for peers on %s", address)
	}
	l, err := quic.Listen(conn, cred.tlsConfig(), quicConfig())
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "listening for peers on %s", address), conn.Close())
	}
	s := &Server{listener: l, conn: conn, handler: h, conns: make(map[*quic.Conn]struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.close = sync.OnceValue(s.closeAll)
	s.wg.Go(s.accept)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// lingerTime is how long connections stay open after the last reply was written. Closing a connection drops the
// data that has not arrived, and quic-go does not report when data has arrived.
const lingerTime = 200 * time.Millisecond

// Shutdown stops accepting requests, waits until the requests in progress are answered or the context ends, and
// closes the server. Otherwise a caller whose request another entry forwarded here would lose a reply that
// was about to be sent.
func (s *Server) Shutdown(ctx context.Context) error {
	s.cancel()
	answered := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(answered)
	}()
	select {
	case <-answered:
		time.Sleep(lingerTime)
	case <-ctx.Done():
	}
	return s.Close()
}

// Close closes all connections at once and waits for the handlers to return.
func (s *Server) Close() error {
	s.cancel()
	err := s.close()
	s.wg.Wait()
	return err
}

// closeAll closes every connection and the socket. If it closed only the socket, peers would take the
// connections for open until silenceTimeout has passed, and send requests on them that another process at
// this address cannot answer.
func (s *Server) closeAll() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.CloseWithError(0, "entry stopped")
	}
	return errors.CombineErrors(s.listener.Close(), s.conn.Close())
}

// track keeps a connection in conns until it ends.
func (s *Server) track(c *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	context.AfterFunc(c.Context(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept(s.ctx)
		if err != nil {
			return
		}
		s.meter.track(c)
		s.track(c)
		s.wg.Go(func() { s.serveConn(c) })
	}
}

func (s *Server) serveConn(c *quic.Conn) {
	for {
		stream, err := c.AcceptStream(s.ctx)
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serveStream(c, stream) })
	}
}

// serveStream serves the one request of a stream. It resets the stream if it cannot read the request.
func (s *Server) serveStream(c *quic.Conn, stream *quic.Stream) {
	defer stream.Close()
	var r schema.Request
	if err := readMessage(stream, &r); err != nil {
		stream.CancelRead(0)
		stream.CancelWrite(0)
		return
	}
	reply := s.handler.ServePeer(c.Context(), &r)
	if err := writeMessage(stream, reply); err != nil {
		stream.CancelWrite(0)
	}
}
