// A TCP proxy whose existing connections can be silenced.

package cluster

import (
	"io"
	"net"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

// TCPProxy forwards TCP connections to one target. Unlike toxiproxy it can silence the existing
// connections while new ones work, as a NAT or firewall does that has lost its connection table.
type TCPProxy struct {
	t       testing.TB
	address string
	target  string

	mu sync.Mutex
	// listener is nil after Cut.
	listener net.Listener
	conns    map[*proxiedConn]bool
	// blocked is not nil while Block is in force. Unblock closes it.
	blocked chan struct{}
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	downstream, upstream *net.TCPConn
	// silenced is closed when the proxy stops forwarding data on the connection.
	silenced    chan struct{}
	silenceOnce sync.Once
}

// newTCPProxy returns a proxy at a free port of 127.0.0.1 to a target. It closes when the test ends.
func newTCPProxy(t testing.TB, target string) *TCPProxy {
	return NewTCPProxyAt(t, "127.0.0.1:0", target)
}

// NewTCPProxyAt returns a proxy at an address to a target. It closes when the test ends. A test that
// uses Cut and Restore must give an address that no other process takes in between; a free port that
// the kernel chose can be taken.
func NewTCPProxyAt(t testing.TB, address, target string) *TCPProxy {
	t.Helper()
	p := &TCPProxy{t: t, address: address, target: target, conns: make(map[*proxiedConn]bool)}
	p.Restore()
	t.Cleanup(p.Close)
	return p
}

// NewTCPProxy returns a proxy at a free port of 127.0.0.1 to a target. It closes when the test ends.
func NewTCPProxy(t testing.TB, target string) *TCPProxy { return newTCPProxy(t, target) }

// Address returns the address at which the proxy listens.
func (p *TCPProxy) Address() string { return p.address }

// Cut closes all connections and refuses new ones until Restore.
func (p *TCPProxy) Cut() {
	p.mu.Lock()
	l := p.listener
	p.listener = nil
	p.mu.Unlock()
	if l != nil {
		l.Close()
	}
	p.BreakExisting()
}

// Restore ends Cut; the proxy listens at the same address again.
func (p *TCPProxy) Restore() {
	p.t.Helper()
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.mu.Lock()
	p.listener = l
	p.address = l.Addr().String()
	p.mu.Unlock()
	go p.accept(l)
}

// Connections returns the number of connections that still forward data.
func (p *TCPProxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if !c.isSilenced() {
			n++
		}
	}
	return n
}

// MuteExisting silences the existing connections for good, as if the network lost all packets:
// neither end receives data or acknowledgements.
func (p *TCPProxy) MuteExisting() { p.silenceExisting(dropPackets) }

// StallExisting silences the existing connections for good, but the proxy's kernel still
// acknowledges packets, as with a proxy that hangs.
func (p *TCPProxy) StallExisting() { p.silenceExisting(func(*net.TCPConn) {}) }

// silenceExisting calls prepare for both sockets of each connection and stops forwarding its data.
func (p *TCPProxy) silenceExisting(prepare func(*net.TCPConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
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

// Block makes the proxy accept new connections without forwarding them until Unblock.
func (p *TCPProxy) Block() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked == nil {
		p.blocked = make(chan struct{})
	}
}

// Unblock ends Block: the proxy forwards the connections that waited, and new ones.
func (p *TCPProxy) Unblock() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked != nil {
		close(p.blocked)
		p.blocked = nil
	}
}

// BreakExisting closes the existing connections.
func (p *TCPProxy) BreakExisting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

// Close stops the proxy and closes its connections.
func (p *TCPProxy) Close() {
	p.Unblock()
	p.Cut()
}

// accept accepts connections until the listener is closed.
func (p *TCPProxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(c.(*net.TCPConn))
	}
}

// forward connects an accepted connection to the target and copies data both ways until one end
// closes.
func (p *TCPProxy) forward(downstream *net.TCPConn) {
	p.mu.Lock()
	blocked := p.blocked
	p.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		downstream.SetLinger(0)
		downstream.Close()
		return
	}
	c := &proxiedConn{downstream: downstream, upstream: upstream.(*net.TCPConn), silenced: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copyData(c.upstream, c.downstream) })
	both.Go(func() { c.copyData(c.downstream, c.upstream) })
	both.Wait()
	if c.isSilenced() {
		return // Closing it would tell each end that the other has closed. Close closes it.
	}
	c.close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (c *proxiedConn) isSilenced() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

func (c *proxiedConn) close() {
	c.downstream.Close()
	c.upstream.Close()
}

// copyData copies one direction until an end closes or the connection is silenced.
func (c *proxiedConn) copyData(to, from *net.TCPConn) {
	buf := make([]byte, maxPacket)
	for {
		n, err := from.Read(buf)
		if c.isSilenced() {
			_, _ = io.Copy(io.Discard, from) // The kernel acknowledges the data; the proxy discards it.
			return
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			break
		}
	}
	// The end of one direction closes both: net/http does not need half-closed connections.
	c.close()
}
