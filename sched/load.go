package sched

import "time"

// Load is the current load of a scheduler.
type Load struct {
	Jobs    int
	Running int
	Waiting int
	// Slots are the slots of this entry's shares. Free are the slots on which a task may
	// start, including borrowed ones. Lendable are the slots that peers may borrow.
	Slots    int
	Free     int
	Lendable int
	// MissingSlots is the number of slots that the waiting tasks lack.
	MissingSlots int
	Lent         int
	Borrowed     int
	Ejected      int
}

// Load returns the current load.
func (s *Scheduler) Load(time.Duration) Load {
	l := Load{
		Jobs:         len(s.jobs),
		Running:      len(s.runs),
		Waiting:      s.waiting,
		Lendable:     s.lendable(),
		MissingSlots: s.missingSlots(),
		Lent:         s.ledger.Total(),
	}
	for i := range s.index {
		l.Free += s.index[i].free
	}
	for _, w := range s.workerList {
		l.Slots += w.Slots
		if w.ejected {
			l.Ejected++
		}
		for _, g := range w.borrowed {
			l.Borrowed += g.slots
		}
	}
	return l
}

// ExpectedRunTime returns the expected run time of a kind's tasks, or 0 for an unknown
// kind.
func (s *Scheduler) ExpectedRunTime(kind string) time.Duration {
	if k := s.kinds[kind]; k != nil {
		return k.times.mean
	}
	return 0
}
