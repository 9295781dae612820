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

// Handler answers a peer's request. The context ends when the peer goes away.
type Handler interface {
	ServePeer(ctx context.Context, r *schema.Request) *schema.Reply
}

// Server takes peers' requests.
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
		return nil, errors.Wrap(err, "listening for peers")
	}
	l, err := quic.Listen(conn, cred.tlsConfig(), quicConfig())
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "listening for peers"), conn.Close())
	}
	s := &Server{listener: l, conn: conn, handler: h, conns: make(map[*quic.Conn]struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.close = sync.OnceValue(s.closeAll)
	s.wg.Go(s.accept)
	return s, nil
}

// Address returns the address the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// linger is the time for which connections stay open after the last reply was written:
// closing one drops what has not arrived, and quic-go does not tell when it has.
const lingerTime = 200 * time.Millisecond

// Shutdown takes no further requests, waits until those in progress are answered or
// the context ends, and closes the server. Without it a caller whose request another
// entry forwarded here would lose the answer that was just about to be sent.
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

// Close breaks off all connections and waits for the handlers.
func (s *Server) Close() error {
	s.cancel()
	err := s.close()
	s.wg.Wait()
	return err
}

// closeAll closes every connection and the socket. Without the first, peers would take
// the connections for open until they count as silent, and send requests into them that
// another process at this address can't answer.
func (s *Server) closeAll() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.CloseWithError(0, "entry stopped")
	}
	return errors.CombineErrors(s.listener.Close(), s.conn.Close())
}

// track keeps a connection in the set until it ends.
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
		s.wg.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(c *quic.Conn) {
	for {
		st, err := c.AcceptStream(s.ctx)
		if err != nil {
			return
		}
		s.wg.Go(func() { s.answer(c, st) })
	}
}

// answer serves the one request of a stream; what can't be read resets the stream.
func (s *Server) answer(c *quic.Conn, st *quic.Stream) {
	defer st.Close()
	var r schema.Request
	if err := readMessage(st, &r); err != nil {
		st.CancelRead(0)
		st.CancelWrite(0)
		return
	}
	reply := s.handler.ServePeer(c.Context(), &r)
	if err := writeMessage(st, reply); err != nil {
		st.CancelWrite(0)
	}
}
