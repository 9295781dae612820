package sched

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// JobKey identifies a job within one scheduler.
type JobKey uint64

// Urgency orders jobs: a job of higher urgency starts first.
type Urgency int8

// Urgencies.
const (
	Low Urgency = iota
	Normal
	High
)

// Resources are the resources that a worker has or a task needs.
type Resources struct {
	CPUs         uint32
	MemoryMB     uint32
	Accelerators uint32
}

// Fits reports whether a worker with resources w can run a task that needs r.
func (r Resources) Fits(w Resources) bool {
	return r.CPUs <= w.CPUs && r.MemoryMB <= w.MemoryMB && r.Accelerators <= w.Accelerators
}

// Job describes a job to schedule.
type Job struct {
	Key     JobKey
	Kind    string
	Team    string
	Urgency Urgency
	// Weight is the weight of the team under contention, relative to other teams. 0
	// counts as 1.
	Weight int
	// Tasks is the number of tasks. They are numbered from 0.
	Tasks int
	// Deadline is the time after which no task of the job may start.
	Deadline time.Duration
	// RunTime is the declared run time of a task. It is a hint; 0 means none.
	RunTime time.Duration
	Needs   Resources
	// Domains are the failure domains where the job may run. Empty means any.
	Domains []string
}

// job is an admitted job with its progress.
type job struct {
	Job
	kind        *kind
	submittedAt time.Duration
	// promoteAt is when the scheduler promotes the job before all others if it still waits.
	promoteAt time.Duration
	// timer fires at the promotion and then at the deadline.
	timer *timer
	// waiting holds the tasks to start. The last one starts first.
	waiting   []int
	running   map[int]*run
	completed int
	// attempts is the number of starts of each task.
	attempts []uint8
	// mayHaveRun is set once a task has ended without proof that it did not run.
	mayHaveRun bool

	// queue holds the job while it waits; nil when the job has no waiting task.
	queue *kindQueue
	// dueAt orders the jobs of the queue, the earliest first. heapIndex is the job's
	// position in the heap.
	dueAt     time.Duration
	heapIndex int
}

// runKey identifies a started task. A task has at most one run at a time.
type runKey struct {
	job  JobKey
	task int
}

// run is one started task.
type run struct {
	start     Start
	grant     *grant
	kind      *kind
	startedAt time.Duration
	// tookLastSlot is set when the task took the worker's last free slot and no slot was
	// withheld.
	tookLastSlot bool
}

func newJob(now time.Duration, j Job, k *kind) *job {
	n := &job{Job: j, kind: k, submittedAt: now, running: make(map[int]*run), attempts: make([]uint8, j.Tasks)}
	n.waiting = make([]int, j.Tasks)
	for i := range n.waiting {
		n.waiting[i] = j.Tasks - 1 - i
	}
	return n
}

// verdict returns MayHaveRun if any task of the job may have run, else NotRun.
func (j *job) verdict() verdict.Verdict {
	if j.mayHaveRun || len(j.running) > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// mayRunIn reports whether the job may run in a failure domain.
func (j *Job) mayRunIn(domain string) bool { return allows(j.Domains, domain) }

// allows reports whether a list of failure domains contains a domain. An empty list
// allows any domain.
func allows(domains []string, domain string) bool {
	return len(domains) == 0 || slices.Contains(domains, domain)
}

// overlap reports whether two lists of failure domains have a domain in common. An empty
// list contains every domain.
func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(d string) bool { return slices.Contains(b, d) })
}
