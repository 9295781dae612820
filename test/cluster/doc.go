// Package cluster starts the built binary as real processes for integration tests:
// entries, stand-ins of backend servers and of the platform's service. Every TCP link
// to a worker and to the platform goes through toxiproxy, every peer link through a
// UDP relay, so that links can be cut or go silent; processes can be killed, frozen
// and restarted at the same address.
package cluster
