package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

var (
	// errDown: the peer could not be reached lately.
	errUnreachable = errors.New("the peer can't be reached now")
	// errLinkClosed: the connection was closed while it was made.
	errLinkClosed = errors.New("the peer is no longer called")
)

// link is the connection to one peer, shared by all calls.
type link struct {
	dial func() (*quic.Conn, error)

	mu          sync.Mutex
	conn        *quic.Conn
	connectedAt time.Time
	// attempt is the making of a connection in progress, nil when there is none.
	attempt *dialAttempt
	// down is set from the loss of a connection, or the failure to make one, until one
	// is made.
	unreachable bool
	closed      bool
	// calls counts the calls in progress, used is the end of the latest.
	calls    int
	lastUsed time.Time
}

// begin counts a call as in progress, which keeps closeIdle from closing its connection.
func (l *link) beginCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
}

// end counts a call as over and starts the idle time anew.
func (l *link) endCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	l.lastUsed = time.Now()
}

// closeIdle closes a connection that no call has used for some time. The link does not
// count as down then: the next call makes a connection and waits for it.
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

// attempt is one making of a connection; conn and err are valid once done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *quic.Conn
	err  error
}

// connect returns the live connection or waits for one. All callers wait for the same
// attempt, each no longer than its own context: attempts of their own, one after the
// other, would let the last of many callers of a silent peer wait for all of them.
func (l *link) connect(ctx context.Context) (*quic.Conn, error) {
	conn, a, _ := l.connOrAttempt()
	if conn != nil {
		return conn, nil
	}
	return a.wait(ctx)
}

// connectReachable is connect that does not wait while the peer is down.
func (l *link) connectReachable(ctx context.Context) (*quic.Conn, error) {
	conn, a, down := l.connOrAttempt()
	switch {
	case conn != nil:
		return conn, nil
	case down:
		return nil, errUnreachable
	}
	return a.wait(ctx)
}

func (a *dialAttempt) wait(ctx context.Context) (*quic.Conn, error) {
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// current returns the live connection, or else the attempt in progress, started if
// need be, and whether the peer could not be reached lately.
func (l *link) connOrAttempt() (conn *quic.Conn, a *dialAttempt, down bool) {
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

// make dials, wakes the calls that wait for the attempt and notes whether the peer is down.
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

// lost notes the end of a connection. Until another is made the peer counts as down:
// most connections end by silence, and then the next attempts are silent too.
func (l *link) handleConnClosed(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.unreachable = true
	}
}

// restarted closes a connection that is older than the peer's process. The process
// was just heard, so calls wait for the new connection: as one to a peer that counts
// as down they would fail.
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

// close closes the connection, also one that is still being made.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		closeConn(l.conn)
	}
}

func closeConn(conn *quic.Conn) { _ = conn.CloseWithError(0, "peer no longer listed") }
