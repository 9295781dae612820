package peer

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// silenceTimeout is how long a connection may be silent before it is given up: a
	// path can go silent for good while new connections work.
	silenceTimeout = 3 * time.Second
	// keepAlive keeps an idle connection from counting as silent.
	keepAlive = time.Second
	// handshakeTimeout bounds the making of a connection.
	handshakeTimeout = 2 * time.Second
	// maxStreams bounds the calls in progress of one peer.
	maxStreams = 10_000
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       silenceTimeout,
		KeepAlivePeriod:      keepAlive,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}
