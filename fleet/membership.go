package fleet

import "time"

// CellHandoverDelay is how long a worker that has come into a cell from another is left to the
// daemons of that one. They give it nothing new from when they see the change, and what runs
// there ends; taken sooner it would be stopped, as no coordinator of this cell can claim it.
// It covers the longest of usual tasks and the time by which the cells learn of the change
// apart. Within a cell a worker changes its holder at once, as its runs are claimed.
const CellHandoverDelay = 4 * time.Second

// CellMembership tells whether a worker is of a cell, over time. The zero value is a worker that was not
// seen yet.
type CellMembership struct {
	known, inCell bool
	// since is when it came from another cell; 0: it has not.
	enteredAt time.Duration
}

// Update notes whether the worker is of the cell now. It reports when the cell's daemons may take
// it; ok is false while it is of another cell.
func (s *CellMembership) Update(now time.Duration, inCell bool) (availableAt time.Duration, ok bool) {
	switch {
	case !inCell:
		s.enteredAt = 0
	case s.known && !s.inCell:
		s.enteredAt = now
	}
	s.known, s.inCell = true, inCell
	if s.enteredAt > 0 {
		return s.enteredAt + CellHandoverDelay, inCell
	}
	return now, inCell
}
