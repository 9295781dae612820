// The QUIC settings of both ends of a connection.

package peer

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// silenceTimeout is how long a connection may be silent before it is closed. A path can stop working
	// permanently while new connections work.
	silenceTimeout = 3 * time.Second
	// keepAlive keeps an idle connection from counting as silent. Only the end that dialed sends
	// keep-alive packets. The answers to them keep the other end's timer from expiring too, and packets
	// from both ends would double the bytes.
	keepAlive = 1400 * time.Millisecond
	// handshakeTimeout is how long a connection attempt may take.
	handshakeTimeout = 2 * time.Second
	// maxIncomingStreams is the largest number of calls in progress from one peer.
	maxIncomingStreams = 10_000
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       silenceTimeout,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   maxIncomingStreams,
	}
}

// dialConfig returns the settings of the end that dials.
func dialConfig() *quic.Config {
	c := quicConfig()
	c.KeepAlivePeriod = keepAlive
	return c
}
