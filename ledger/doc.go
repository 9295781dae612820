// Package ledger keeps durable jobs in a store that all daemons share, so that an accepted job survives
// the failure of the daemon that accepted it.
//
// The store has two entries for a job. The record exists until the job ends. The state is short, and
// remains for some time after the end for queries about the job. Each record has one owner, the daemon
// that runs the job to its end. The ownership record of a daemon is a separate entry, and every write of
// job records requires that it exists. A daemon that removes the ownership record of another thus fences
// all writes of that owner at once, even if the owner is suspended or cut off from its peers, and may then
// take over the owner's jobs.
//
// A job is canceled by any daemon in one change, which also writes a notice to the job's owner. Owners read
// their notices; nothing else tells an owner for certain that another daemon has canceled its job.
//
// Ledger decides which changes to write and what the store's answers mean. It does no I/O and reads no
// clock. The embedder takes batches from it, writes them, and reports the results.
package ledger
