// Package submission holds identifiers of submissions and the table of their records.
//
// A submission has one owner for life: its identifier names the one process, by
// address and incarnation, that may start its tasks. An owner that dies takes that
// right with it, so no lease, clock or agreement between machines is needed to keep
// a task from starting twice.
//
// The package does no I/O and reads no clock: times are durations on the owner's
// monotonic clock, counted from the start of the process.
//
// To embed it, make one Minter and one Table per process. For each request: Parse and
// Verify the identifier, then Begin; whoever is told "first" starts the work and gives
// the record its ending with End, all others wait for Done. Call Sweep every second.
// Hand a request whose identifier names another owner to that owner.
package submission
