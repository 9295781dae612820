package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"

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
	meter    meter
}

// Listen starts a server at an address.
func Listen(at netip.AddrPort, cred Credentials, h Handler) (*Server, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "listening for peers")
	}
	l, err := quic.Listen(conn, cred.config(), quicConfig())
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "listening for peers"), conn.Close())
	}
	s := &Server{listener: l, conn: conn, handler: h}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wg.Go(s.accept)
	return s, nil
}

// Address returns the address the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close breaks off all connections and waits for the handlers.
func (s *Server) Close() error {
	s.cancel()
	err := errors.CombineErrors(s.listener.Close(), s.conn.Close())
	s.wg.Wait()
	return err
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept(s.ctx)
		if err != nil {
			return
		}
		s.meter.follow(c)
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

// answer serves one request.
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
