package sched

import "time"

// kind is a kind of job: its tasks at this entry and what the scheduler learned from
// earlier runs.
type kind struct {
	name string
	// limit is the maximum number of running tasks; negative means no limit.
	limit   int
	running int
	// waiting is the number of tasks in the queues.
	waiting int
	// requested is the number of slots in loan requests that peers have not answered yet.
	requested int
	times     runTimes
	// needs and domains are those of the latest job of the kind.
	needs   Resources
	domains []string
	// lastFailed holds, for each worker that ran a task of the kind, whether the latest
	// one failed. failingWorkers counts the workers for which it did.
	lastFailed     map[string]bool
	failingWorkers int
}

// minSuspectWorkers is the number of workers that must have run a kind before the
// scheduler blames failures on the kind instead of a worker.
const minSuspectWorkers = 3

// startable returns how many waiting tasks of the kind may start within its limit.
func (k *kind) startable() int {
	if k.limit < 0 {
		return k.waiting
	}
	return max(min(k.limit-k.running, k.waiting), 0)
}

// recordResult records whether the latest task of the kind failed on a worker.
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

// forgetWorker drops the result recorded for a worker.
func (k *kind) forgetWorker(worker string) {
	if k.lastFailed[worker] {
		k.failingWorkers--
	}
	delete(k.lastFailed, worker)
}

// suspect reports whether the kind itself seems to be at fault, because its latest tasks
// failed on most of the workers that ran it. Ejecting those workers would leave none for
// the other kinds.
func (k *kind) suspect() bool {
	return len(k.lastFailed) >= minSuspectWorkers && 2*k.failingWorkers > len(k.lastFailed)
}

// kindByName returns the kind with a name. It creates a missing one, without a limit.
func (s *Scheduler) kindByName(name string, declared time.Duration) *kind {
	k := s.kinds[name]
	if k == nil {
		k = &kind{name: name, limit: -1, lastFailed: make(map[string]bool), times: newRunTimes(declared)}
		s.kinds[name] = k
		s.kindList = append(s.kindList, k)
	}
	return k
}

// updateKind returns the kind of a job, updated with the needs, domains and run time that
// the job declares.
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

// SetKindLimits replaces the limits of all kinds. A limit is the maximum number of tasks
// of the kind that this entry may run at once. A kind that is left out has no limit.
// Running tasks beyond a lowered limit continue.
func (s *Scheduler) SetKindLimits(now time.Duration, limits map[string]int) {
	for _, k := range s.kindList {
		k.limit = -1
	}
	for name, n := range limits {
		s.kindByName(name, s.config.DefaultRunTime).limit = max(n, 0)
	}
	s.schedule(now)
}
