// Package member keeps an entry's view of its peers: which are alive, where their answers are kept
// after they stopped, and when a heartbeat to them is due. It also tracks the workers that have
// announced that they are leaving.
//
// Candidates for peers come from the platform's VM list and from settings. The list is not always up to
// date, so heartbeats alone decide which peers are alive. The package does no I/O: the caller passes
// heartbeats, ticks and the time.
package member
