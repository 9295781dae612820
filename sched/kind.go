package sched

import "time"

// kind is a kind of job with its load at this entry and what was learned about it.
type kind struct {
	name string
	// limit is the most tasks that may run at once; negative means no limit.
	limit   int
	running int
	// waiting counts the tasks that could start if there were slots.
	waiting int
	// asked counts the slots in requests for a loan that were not answered yet.
	requested int
	times     runTimes
	// needs and domains are those of the latest job.
	needs   Resources
	domains []string
	// failed holds, for each worker that ran a task of the kind, whether the latest
	// one failed; failing counts those.
	lastFailed     map[string]bool
	failingWorkers int
}

// suspectWorkers is the number of workers from which failures can tell a bad kind
// from a bad worker.
const minSuspectWorkers = 3

// room tells how many more tasks of the kind may start.
func (k *kind) startable() int {
	if k.limit < 0 {
		return k.waiting
	}
	return max(min(k.limit-k.running, k.waiting), 0)
}

// note remembers how a task of the kind ended on a worker.
func (k *kind) recordResult(worker string, failed bool) {
	before := k.lastFailed[worker]
	k.lastFailed[worker] = failed
	switch {
	case failed && !before:
		k.failingWorkers++
	case before && !failed:
		k.failingWorkers--
	}
}

// forget drops what is known of a worker.
func (k *kind) forgetWorker(worker string) {
	if k.lastFailed[worker] {
		k.failingWorkers--
	}
	delete(k.lastFailed, worker)
}

// suspect tells whether the kind itself seems to be at fault: it fails on most of the
// workers that ran it. Ejecting those would leave no workers for the other kinds.
func (k *kind) suspect() bool {
	return len(k.lastFailed) >= minSuspectWorkers && 2*k.failingWorkers > len(k.lastFailed)
}

// kind returns the kind of a name, new ones without a limit.
func (s *Scheduler) kindByName(name string, declared time.Duration) *kind {
	k := s.kinds[name]
	if k == nil {
		k = &kind{name: name, limit: -1, lastFailed: make(map[string]bool), times: newRunTimes(declared)}
		s.kinds[name] = k
		s.kindList = append(s.kindList, k)
	}
	return k
}

// kindOf returns the kind of a job with what the job says of it.
func (s *Scheduler) updateKind(j *Job) *kind {
	declared := j.RunTime
	if declared <= 0 {
		declared = s.config.DefaultRunTime
	}
	k := s.kindByName(j.Kind, declared)
	if k.times.runs == 0 {
		k.times = newRunTimes(declared)
	}
	k.needs, k.domains = j.Needs, j.Domains
	return k
}

// SetKindLimits replaces the limits of kinds: the most tasks of a kind that this
// entry may run at once. A kind that is left out has no limit. Tasks above a lowered
// limit go on.
func (s *Scheduler) SetKindLimits(now time.Duration, limits map[string]int) {
	for _, k := range s.kindList {
		k.limit = -1
	}
	for name, n := range limits {
		s.kindByName(name, s.config.DefaultRunTime).limit = max(n, 0)
	}
	s.schedule(now)
}
