package sched

import (
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
	// waiting holds the tasks to start, the next one last.
	waiting []int
	running map[int]*run
	done    int
	// attempts counts the starts of each task.
	attempts []uint8
	// ran is set once a start was not proved to be NotRun.
	ran bool
}

// runKey identifies a started task: a task runs once at a time.
type runKey struct {
	job  JobKey
	task int
}

// run is one started task.
type run struct {
	start   Start
	worker  *worker
	kind    *kind
	started time.Duration
}

func newJob(j Job) *job {
	n := &job{Job: j, running: make(map[int]*run), attempts: make([]uint8, j.Tasks)}
	n.waiting = make([]int, j.Tasks)
	for i := range n.waiting {
		n.waiting[i] = j.Tasks - 1 - i
	}
	return n
}

// verdict tells whether any task of the job may have run.
func (j *job) verdict() verdict.Verdict {
	if j.ran || len(j.running) > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// mayRunIn tells whether the job may run in a failure domain.
func (j *Job) mayRunIn(domain string) bool {
	if len(j.Domains) == 0 {
		return true
	}
	for _, d := range j.Domains {
		if d == domain {
			return true
		}
	}
	return false
}
