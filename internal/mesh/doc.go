// Package mesh links the daemons of a fleet.
//
// Each daemon dials every other one; what it has to say goes over the connection it
// dialed. Numbered frames are delivered once and in order between two processes, also
// across new connections, until one side counts the other as lost. Loss has two forms:
// a refused connection proves that the process is gone; silence, or echoes that stay
// behind, tells only that it can't be reached. A link that comes back after a loss
// begins a new session, by which the other side learns that its state was dropped.
//
// Plain TCP with protobuf frames: the daemons of one deployment talk on the platform's
// private network, which gives them no keys, and QUIC's encryption and timers would cost
// more processor time than the messages themselves.
package mesh
