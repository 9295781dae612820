// Package task holds the data model that coordinators and executors share. A job is a set of tasks. A
// task is run by one worker at a time, and each of its starts is a numbered run.
package task

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
)

// ID identifies a task.
type ID struct {
	// Job is the caller's identifier of the job.
	Job string
	// Occurrence is the number of the due time of a recurring job, from 0.
	Occurrence uint32
	// Step and Index are the task's position in its job, from 0.
	Step  uint32
	Index uint32
}

// String returns the ID in the form used in logs.
func (i ID) String() string { return fmt.Sprintf("%s/%d/%d/%d", i.Job, i.Occurrence, i.Step, i.Index) }

// Task is a task as its coordinator offers it to an executor.
type Task struct {
	ID ID
	// Run is the number of the next run, from 1. It never decreases for a task.
	Run uint32
	// Service is the pool of workers that may run the task.
	Service string
	// Queue is the queue in which the job arrived; empty where queues are not distinguished.
	Queue string
	// Label must be a label of the worker; empty for any worker.
	Label string
	// Payload is passed to the worker unchanged.
	Payload string
	Demand  capacity.Vector
	// Priority 0 is the most urgent.
	Priority int
	// ExpectedRunTime is the caller's estimate of the run time.
	ExpectedRunTime time.Duration
	// StartBy is the latest useful start time, on the executor's clock. The executor returns a task that
	// waits longer.
	StartBy time.Duration
	// Due is the time by which the task must end for its job to be on time, on the executor's clock.
	Due time.Duration
	// Avoid lists workers on which the task has failed.
	Avoid []string
	// Durable tasks belong to jobs that are stored. Their completions are acknowledged to the worker only
	// after they are stored too, and their runs continue for a moment after their coordinator fails.
	Durable bool
	// PerWorker is the number of tasks of the step that may run on one worker; 0 for any number.
	PerWorker int
	// NoWait: the executor returns the task at once unless the task can start now.
	NoWait bool
	// MaxEpoch is the highest holding epoch of a worker in which the task may start: the last epoch of
	// the executor that the coordinator knew when it offered the task. The coordinator could not wait for
	// runs in later epochs if the executor were lost. 0: the bound is not given, and any worker may start
	// the task.
	MaxEpoch uint64
	// OverShare tasks belong to jobs beyond the share of their queue and callers. They wait behind the
	// tasks within their shares.
	OverShare bool
	// OwnedSince is the store's revision at which the coordinator came to own the durable job. A later
	// owner has a higher one, and its claims and offers prevail. 0: not given.
	OwnedSince int64
}

// OutrankedBy reports whether another owner came to own the task's job later.
func (t *Task) OutrankedBy(ownedSince int64) bool {
	return t.OwnedSince > 0 && ownedSince > t.OwnedSince
}

// OwnedJob is a durable job with the revision at which its coordinator came to own it, as in a Task.
type OwnedJob struct {
	ID         string
	OwnedSince int64
}

// CompareOverShare orders tasks within their shares before tasks over their shares.
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

// RunRef identifies one run of a task.
type RunRef struct {
	ID  ID
	Run uint32
}

// Outcome is the outcome of a run.
type Outcome uint8

// Outcomes.
const (
	// NotRun: no worker has started this run, and none ever will.
	NotRun Outcome = iota + 1
	// Started: a worker is running it.
	Started
	// Done: the run succeeded.
	Done
	// Failed: the run failed, through its own fault or the worker's.
	Failed
	// Terminated: the run may have started, and certainly is not running any more.
	Terminated
	// Moved: another executor has taken over the worker; the run may continue there.
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
	// Worker is the worker that ran the task, or is running it.
	Worker string
	// Reason is the cause, as in the executor's log.
	Reason string
	// Token is set in reports of Started and Moved: the fencing token that the worker accepted in the
	// executor's holding epoch. 0: not given.
	Token uint64
}

// RunningTask is a run in a worker's list of runs.
type RunningTask struct {
	ID  ID
	Run uint32
	// Done and Failed report how an ended run ended. Both are false for a run that continues or was cut
	// off.
	Done, Failed bool
}
