// Package node is the daemon that serves jobs on leased workers: it joins the state
// machines of the coordinator and the executor with the links to its peers, the orders
// to workers, the registry and the callers.
//
// One lock guards both state machines. Nothing waits while it is held: calls to workers
// run in goroutines of their own and come back as events, and frames to peers are queued.
package node
