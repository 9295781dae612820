package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/verdict"
)

var statusRequest = &schema.Request{Body: &schema.Request_Status{Status: &schema.StatusRequest{}}}

// newSilentPeer returns an address that receives packets and never answers.
func newSilentPeer(t *testing.T) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, conn.Close()) })
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Many calls wait for a peer that does not answer. All of them must fail when the one shared dial attempt
// fails, not one after the other, and later calls must fail at once.
func TestCallsShareDialAttempt(t *testing.T) {
	t.Parallel()
	c := NewClient(newCredentials(t), netip.MustParseAddr("127.0.0.1"))
	defer c.Close()
	to := newSilentPeer(t)
	const calls = 20
	start := time.Now()
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			_, failure := c.CallIfReachable(t.Context(), to, statusRequest)
			assert.Check(t, failure != nil && failure.Verdict == verdict.NotRun)
		})
	}
	wg.Wait()
	assert.Check(t, time.Since(start) < 3*handshakeTimeout, "%s", time.Since(start))

	start = time.Now()
	_, failure := c.CallIfReachable(t.Context(), to, statusRequest)
	assert.Check(t, failure != nil)
	assert.Check(t, time.Since(start) < handshakeTimeout/2, "%s", time.Since(start))
}

// A call must return when its own context ends, also while the dial attempt goes on.
func TestCallReturnsWhenContextEnds(t *testing.T) {
	t.Parallel()
	c := NewClient(newCredentials(t), netip.MustParseAddr("127.0.0.1"))
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	begin := time.Now()
	_, failure := c.Call(ctx, newSilentPeer(t), statusRequest)
	assert.Check(t, failure != nil && failure.Verdict == verdict.NotRun)
	assert.Check(t, time.Since(begin) < handshakeTimeout/2, "%s", time.Since(begin))
}

// An unreachable peer answers again. A call that failed at once must have started the dial attempt that
// finds this out.
func TestUnreachablePeerIsReconnected(t *testing.T) {
	t.Parallel()
	cred := newCredentials(t)
	c := NewClient(cred, netip.MustParseAddr("127.0.0.1"))
	defer c.Close()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	to := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	_, failure := c.CallIfReachable(t.Context(), to, statusRequest)
	assert.Check(t, failure != nil)
	assert.NilError(t, conn.Close())
	s, err := Listen(to, cred, &countingHandler{})
	assert.NilError(t, err)
	defer s.Close()
	deadline := time.Now().Add(5 * handshakeTimeout)
	for {
		if _, failure = c.CallIfReachable(t.Context(), to, statusRequest); failure == nil {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "the peer was not reached again: %v", failure)
		time.Sleep(50 * time.Millisecond)
	}
}

// A peer that counts as unreachable restarts and sends a heartbeat. The next call must wait for the
// connection to the new process. If it failed at once, its caller would be told that a running entry is
// unreachable.
func TestCallWaitsForConnectionToRestartedPeer(t *testing.T) {
	errDial := errors.New("tried")
	dial := func() (*quic.Conn, error) { return nil, errDial }
	_, err := (&link{dial: dial, unreachable: true}).connectReachable(t.Context())
	assert.ErrorIs(t, err, errUnreachable)
	l := &link{dial: dial, unreachable: true}
	l.closeStale(0)
	_, err = l.connectReachable(t.Context())
	assert.ErrorIs(t, err, errDial)
}
