package sched

// RunningOn counts the started tasks by worker, also those whose job has ended.
func (s *Scheduler) RunningOn() map[string]int {
	counts := make(map[string]int)
	for _, r := range s.runs {
		counts[r.start.Worker]++
	}
	return counts
}
