package sched

// RunningByWorker counts the started tasks by worker, also those whose job has ended.
func (s *Scheduler) RunningByWorker() map[string]int {
	counts := make(map[string]int)
	for _, r := range s.runs {
		counts[r.start.Worker]++
	}
	return counts
}

// DemandByKind counts the running and waiting tasks by kind.
func (s *Scheduler) DemandByKind() map[string]int {
	counts := make(map[string]int)
	for _, j := range s.jobs {
		counts[j.Kind] += len(j.running) + len(j.waiting)
	}
	return counts
}
