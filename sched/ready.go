package sched

import "github.com/lavendercleat/lavendercleat/verdict"

// Start tells the embedder to send a task to a worker. Each Start must be answered
// by one call of Done.
type Start struct {
	Job    JobKey
	Task   int
	Worker string
	// Attempt counts the starts of the task from 1.
	Attempt int
}

// Abort tells the embedder to stop waiting for a started task; Done still has to
// be called.
type Abort struct {
	Job  JobKey
	Task int
}

// Ended tells that a job has ended: complete when Failure is nil.
type Ended struct {
	Job     JobKey
	Failure *verdict.Failure
}

// Ready holds the commands to carry out, in the order they were decided.
type Ready struct {
	Starts []Start
	Aborts []Abort
	Ended  []Ended
}

// Outcome is how a started task ended: well when Failure is nil.
type Outcome struct {
	Failure *verdict.Failure
	// Leaving is set when the worker's answer said that it is leaving.
	Leaving bool
}
