// Package client calls the caller interface of an entry, or of the balancer in front
// of the entries.
//
// Submit is what most callers want: it reserves an identifier, sends the job under it
// and asks again until there is a final answer. Asking again is harmless, for the
// owner of the identifier starts the job once.
//
// A Client needs the URL and the team's token. After Submit returns, a failed answer's
// Resubmit says whether the same job may be submitted again.
package client
