// Package backend is a stand-in of backend servers for tests, dev and load: it has
// slots, a connection limit and run times, can be told to misbehave, and counts every
// start by submission and task, which makes it the witness of what really ran.
package backend
