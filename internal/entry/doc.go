// Package entry is the daemon of an entry VM. It accepts jobs from callers and runs their tasks on
// workers. It owns the submissions for which it minted the identifiers, and forwards requests for
// other submissions to their owners.
//
// The public packages (sched, submission, member, quota, slot, config) make the decisions. This package
// does the I/O around them.
package entry
