package sched

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// JobKey identifies a job at one scheduler.
type JobKey uint64

// Urgency orders jobs; a higher one goes first.
type Urgency int8

// Urgencies.
const (
	Low Urgency = iota
	Normal
	High
)

// Resources of a worker, or what a task needs.
type Resources struct {
	CPUs         uint32
	MemoryMB     uint32
	Accelerators uint32
}

// Fits tells whether a worker with resources w can run a task that needs r.
func (r Resources) Fits(w Resources) bool {
	return r.CPUs <= w.CPUs && r.MemoryMB <= w.MemoryMB && r.Accelerators <= w.Accelerators
}

// Job is a job as the scheduler sees it.
type Job struct {
	Key     JobKey
	Kind    string
	Team    string
	Urgency Urgency
	// Weight is the team's share under contention, relative to other teams; 0 counts
	// as 1.
	Weight int
	// Tasks is the number of tasks, numbered from 0.
	Tasks int
	// Deadline is the time after which nothing of the job may start.
	Deadline time.Duration
	// RunTime is the declared run time of a task, a hint; 0 when there is none.
	RunTime time.Duration
	Needs   Resources
	// Domains are the failure domains where the job may run; empty means any.
	Domains []string
}

// job is a job with its progress.
type job struct {
	Job
	kind      *kind
	submitted time.Duration
	// promoteAt is when the job goes before all others if it still waits.
	promoteAt time.Duration
	// alarm is for the promotion, then for the deadline.
	timer *timer
	// waiting holds the tasks to start, the next one last.
	waiting   []int
	running   map[int]*run
	completed int
	// attempts counts the starts of each task.
	attempts []uint8
	// ran is set once a start was not proved to be NotRun.
	mayHaveRun bool

	// queue is where the job waits, nil when it has no waiting task.
	queue *kindQueue
	// order is the job's place in its queue, the lowest first, at position index.
	dueAt     time.Duration
	heapIndex int
}

// runKey identifies a started task: a task runs once at a time.
type runKey struct {
	job  JobKey
	task int
}

// run is one started task.
type run struct {
	start   Start
	grant   *grant
	kind    *kind
	started time.Duration
	// full is set when the task took the last free slot and none was withheld.
	tookLastSlot bool
}

func newJob(now time.Duration, j Job, k *kind) *job {
	n := &job{Job: j, kind: k, submitted: now, running: make(map[int]*run), attempts: make([]uint8, j.Tasks)}
	n.waiting = make([]int, j.Tasks)
	for i := range n.waiting {
		n.waiting[i] = j.Tasks - 1 - i
	}
	return n
}

// verdict tells whether any task of the job may have run.
func (j *job) verdict() verdict.Verdict {
	if j.mayHaveRun || len(j.running) > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// mayRunIn tells whether the job may run in a failure domain.
func (j *Job) mayRunIn(domain string) bool { return allows(j.Domains, domain) }

// allows tells whether a list of failure domains, empty for any, has a domain.
func allows(domains []string, domain string) bool {
	return len(domains) == 0 || slices.Contains(domains, domain)
}

// overlap tells whether two lists of failure domains have one in common.
func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(d string) bool { return slices.Contains(b, d) })
}
