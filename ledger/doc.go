// Package ledger keeps accepted jobs in a store that all daemons share, so that a job
// outlives the daemon that accepted it.
//
// Two entries stand for a job: its record, while it has not ended, and its state, which
// is short and stays for those who ask. Each record has one owner, the daemon that brings
// the job to its end. An owner's title is an entry of its own, and each write of records
// is conditional on it: whoever removes the title has stopped the owner with one write,
// also when that is frozen or cut off, and may then adopt its jobs.
//
// Ledger decides what is written and what an answer means. It does no I/O and reads no
// clock; an embedder takes batches from it and tells what became of them.
package ledger
