// Package httpstop ends an HTTP server without cutting off requests that have reached this
// machine. [http.Server.Shutdown] closes a connection that it knows as idle at once; where the
// processor is short, a request may wait there unread.
package httpstop

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// look is the time between two looks at the connections during a stop.
const pollInterval = 5 * time.Millisecond

// Server is an HTTP server with a stop of its own. Its handler is to answer with "Connection:
// close" from the stop's beginning on, so that callers on open connections go elsewhere.
type Server struct {
	http *http.Server

	mu        sync.Mutex
	listener  net.Listener
	conns     map[net.Conn]http.ConnState
	accepting bool
}

// New returns a server; s must not be used otherwise from then on.
func New(s *http.Server) *Server {
	n := &Server{http: s, conns: make(map[net.Conn]http.ConnState)}
	s.ConnState = n.trackState
	return n
}

// Serve takes connections until the stop.
func (s *Server) Serve(l net.Listener) error {
	l = &onceListener{Listener: l}
	s.mu.Lock()
	s.listener, s.accepting = l, true
	s.mu.Unlock()
	err := s.http.Serve(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accepting {
		return http.ErrServerClosed
	}
	return err
}

// onceListener is closed once: the server closes it again at its end, and would tell that as the
// failure of a stop that has gone well, unless its own Accept has noticed the first time already.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *onceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

func (s *Server) trackState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = state
}

// Stop takes no further connections and waits until the requests that have come are answered
// or ctx ends. A request that is still on its way to a connection as it is closed gets no
// answer, as HTTP/1.1 has no word for it: its caller sends it again.
func (s *Server) Stop(ctx context.Context) error {
	err := s.closeListener()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for s.closeIdle() > 0 && ctx.Err() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return errors.CombineErrors(s.http.Shutdown(ctx), err)
}

// Close cuts off all connections.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) closeListener() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accepting {
		return nil
	}
	s.accepting = false
	return s.listener.Close()
}

// closeIdle closes the connections on which nothing has come since the last answer, and
// returns how many are left. One that has carried no request yet is left open: it was opened
// for one.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		if state == http.StateIdle && !hasUnread(c) {
			_ = c.Close() // the peer may have closed it meanwhile
			delete(s.conns, c)
		}
	}
	return len(s.conns)
}

// hasUnread reports whether bytes have come on a connection that nobody has read. Closed with
// these, the connection would be reset, and a whole request with it.
func hasUnread(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false // it is closed already
	}
	var n int
	var recvErr error
	// Control, not Read: the server's own read holds the lock of reads for as long as it waits.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && recvErr == nil && n > 0
}
