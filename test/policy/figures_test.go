package policy

import (
	"fmt"
	"math"

	"github.com/lavendercleat/lavendercleat/coordinator"
)

// figures is what came of a load.
type results struct {
	jobs, onTime, late, refused, failed int
	// refusedWithRoom jobs had room for all their tasks; those refusedInError not for their share.
	refusedWithFreeCapacity, refusedWithinShare, refusedAtOnce int
	// credit is the share of what was owed that was earned.
	credit, possibleCredit float64
	// calls is how often a caller came, on average.
	submissionsPerCaller float64
	// returned counts tasks that were given back for want of room, for each task.
	returnedPerTask float64
	// useless is the share of processor time that was of no use to any caller.
	wastedWork float64
	byKind     map[string]*results
	// byDomain are those of each failure domain's callers, wide those of the widest tenth.
	byDomain    map[string]*results
	widestTenth *results
	// why counts the failed jobs by reason.
	failureReasons map[coordinator.Reason]int
}

func (f results) String() string {
	return fmt.Sprintf("credit %.3f: %d jobs, on time %d, late %d, refused %d, failed %d, useless work %.3f, given back %.3f a task, %.3f calls a caller", f.credit, f.jobs, f.onTime, f.late, f.refused, f.failed, f.wastedWork, f.returnedPerTask, f.submissionsPerCaller)
}

// count adds a job.
func (f *results) count(j *job) {
	f.jobs++
	f.credit += j.earnedCredit()
	f.possibleCredit += j.kind.credit
	switch {
	case j.status == coordinator.Completed && j.endedAt <= j.dueAt:
		f.onTime++
	case j.status == coordinator.Completed:
		f.late++
	case j.status == coordinator.Refused:
		f.countRefused(j)
	default:
		f.failed++
		if f.failureReasons == nil {
			f.failureReasons = make(map[coordinator.Reason]int)
		}
		f.failureReasons[j.reason]++
	}
}

func (f *results) countRefused(j *job) {
	f.refused++
	if j.hadFreeCapacity {
		f.refusedWithFreeCapacity++
		if j.reason == coordinator.ReasonNoCapacity {
			f.refusedWithinShare++
		}
	}
	if j.refusedAtOnce {
		f.refusedAtOnce++
	}
}

// earned is what the job was worth to its caller.
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

// of returns a group's figures.
func groupResults(groups map[string]*results, name string) *results {
	if groups[name] == nil {
		groups[name] = new(results)
	}
	return groups[name]
}

func (m *model) results() results {
	f := results{byKind: make(map[string]*results), byDomain: make(map[string]*results), widestTenth: new(results)}
	for _, j := range m.jobs {
		m.taskCount += len(j.runTimes)
		f.count(j)
		groupResults(f.byKind, j.kind.name).count(j)
		groupResults(f.byDomain, j.domain).count(j)
		if float64(len(j.runTimes)) >= widestTenthFactor*j.kind.tasks {
			f.widestTenth.count(j)
		}
		if j.earnedCredit() > 0 {
			m.usefulWork += j.workDone
		}
	}
	f.credit /= f.possibleCredit
	f.submissionsPerCaller = float64(m.submissions) / float64(len(m.jobs))
	f.returnedPerTask = float64(m.returnedTasks) / float64(max(m.taskCount, 1))
	for _, k := range f.byKind {
		k.credit /= k.possibleCredit
	}
	for _, d := range f.byDomain {
		d.credit /= d.possibleCredit
	}
	f.widestTenth.credit /= max(f.widestTenth.possibleCredit, math.SmallestNonzeroFloat64)
	f.wastedWork = 1 - m.usefulWork/max(m.totalWork, 1)
	return f
}
