package sched

// RunningByWorker returns the number of started tasks by worker, including tasks whose
// job has ended.
func (s *Scheduler) RunningByWorker() map[string]int {
	counts := make(map[string]int)
	for _, r := range s.runs {
		counts[r.start.Worker]++
	}
	return counts
}

// DemandByKind returns the number of running and waiting tasks by kind.
func (s *Scheduler) DemandByKind() map[string]int {
	counts := make(map[string]int)
	for _, j := range s.jobs {
		counts[j.Kind] += len(j.running) + len(j.waiting)
	}
	return counts
}
