// The connection to one peer: dial attempts that all calls share, idle connections and unreachable peers.

package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

var (
	// errUnreachable is returned while the peer is unreachable: the last connection broke, or the last dial
	// failed.
	errUnreachable = errors.New("the peer is unreachable")
	// errLinkClosed is returned when the link was closed during the dial.
	errLinkClosed = errors.New("the link was closed during the dial")
)

// link holds the connection to one peer, which all calls share.
type link struct {
	dial func() (*quic.Conn, error)

	mu          sync.Mutex
	conn        *quic.Conn
	connectedAt time.Time
	// attempt is the dial in progress; nil if there is none.
	attempt *dialAttempt
	// unreachable is set when a connection is lost or a dial fails, and reset when a dial succeeds.
	unreachable bool
	closed      bool
	// calls counts the calls in progress. lastUsed is when the latest call ended.
	calls    int
	lastUsed time.Time
}

// beginCall counts a call in progress, so that closeIdle does not close its connection.
func (l *link) beginCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
}

// endCall ends a call in progress and restarts the idle time.
func (l *link) endCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	l.lastUsed = time.Now()
}

// closeIdle closes the connection if no call has used it for the given time. The peer does not count as
// unreachable then: the next call dials and waits for the connection.
func (l *link) closeIdle(after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.calls > 0 || time.Since(l.lastUsed) < after {
		return
	}
	conn := l.conn
	l.conn = nil
	go conn.CloseWithError(0, "idle")
}

// dialAttempt is one attempt to connect. conn and err are valid once done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *quic.Conn
	err  error
}

// connect returns the open connection, or dials and waits for the connection. All callers wait for the same
// attempt, each no longer than its own context allows. If callers of a silent peer dialed one after the other,
// the last of them would wait for all the attempts before its own.
func (l *link) connect(ctx context.Context) (*quic.Conn, error) {
	conn, a, _ := l.connOrAttempt()
	if conn != nil {
		return conn, nil
	}
	return a.wait(ctx)
}

// connectReachable is like connect, but does not wait while the peer is unreachable.
func (l *link) connectReachable(ctx context.Context) (*quic.Conn, error) {
	conn, a, unreachable := l.connOrAttempt()
	switch {
	case conn != nil:
		return conn, nil
	case unreachable:
		return nil, errUnreachable
	}
	return a.wait(ctx)
}

// wait waits until the attempt ends or the context does.
func (a *dialAttempt) wait(ctx context.Context) (*quic.Conn, error) {
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connOrAttempt returns the open connection. Without one, it returns the dial attempt in progress, which it
// starts if there is none, and reports whether the peer is unreachable.
func (l *link) connOrAttempt() (conn *quic.Conn, a *dialAttempt, unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn, nil, false
	}
	if l.attempt == nil {
		l.attempt = &dialAttempt{done: make(chan struct{})}
		go l.establish(l.attempt)
	}
	return nil, l.attempt, l.unreachable
}

// establish dials, records whether the peer is unreachable and wakes the calls that wait for the attempt.
func (l *link) establish(a *dialAttempt) {
	defer close(a.done)
	a.conn, a.err = l.dial()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempt = nil
	l.unreachable = a.err != nil
	switch {
	case a.err != nil:
	case l.closed:
		closeConn(a.conn)
		a.conn, a.err = nil, errLinkClosed
	default:
		l.conn = a.conn
		l.connectedAt = time.Now()
		context.AfterFunc(a.conn.Context(), func() { l.handleConnClosed(a.conn) })
	}
}

// handleConnClosed handles the end of a connection. The peer counts as unreachable until another connection is
// made. Most connections end by silence, and then the next attempts get no answer either.
func (l *link) handleConnClosed(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.unreachable = true
	}
}

// closeStale closes the connection if it is older than the peer's process, and marks the peer as reachable. The
// process has just sent a heartbeat, so calls must wait for the new connection. They would fail at once if the
// peer still counted as unreachable.
func (l *link) closeStale(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = false
	if l.conn != nil && time.Since(l.connectedAt) > age {
		conn := l.conn
		l.conn = nil
		go conn.CloseWithError(0, "the peer restarted")
	}
}

// close closes the connection. If a dial is in progress, establish closes its connection.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		closeConn(l.conn)
	}
}

func closeConn(conn *quic.Conn) { _ = conn.CloseWithError(0, "peer no longer listed") }
