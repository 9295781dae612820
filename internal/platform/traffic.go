package platform

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of calls to the platform, without TCP and IP headers.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
	dialer   net.Dialer
}

// dial makes a connection that counts its bytes.
func (t *Traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: t}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}
