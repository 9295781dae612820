package coordinator

import (
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// Job is a caller's request: steps of tasks that run on the workers of one service.
type Job struct {
	ID      string
	Service string
	// Queue names the queue that the job was submitted to; empty where queues are not distinguished.
	Queue   string
	Payload string
	Steps   []Step
	// Attempts is how many runs of one task may fail: the last of them fails the job.
	Attempts int
	// Priority 0 is the most urgent.
	Priority int
	// Stretch and Target give the time within which the answer is on time: Stretch times the
	// expected time of the longest chain of steps, plus Target.
	Stretch float64
	Target  time.Duration
	// Deadline is when the caller stops waiting, on the coordinator's clock. Durable jobs have none.
	Deadline time.Duration
	// Durable jobs are stored: they have no deadline and are never given up.
	Durable bool
	// OwnedSince is the store's revision at which this daemon came to own a durable job; 0: not given.
	OwnedSince int64
	// TakenOver: an earlier coordinator may have started tasks of a durable job, and Progress is what it
	// stored; empty if it stored no start.
	TakenOver bool
	Progress  []Progress
}

// Step is a number of equal tasks of a job.
type Step struct {
	Count           int
	Demand          capacity.Vector
	Label           string
	ExpectedRunTime time.Duration
	// After lists the indexes of the steps that have to be done first.
	After []int
	// PerWorker limits how many of the tasks run on one worker at a time; 0: no limit.
	PerWorker int
}

// Status is the kind of a job's answer.
type Status uint8

// The kinds of answers.
const (
	// Completed: all tasks are done.
	Completed Status = iota + 1
	// TaskFailed: all attempts of a task failed.
	TaskFailed
	// Refused: no task of the job has run, and none will.
	Refused
	// GivenUp: tasks of the job may have run, and the job cannot be answered in time.
	GivenUp
)

// String returns the name of the status in logs and counters.
func (s Status) String() string {
	names := [...]string{"unknown", "completed", "task_failed", "refused", "given_up"}
	if int(s) < len(names) {
		return names[s]
	}
	return names[0]
}

// Reason is the cause of a refusal or of giving a job up, in logs and counters.
type Reason string

// The reasons for refusing jobs and giving them up.
const (
	ReasonNoWorkers  Reason = "no_workers"
	ReasonNoCapacity Reason = "no_room"
	// ReasonOverShare: there is no free capacity, and the job exceeds the share of its queue and domain.
	ReasonOverShare Reason = "beyond_share"
	// ReasonDomainsRetired: all failure domains in which the service has workers are retired.
	ReasonDomainsRetired Reason = "domains_retired"
	ReasonDeadline       Reason = "deadline"
	ReasonExecutorLost   Reason = "holder_lost"
	ReasonTooLate        Reason = "too_late_to_restart"
	// ReasonWorkersCrashed: as many workers crashed while running a task as its attempts allow.
	ReasonWorkersCrashed Reason = "workers_crashed"
	ReasonStopping       Reason = "stopping"
	// ReasonNoStore: the store cannot take a durable job.
	ReasonNoStore Reason = "no_store"
	// ReasonNotGranted: the daemon did not get the right to start the job in time.
	ReasonNotGranted Reason = "not_granted"
	// ReasonCanceled: one caller canceled the job while another waited for its answer.
	ReasonCanceled Reason = "canceled"
)

// Answer ends a job. Each job gets exactly one.
type Answer struct {
	Job        string
	Status     Status
	Reason     Reason
	RetryAfter time.Duration
	// Waited is the time since the job was submitted.
	Waited time.Duration
}

// taskState is the coordinator's view of a task.
type taskState uint8

const (
	// blocked: preceding steps are not done, or the task is about to be offered again.
	blocked taskState = iota
	// offered: an executor has the task, queued or running.
	offered
	// lost: the executor that had the task is unreachable or lost the worker; the run may continue.
	lost
	done
	// deferred: no executor could take a durable task; it is offered again at offerAt.
	deferred
)

// jobTask is a task of a job, with its run and its placement.
type jobTask struct {
	task.Task
	state  taskState
	holder member.Process
	// worker runs the task, as far as is known; token is the fencing token of the holding epoch in
	// which it was started; 0: not known.
	worker string
	token  uint64
	// queued: the executor had no free capacity when the task was offered; reclaiming: the executor
	// was asked to give it back.
	queued, reclaiming bool
	// failures counts failed runs, offers counts all offers.
	failures, offers int
	// previousStarted is the number of the latest run before Run that may have started; notStarted:
	// Run itself is proved not to have started.
	previousStarted uint32
	notStarted      bool
	// crashes counts runs that ended because their worker crashed.
	crashes    int
	failedRuns []uint32
	// unknownRuns: an earlier coordinator may have started runs that this one does not know of.
	unknownRuns bool
	// reservedAt lists executors that were asked to reserve capacity for the task. moveTo has
	// reserved some: the task is offered to it once the executor at which it is queued gives it back.
	reservedAt []member.Process
	moveTo     member.Process
	// lostDeadline is when the job of a lost task is given up, or when the run of a durable one is
	// certainly over.
	lostDeadline time.Duration
	// offerAt is when a deferred task is offered again.
	offerAt time.Duration
}

// latestStarted returns the number of the latest run that may have started.
func (t *jobTask) latestStarted() uint32 {
	if t.notStarted {
		return t.previousStarted
	}
	return t.Run
}

// job is a job that has no answer yet.
type job struct {
	Job
	submittedAt time.Duration
	due         time.Duration
	tasks       []*jobTask
	// remaining counts the tasks of each step that are not done.
	remaining []int
	// mayHaveRun is set once a worker may have started a task, started once a worker is known to have
	// started one.
	mayHaveRun, started bool
	ended               bool
	// overShare: the job exceeds the share of its queue and domain.
	overShare bool
	// parked jobs wait for workers to become known until parkedUntil.
	parked      bool
	parkedUntil time.Duration
	// reconcileAt is when executors are asked again for the lost tasks of a durable job.
	reconcileAt time.Duration
}

// newJob returns a job with the tasks of all its steps.
func newJob(now time.Duration, j Job) *job {
	n := &job{Job: j, submittedAt: now, remaining: make([]int, len(j.Steps))}
	n.due = now + time.Duration(j.Stretch*float64(longestChain(j.Steps))) + j.Target
	for s, step := range j.Steps {
		n.remaining[s] = step.Count
		for i := range step.Count {
			n.tasks = append(n.tasks, &jobTask{Task: task.Task{
				ID: task.ID{Job: j.ID, Step: uint32(s), Index: uint32(i)}, Service: j.Service, Queue: j.Queue, Label: step.Label,
				Payload: j.Payload, Demand: step.Demand, Priority: j.Priority, ExpectedRunTime: step.ExpectedRunTime,
				Due: n.due, StartBy: j.Deadline - step.ExpectedRunTime/2, Durable: j.Durable, PerWorker: step.PerWorker, OwnedSince: j.OwnedSince,
			}})
		}
	}
	return n
}

// longestChain returns the sum of the expected times along the longest chain of steps. A step
// depends on earlier ones only.
func longestChain(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.ExpectedRunTime
		longest = max(longest, ends[i])
	}
	return longest
}

// ready reports whether all steps before step s are done.
func (j *job) ready(s uint32) bool {
	for _, a := range j.Steps[s].After {
		if j.remaining[a] > 0 {
			return false
		}
	}
	return true
}

func (j *job) find(id task.ID) *jobTask {
	for _, t := range j.tasks {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// readyTasks returns the tasks whose preceding steps are done.
func (j *job) readyTasks() (list []*task.Task) {
	for _, t := range j.tasks {
		if j.ready(t.ID.Step) {
			list = append(list, &t.Task)
		}
	}
	return list
}
