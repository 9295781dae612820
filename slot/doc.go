// Package slot divides the slots of workers among entries and records slot loans.
//
// Share divides the slots of a worker among the live entries of the worker's failure
// domain. It depends only on the members and the worker, so entries with equal views
// agree without exchanging messages. Views can differ for some seconds after a failure.
// The worst result is that a worker refuses a task for which it has no slot.
//
// Ledger records, for a lender, which slots of its share it has lent to peers for a term.
package slot
