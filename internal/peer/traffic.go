// The traffic of peer connections, in bytes and packets.

package peer

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"
)

// packetHeaderBytes is the size of the IPv4 and UDP headers of one packet.
const packetHeaderBytes = 28

// Traffic counts the bytes and packets of connections, with the UDP and IP headers.
type Traffic struct {
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
}

// Add returns the sum of both counts.
func (t Traffic) Add(o Traffic) Traffic {
	return Traffic{
		BytesSent:       t.BytesSent + o.BytesSent,
		BytesReceived:   t.BytesReceived + o.BytesReceived,
		PacketsSent:     t.PacketsSent + o.PacketsSent,
		PacketsReceived: t.PacketsReceived + o.PacketsReceived,
	}
}

func trafficOf(c *quic.Conn) Traffic {
	s := c.ConnectionStats()
	return Traffic{
		BytesSent:       s.BytesSent + packetHeaderBytes*s.PacketsSent,
		BytesReceived:   s.BytesReceived + packetHeaderBytes*s.PacketsReceived,
		PacketsSent:     s.PacketsSent,
		PacketsReceived: s.PacketsReceived,
	}
}

// trafficMeter adds up the traffic of connections, including those that have ended.
type trafficMeter struct {
	mu     sync.Mutex
	open   map[*quic.Conn]struct{}
	closed Traffic
}

// track counts a connection, also after its end.
func (m *trafficMeter) track(c *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open == nil {
		m.open = make(map[*quic.Conn]struct{})
	}
	m.open[c] = struct{}{}
	context.AfterFunc(c.Context(), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.open, c)
		m.closed = m.closed.Add(trafficOf(c))
	})
}

// total returns the traffic of all connections so far.
func (m *trafficMeter) total() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.closed
	for c := range m.open {
		t = t.Add(trafficOf(c))
	}
	return t
}

// Traffic returns the traffic of the connections made by this client.
func (c *Client) Traffic() Traffic { return c.meter.total() }

// Traffic returns the traffic of the connections that the server has accepted.
func (s *Server) Traffic() Traffic { return s.meter.total() }
