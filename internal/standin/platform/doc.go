// Package platform is a stand-in of the platform's service for tests and dev:
// a key-value store with compare-and-swap, leases and watches, and a list of VMs
// that can be made to lag. Everything is kept in memory.
package platform
