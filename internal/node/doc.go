// Package node implements the daemon that runs callers' jobs on leased workers. It connects the
// state machines of the coordinator and the executor with the links to peers, the orders to
// workers, the registry and the callers.
//
// One lock guards both state machines. No code waits for I/O while it holds the lock: calls to
// workers run in their own goroutines and return as events, and frames to peers are queued.
package node
