// Package coordinator brings jobs to their one answer.
//
// The daemon that a caller asked coordinates the job: it takes it or refuses it, by the room
// and the share of that room that its queue may have, offers the tasks to executors (its own
// and its peers'), moves those that wait to room elsewhere, restarts what is proved over, and
// answers once. It is a state machine without I/O: Drain returns the messages to executors and
// the answers that its caller has to carry out.
package coordinator
