// Package slot decides who may use which slot of which worker.
//
// The slots of a worker are divided among the live entries of its failure domain by
// Share, a function of the members and the worker alone, so entries with equal views
// agree without a message. Views differ for some seconds after a failure; the worst
// result is a worker that refuses a task it has no slot for.
//
// Ledger is a lender's book of the slots of its share that peers may use for a term.
package slot
