// Package member keeps an entry's view of its peers.
//
// Candidates come from the platform's VM list and from settings; the list lags, so
// heartbeats alone decide who is alive. The package does no I/O: feed it heartbeats
// and ticks with the time, and ask it for the view.
package member
