// Package task holds the model that coordinators and executors share: a job is a set of
// tasks; a task is run by one worker at a time, and each of its starts is a numbered run.
package task

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
)

// ID names a task.
type ID struct {
	// Job is the caller's identifier of the job.
	Job string
	// Occurrence counts the times at which a recurring job is due, from 0.
	Occurrence uint32
	// Step and Index give the task's place in its job, from 0.
	Step  uint32
	Index uint32
}

// String returns a form for logs.
func (i ID) String() string { return fmt.Sprintf("%s/%d/%d/%d", i.Job, i.Occurrence, i.Step, i.Index) }

// Task is one task as its coordinator hands it to an executor.
type Task struct {
	ID ID
	// Run is the number of the next start, from 1. Numbers of one task never fall.
	Run uint32
	// Service names the pool of workers that may run the task.
	Service string
	// Queue names the queue that the job came by; empty where queues aren't told apart.
	Queue string
	// Label is one that the worker must have; empty for any worker.
	Label string
	// Payload is passed to the worker as it is.
	Payload string
	Demand  capacity.Vector
	// Priority 0 is the most urgent.
	Priority int
	// ExpectedRunTime is the caller's estimate of the run time.
	ExpectedRunTime time.Duration
	// StartBy is the last useful time to start, on the executor's clock. A task that
	// waits longer is given back.
	StartBy time.Duration
	// Due is when the task has to end for its job to be on time, on the executor's clock.
	Due time.Duration
	// Avoid lists workers on which the task has failed.
	Avoid []string
	// Durable tasks are of jobs that are stored: their ends are acknowledged to the worker
	// only when they are stored too, and their runs outlive their coordinator for a moment.
	Durable bool
	// PerWorker is how many tasks of the step may run on one worker; 0: any number.
	PerWorker int
	// NoWait: the task is given back at once unless it can start now.
	NoWait bool
	// MaxEpoch bounds the workers that may start the task, by the tenures of the executor that the
	// coordinator knew of when it offered the task: what it doesn't know of it can't wait for when
	// the executor is lost. 0: not told, any worker may.
	MaxEpoch uint64
	// OverShare tasks are of jobs beyond the share of their queue and callers: they wait behind
	// those within theirs.
	OverShare bool
}

// CompareOverShare puts tasks within their shares before surplus ones.
func CompareOverShare(a, b *Task) int {
	switch {
	case a.OverShare == b.OverShare:
		return 0
	case b.OverShare:
		return -1
	default:
		return 1
	}
}

// RunRef names one run of a task.
type RunRef struct {
	ID  ID
	Run uint32
}

// Outcome is what became of a run.
type Outcome uint8

// Outcomes.
const (
	// NotRun: no worker has started this run and none ever will.
	NotRun Outcome = iota + 1
	// Started: a worker runs it.
	Started
	// Done: it ended well.
	Done
	// Failed: it ended by its own fault or the worker's.
	Failed
	// Terminated: it may have started, and it is certain that it doesn't run any more.
	Terminated
	// Moved: another executor took the worker over; the run may go on there.
	Moved
)

// String returns the outcome's name in logs and counters.
func (o Outcome) String() string {
	names := [...]string{"unknown", "not_run", "started", "done", "failed", "gone", "moved"}
	if int(o) < len(names) {
		return names[o]
	}
	return names[0]
}

// Report tells a coordinator about a run.
type Report struct {
	ID      ID
	Run     uint32
	Outcome Outcome
	// Worker is where it ran or runs.
	Worker string
	// Reason says why, in the words of the executor's log.
	Reason string
	// Token, in reports of Started and Moved, is the fencing token that the worker obeyed in the
	// executor's tenure; 0: not told.
	Token uint64
}

// RunningTask is a run that a worker lists.
type RunningTask struct {
	ID  ID
	Run uint32
	// Done and Failed tell how an ended run ended; neither for one that runs or was cut off.
	Done, Failed bool
}
