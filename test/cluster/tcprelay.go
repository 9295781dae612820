package cluster

import (
	"io"
	"net"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

// TCPRelay forwards TCP connections to one target. Unlike toxiproxy it can silence the existing
// connections while new ones work, as a NAT or firewall does that has lost its connection table.
type TCPRelay struct {
	t       testing.TB
	address string
	target  string

	mu sync.Mutex
	// listener is nil after Cut.
	listener net.Listener
	conns    map[*relayedConn]bool
	// blocked is not nil while Block is in force. Heal closes it.
	blocked chan struct{}
}

// relayedConn is one connection through the relay.
type relayedConn struct {
	downstream, upstream *net.TCPConn
	// silenced is closed when the relay stops forwarding data on the connection.
	silenced    chan struct{}
	silenceOnce sync.Once
}

// newTCPRelay returns a relay at a free port of 127.0.0.1 to a target. It closes when the test ends.
func newTCPRelay(t testing.TB, target string) *TCPRelay { return RelayAt(t, "127.0.0.1:0", target) }

// RelayAt returns a relay at an address to a target. It closes when the test ends. A test that uses
// Cut and Restore must give an address that no other process takes in between; a free port that the
// kernel chose can be taken.
func RelayAt(t testing.TB, address, target string) *TCPRelay {
	t.Helper()
	r := &TCPRelay{t: t, address: address, target: target, conns: make(map[*relayedConn]bool)}
	r.Restore()
	t.Cleanup(r.Close)
	return r
}

// RelayTo returns a relay at a free port of 127.0.0.1 to a target. It closes when the test ends.
func RelayTo(t testing.TB, target string) *TCPRelay { return newTCPRelay(t, target) }

// Address returns the address at which the relay listens.
func (r *TCPRelay) Address() string { return r.address }

// Cut closes all connections and refuses new ones until Restore.
func (r *TCPRelay) Cut() {
	r.mu.Lock()
	l := r.listener
	r.listener = nil
	r.mu.Unlock()
	if l != nil {
		l.Close()
	}
	r.BreakExisting()
}

// Restore ends Cut; the relay listens at the same address again.
func (r *TCPRelay) Restore() {
	r.t.Helper()
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.mu.Lock()
	r.listener = l
	r.address = l.Addr().String()
	r.mu.Unlock()
	go r.accept(l)
}

// Connections returns the number of connections that still forward data.
func (r *TCPRelay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for c := range r.conns {
		if !c.isSilenced() {
			n++
		}
	}
	return n
}

// MuteExisting silences the existing connections for good, as if the network lost all packets:
// neither end receives data or acknowledgements.
func (r *TCPRelay) MuteExisting() { r.silenceExisting(dropPackets) }

// StallExisting silences the existing connections for good, but the relay's kernel still
// acknowledges packets, as with a proxy that hangs.
func (r *TCPRelay) StallExisting() { r.silenceExisting(func(*net.TCPConn) {}) }

// silenceExisting calls prepare for both sockets of each connection and stops forwarding its data.
func (r *TCPRelay) silenceExisting(prepare func(*net.TCPConn)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silenceOnce.Do(func() {
			prepare(c.downstream)
			prepare(c.upstream)
			close(c.silenced)
		})
	}
}

// dropPackets makes the kernel drop all packets that arrive for the connection, so that the sender
// receives no acknowledgements.
func dropPackets(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return // The connection is closed.
	}
	none := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	_ = raw.Control(func(fd uintptr) {
		prog := &unix.SockFprog{Len: uint16(len(none)), Filter: &none[0]}
		if err := unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, prog); err != nil {
			panic(err) // Without the filter the test would pass without its fault.
		}
	})
}

// Block makes the relay accept new connections without forwarding them until Heal.
func (r *TCPRelay) Block() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked == nil {
		r.blocked = make(chan struct{})
	}
}

// Heal ends Block: the relay forwards the connections that waited, and new ones.
func (r *TCPRelay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked != nil {
		close(r.blocked)
		r.blocked = nil
	}
}

// BreakExisting closes the existing connections.
func (r *TCPRelay) BreakExisting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

// Close stops the relay and closes its connections.
func (r *TCPRelay) Close() {
	r.Heal()
	r.Cut()
}

// accept accepts connections until the listener is closed.
func (r *TCPRelay) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.relay(c.(*net.TCPConn))
	}
}

// relay connects an accepted connection to the target and copies data both ways until one end closes.
func (r *TCPRelay) relay(downstream *net.TCPConn) {
	r.mu.Lock()
	blocked := r.blocked
	r.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		downstream.SetLinger(0)
		downstream.Close()
		return
	}
	c := &relayedConn{downstream: downstream, upstream: upstream.(*net.TCPConn), silenced: make(chan struct{})}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copyData(c.upstream, c.downstream) })
	both.Go(func() { c.copyData(c.downstream, c.upstream) })
	both.Wait()
	if c.isSilenced() {
		return // Closing it would tell each end that the other has closed. Close closes it.
	}
	c.close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (c *relayedConn) isSilenced() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

func (c *relayedConn) close() {
	c.downstream.Close()
	c.upstream.Close()
}

// copyData copies one direction until an end closes or the connection is silenced.
func (c *relayedConn) copyData(to, from *net.TCPConn) {
	buf := make([]byte, maxPacket)
	for {
		n, err := from.Read(buf)
		if c.isSilenced() {
			_, _ = io.Copy(io.Discard, from) // The kernel acknowledges the data; the relay discards it.
			return
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			break
		}
	}
	// The end of one direction closes both: net/http does not need half-closed connections.
	c.close()
}
