package mesh

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newHangingLink returns a link whose dials get no answer.
func newHangingLink(t *testing.T) *link {
	m := &Mesh{started: time.Now()}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	t.Cleanup(m.cancel)
	m.dialer = net.Dialer{ControlContext: func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done()
		return ctx.Err()
	}}
	return newLink(m, netip.MustParseAddrPort("127.0.0.1:9"))
}

// A peer had no power when this daemon dialed it, and the dial's packets were lost. When the peer is running
// again and dials this daemon, the daemon must restart its own dial at once. Otherwise callers that retry
// wait for workers until the link is up.
func TestStaleDialRestartsWhenPeerDials(t *testing.T) {
	l := newHangingLink(t)
	ended := make(chan error, 1)
	go func() {
		_, err := l.dial()
		ended <- err
	}()
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		dialing := l.cancelDial != nil
		l.mu.Unlock()
		if dialing {
			break
		}
		assert.Assert(t, time.Now().Before(until))
	}
	l.mu.Lock()
	l.dialStarted = time.Now()
	l.dialNow()
	l.mu.Unlock()
	select {
	case <-ended:
		t.Fatal("a recent dial was restarted; want both ends to keep their dials")
	case <-time.After(staleDialAge / 2):
	}
	l.mu.Lock()
	l.dialStarted = time.Now().Add(-staleDialAge)
	l.dialNow()
	l.mu.Unlock()
	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the stale dial was not canceled within 5 s")
	}
	assert.Equal(t, len(l.redialNow), 1, "the new dial must start without a pause")
}
