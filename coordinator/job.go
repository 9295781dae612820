package coordinator

import (
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// Job is a caller's request.
type Job struct {
	ID      string
	Service string
	// Queue names the queue that the job came by; empty where queues aren't told apart.
	Queue   string
	Payload string
	Steps   []Step
	// Attempts is how often a task may fail before the job has failed.
	Attempts int
	// Priority 0 is the most urgent.
	Priority int
	// Stretch and Target give the time within which the answer is on time: Stretch times
	// the longest chain of work, and Target more.
	Stretch float64
	Target  time.Duration
	// Deadline is when the caller stops waiting, on the coordinator's clock; kept jobs
	// have none.
	Deadline time.Duration
	// Durable jobs are stored: they have no deadline and are never given up.
	Durable bool
	// Progress is what was stored of a kept job by an earlier coordinator.
	Progress []Progress
}

// Step is a number of equal tasks.
type Step struct {
	Count           int
	Demand          capacity.Vector
	Label           string
	ExpectedRunTime time.Duration
	// After lists the steps, by place, that have to be done first.
	After []int
	// PerWorker is how many of the tasks may run on one worker; 0: any number.
	PerWorker int
}

// Status is how a job ended.
type Status uint8

// Statuses.
const (
	// Completed: all tasks are done.
	Completed Status = iota + 1
	// TaskFailed: a task has failed as often as it may.
	TaskFailed
	// Refused: nothing of the job has run or ever will.
	Refused
	// GivenUp: the job may have run and will not be answered in time.
	GivenUp
)

// String returns the status's name in logs and counters.
func (s Status) String() string {
	names := [...]string{"unknown", "completed", "task_failed", "refused", "given_up"}
	if int(s) < len(names) {
		return names[s]
	}
	return names[0]
}

// Reason says why a job was refused or given up, in logs and counters.
type Reason string

// Reasons.
const (
	ReasonNoWorkers  Reason = "no_workers"
	ReasonNoCapacity Reason = "no_room"
	// ReasonOverShare: there is no room, and the job is beyond the share of its queue and callers.
	ReasonOverShare Reason = "beyond_share"
	// ReasonDomainsRetired: all failure domains that the service has workers in are retired.
	ReasonDomainsRetired Reason = "domains_retired"
	ReasonDeadline       Reason = "deadline"
	ReasonExecutorLost   Reason = "holder_lost"
	ReasonTooLate        Reason = "too_late_to_restart"
	// ReasonWorkersCrashed: workers went down with a task as often as it may fail.
	ReasonWorkersCrashed Reason = "workers_crashed"
	ReasonStopping       Reason = "stopping"
	// ReasonNoStore: the store can't take a job that has to be kept.
	ReasonNoStore Reason = "no_store"
	// ReasonNotGranted: the right to start the job didn't come in time.
	ReasonNotGranted Reason = "not_granted"
	// ReasonCanceled: a caller canceled the job while another waited for it.
	ReasonCanceled Reason = "canceled"
)

// Answer is the one answer of a job.
type Answer struct {
	Job        string
	Status     Status
	Reason     Reason
	RetryAfter time.Duration
	// Waited is the time since the job came.
	Waited time.Duration
}

// taskState is where a task is.
type taskState uint8

const (
	// blocked: steps before it are not done.
	blocked taskState = iota
	// offered: an executor has it.
	offered
	// lost: the executor that had it is gone or lost the worker; the run may go on.
	lost
	done
	// deferred: there was no place for a kept task; it is offered again in a moment.
	deferred
)

// jobTask is a task of a job.
type jobTask struct {
	task.Task
	state  taskState
	holder member.Process
	// worker is where it runs, as far as is known, and token that of the tenure; 0: not known.
	worker string
	token  uint64
	// waiting: it was offered without room for it; reclaiming: it was asked for back.
	waiting, reclaiming bool
	// failures counts runs that failed, offers all tries.
	failures, offers int
	// begun is the number of the latest run before Run that may have begun; unbegun: Run surely
	// has not.
	previousStarted uint32
	notStarted      bool
	// crashes counts runs that ended as their worker went down.
	crashes    int
	failedRuns []uint32
	// adopted: an earlier coordinator may have started runs that this one doesn't know of.
	unknownRuns bool
	// reserved are executors that are to tell of room for it; movesTo has told, and is offered it
	// once the one where it waits has given it back.
	reservedAt []member.Process
	moveTo     member.Process
	// lostBy is when a lost task is given up, or a kept one surely over.
	lostDeadline time.Duration
	// offerAt is when a deferred task is offered again.
	offerAt time.Duration
}

// latest is the number of the latest run that may have begun.
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
	// left counts the tasks of each step that are not done.
	remaining []int
	// mayHaveRun is set once a worker may have started a task.
	mayHaveRun bool
	ended      bool
	// surplus: it is beyond the share of its queue and callers.
	overShare bool
	// parked jobs wait for a worker until parkedTo.
	parked      bool
	parkedUntil time.Duration
	// recallAt is when executors are asked again for the lost tasks of a kept job.
	reconcileAt time.Duration
}

// newJob lays out the tasks.
func newJob(now time.Duration, j Job) *job {
	n := &job{Job: j, submittedAt: now, remaining: make([]int, len(j.Steps))}
	n.due = now + time.Duration(j.Stretch*float64(longestChain(j.Steps))) + j.Target
	for s, step := range j.Steps {
		n.remaining[s] = step.Count
		for i := range step.Count {
			n.tasks = append(n.tasks, &jobTask{Task: task.Task{
				ID: task.ID{Job: j.ID, Step: uint32(s), Index: uint32(i)}, Service: j.Service, Queue: j.Queue, Label: step.Label,
				Payload: j.Payload, Demand: step.Demand, Priority: j.Priority, ExpectedRunTime: step.ExpectedRunTime,
				Due: n.due, StartBy: j.Deadline - step.ExpectedRunTime/2, Durable: j.Durable, PerWorker: step.PerWorker,
			}})
		}
	}
	return n
}

// longestChain returns the expected time of the longest chain of steps. Steps depend on
// earlier ones only.
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

// ready reports whether the steps before s are done.
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

// firstTasks returns the tasks whose turn has come.
func (j *job) readyTasks() (list []*task.Task) {
	for _, t := range j.tasks {
		if j.ready(t.ID.Step) {
			list = append(list, &t.Task)
		}
	}
	return list
}
