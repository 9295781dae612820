// Package leased holds the integration tests of the daemon on the users' platform: real
// processes against a stand-in of the platform's store and workers, which misbehave.
package leased
