package sched

import "time"

// kind is a kind of job with its load at this entry.
type kind struct {
	// limit is the most tasks that may run at once; negative means no limit.
	limit   int
	running int
}

// room tells whether one more task of the kind may start.
func (k *kind) room() bool { return k.limit < 0 || k.running < k.limit }

// kind returns the kind of a name, new ones without a limit.
func (s *Scheduler) kind(name string) *kind {
	k := s.kinds[name]
	if k == nil {
		k = &kind{limit: -1}
		s.kinds[name] = k
	}
	return k
}

// SetKindLimits replaces the limits of kinds: the most tasks of a kind that this
// entry may run at once. A kind that is left out has no limit. Tasks above a lowered
// limit go on.
func (s *Scheduler) SetKindLimits(now time.Duration, limits map[string]int) {
	for _, k := range s.kinds {
		k.limit = -1
	}
	for name, n := range limits {
		s.kind(name).limit = max(n, 0)
	}
	s.schedule(now)
}
