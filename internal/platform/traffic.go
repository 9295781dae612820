// The bytes sent to and received from the platform.

package platform

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of the calls to the platform, without TCP and IP headers.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
	dialer   net.Dialer
}

// dial makes a connection whose bytes are counted.
func (t *Traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, traffic: t}, nil
}

// countingConn is a connection that adds its bytes to a Traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}
