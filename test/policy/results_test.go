// The results of a workload: credit, late, refused and failed jobs, and useless work.

package policy

import (
	"fmt"
	"math"

	"github.com/lavendercleat/lavendercleat/coordinator"
)

// results are the results of a workload.
type results struct {
	jobs, onTime, late, refused, failed int
	// refusedWithFreeCapacity jobs were refused though all their tasks would have fitted on workers;
	// refusedWithinShare are those of them that were refused for want of capacity, not as over share.
	refusedWithFreeCapacity, refusedWithinShare, refusedAtOnce int
	// credit is the earned share of possibleCredit, the credit of all jobs.
	credit, possibleCredit float64
	// submissionsPerCaller is how often a caller submitted its job, on average.
	submissionsPerCaller float64
	// returnedPerTask is how often executors returned a task because its capacity was taken.
	returnedPerTask float64
	// uselessWork is the share of processor time that was spent on jobs which earned nothing.
	uselessWork float64
	byKind      map[string]*results
	// byDomain are the results of each failure domain's callers, widestTenth of the jobs with the most tasks.
	byDomain    map[string]*results
	widestTenth *results
	// failureReasons counts the failed jobs by reason.
	failureReasons map[coordinator.Reason]int
}

func (r results) String() string {
	return fmt.Sprintf("credit %.3f: %d jobs, on time %d, late %d, refused %d, failed %d, useless work %.3f, returned %.3f a task, %.3f submissions a caller", r.credit, r.jobs, r.onTime, r.late, r.refused, r.failed, r.uselessWork, r.returnedPerTask, r.submissionsPerCaller)
}

// count adds a job's result.
func (r *results) count(j *job) {
	r.jobs++
	r.credit += j.earnedCredit()
	r.possibleCredit += j.kind.credit
	switch {
	case j.status == coordinator.Completed && j.endedAt <= j.dueAt:
		r.onTime++
	case j.status == coordinator.Completed:
		r.late++
	case j.status == coordinator.Refused:
		r.countRefused(j)
	default:
		r.failed++
		if r.failureReasons == nil {
			r.failureReasons = make(map[coordinator.Reason]int)
		}
		r.failureReasons[j.reason]++
	}
}

func (r *results) countRefused(j *job) {
	r.refused++
	if j.hadFreeCapacity {
		r.refusedWithFreeCapacity++
		if j.reason == coordinator.ReasonNoCapacity {
			r.refusedWithinShare++
		}
	}
	if j.refusedAtOnce {
		r.refusedAtOnce++
	}
}

// earnedCredit is the credit that the job's result is worth to its caller.
func (j *job) earnedCredit() float64 {
	switch {
	case j.status != coordinator.Completed:
		return 0
	case j.endedAt > j.dueAt:
		return j.kind.credit / 5
	default:
		return j.kind.credit
	}
}

// groupResults returns the results of a group, which it adds if they are missing.
func groupResults(groups map[string]*results, name string) *results {
	if groups[name] == nil {
		groups[name] = new(results)
	}
	return groups[name]
}

func (m *model) results() results {
	r := results{byKind: make(map[string]*results), byDomain: make(map[string]*results), widestTenth: new(results)}
	for _, j := range m.jobs {
		m.taskCount += len(j.runTimes)
		r.count(j)
		groupResults(r.byKind, j.kind.name).count(j)
		groupResults(r.byDomain, j.domain).count(j)
		if float64(len(j.runTimes)) >= widestTenthFactor*j.kind.tasks {
			r.widestTenth.count(j)
		}
		if j.earnedCredit() > 0 {
			m.usefulWork += j.workDone
		}
	}
	r.credit /= r.possibleCredit
	r.submissionsPerCaller = float64(m.submissions) / float64(len(m.jobs))
	r.returnedPerTask = float64(m.returnedTasks) / float64(max(m.taskCount, 1))
	for _, k := range r.byKind {
		k.credit /= k.possibleCredit
	}
	for _, d := range r.byDomain {
		d.credit /= d.possibleCredit
	}
	r.widestTenth.credit /= max(r.widestTenth.possibleCredit, math.SmallestNonzeroFloat64)
	r.uselessWork = 1 - m.usefulWork/max(m.totalWork, 1)
	return r
}
