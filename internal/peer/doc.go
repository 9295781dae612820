// Package peer sends requests between entries over QUIC with mutual TLS. Each request and its reply use one
// stream.
package peer
