package sched

// RunningOn counts the started tasks by worker, also those whose job has ended.
func (s *Scheduler) RunningOn() map[string]int {
	counts := make(map[string]int)
	for _, r := range s.runs {
		counts[r.start.Worker]++
	}
	return counts
}

// KindDemand counts the running and waiting tasks by kind.
func (s *Scheduler) KindDemand() map[string]int {
	counts := make(map[string]int)
	for _, j := range s.jobs {
		counts[j.Kind] += len(j.running) + len(j.waiting)
	}
	return counts
}
