// Package coordinator brings jobs to their one answer.
//
// The daemon that a caller asked coordinates the job: it offers the tasks to executors
// (its own and its peers'), restarts what is proved over, and answers once. It is a
// state machine without I/O: Drain returns the offers, withdrawals, claims and answers
// that its caller has to carry out.
package coordinator
