// Package submission issues and verifies the identifiers of submissions and stores the
// records of submissions.
//
// A submission has one owner, which never changes. Its identifier names the owner, a
// process with an address and an incarnation, and only the owner may start its tasks. If
// the owner dies, no process may start them any more. So no lease, clock or agreement
// between machines is needed to prevent a task from starting twice.
//
// The package does no I/O and reads no clock. Times are durations on the owner's
// monotonic clock, counted from the start of the process.
//
// An embedder creates one Minter and one Table per process. For each request it calls
// Parse and Verify for the identifier, then Begin. The caller for which Begin returns
// "first" starts the work and ends the record with End; all other callers wait for Done.
// The embedder calls Sweep every second, and forwards a request whose identifier names
// another owner to that owner.
package submission
