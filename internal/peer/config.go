package peer

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// silenceTimeout is how long a connection may be silent before it is given up: a
	// path can go silent for good while new connections work.
	silenceTimeout = 3 * time.Second
	// keepAlive keeps an idle connection from counting as silent. Only the end that
	// made the connection sends it: the answer keeps the other end's timer from running
	// out too, and both ends' would double the bytes.
	keepAlive = 1400 * time.Millisecond
	// handshakeTimeout bounds the making of a connection.
	handshakeTimeout = 2 * time.Second
	// maxStreams bounds the calls in progress of one peer.
	maxIncomingStreams = 10_000
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       silenceTimeout,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   maxIncomingStreams,
	}
}

// dialConfig is the configuration of the end that makes a connection.
func dialConfig() *quic.Config {
	c := quicConfig()
	c.KeepAlivePeriod = keepAlive
	return c
}
