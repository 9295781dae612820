// Package peer carries requests between entries over QUIC with mutual TLS. Each
// request and its reply take one stream.
package peer
