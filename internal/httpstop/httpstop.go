// Package httpstop stops an HTTP server without cutting off requests that have reached this machine.
// [http.Server.Shutdown] closes every connection that it knows as idle at once. If the processor is busy, an
// unread request may wait on such a connection.
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

// pollInterval is the time between two checks of the connections during a stop.
const pollInterval = 5 * time.Millisecond

// Server is an HTTP server with its own stop. From the beginning of the stop, its handler must answer with
// "Connection: close", so that callers on open connections use another server.
type Server struct {
	http *http.Server

	mu        sync.Mutex
	listener  net.Listener
	conns     map[net.Conn]http.ConnState
	accepting bool
}

// New returns a server that runs s. The caller must not use s directly any more.
func New(s *http.Server) *Server {
	server := &Server{http: s, conns: make(map[net.Conn]http.ConnState)}
	s.ConnState = server.trackState
	return server
}

// Serve accepts connections until the server stops.
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

// onceListener closes its listener only once. http.Server closes the listener again when it shuts down.
// Without onceListener, it would report an error for that after a successful stop, unless its Accept has
// returned already.
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

// trackState records the state of a connection, and forgets connections that are closed or hijacked.
func (s *Server) trackState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = state
}

// Stop stops accepting connections and waits until all requests that have arrived are answered or ctx ends. A
// request that is still on its way when its connection is closed gets no answer, because HTTP/1.1 has no
// message for this. Its caller sends it again.
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

// Close closes all connections at once.
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

// closeIdle has the connections closed on which nothing has arrived since the last answer, and returns how many
// are left. It keeps a connection that has carried no request yet, because the caller opened it for one.
//
// It ends the pending read and leaves the closing to the HTTP server. A connection counts as idle until the
// server has read a request's header to the end, and if it were closed while the server has read some of
// it, the request would get no answer. A read that has returned data isn't affected, and the server clears the
// deadline before it reads on.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		if state == http.StateIdle && !hasUnread(c) {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // the peer may have closed it meanwhile
		}
	}
	return len(s.conns)
}

// hasUnread reports whether a connection has received bytes that were not read. Closing such a connection
// would reset it, and the caller of a complete request would get no answer.
func hasUnread(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false // the connection is already closed
	}
	var n int
	var recvErr error
	// Use Control, not Read, because the server's own pending read holds the read lock.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && recvErr == nil && n > 0
}
