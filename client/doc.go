// Package client calls the caller interface of an entry, directly or through the load balancer in front
// of the entries.
//
// Most callers need only Submit. It reserves an identifier, sends the job with it and retries until the
// answer is final. The retries do no harm, because the owner of the identifier starts the job only once.
//
// A Client needs the URL and the token of the caller's team. If Submit returns a failed answer, its field
// Resubmit says whether the caller may submit the same job again.
package client
