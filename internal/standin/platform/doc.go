// Package platform implements a stand-in of the platform's service for tests and the dev command: a
// key-value store with compare-and-swap, leases and watches, and a list of VMs whose changes can be
// delayed. It keeps all data in memory.
package platform
