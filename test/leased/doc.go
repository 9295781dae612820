// Package leased holds the integration tests of the daemon on the users' platform. They run the
// daemon's binary against a stand-in of the platform's store and workers and inject faults.
package leased
