// Package mesh connects the daemons of a fleet to each other.
//
// Each daemon dials every other one and writes only to the connection that it dialed. Between two
// processes, numbered frames are delivered once and in order, also across reconnects, until one side
// finds the other unreachable. There are two cases. A refused connection is reported as the end of the
// peer's process. A partition may refuse connections too, so a handler for which that matters must wait until
// the other side has timed out as well. Silence, or echoes that fall behind, shows only that the peer cannot
// be reached. When a link comes up again after a peer was unreachable, it starts a new session. The new
// session tells the other side that this side has dropped its state.
//
// The links use plain TCP with protobuf frames. The daemons of a deployment communicate over the
// platform's private network, which gives them no keys. The encryption and the timers of QUIC would take
// more processor time than the messages themselves.
package mesh
