// Package entry is the daemon on an entry VM: it takes callers' jobs, owns the
// submissions it minted identifiers for, forwards the others to their owners and
// runs tasks on workers. The decisions are those of the public packages; this
// package does the I/O around them.
package entry
