package fleet

import "time"

// CellHandoverDelay is how long the daemons of a worker's former cell keep a worker that has moved to
// another cell. They start no new tasks on it once they see the change, and its runs end. If the new
// cell took the worker sooner, the runs would be stopped, because no coordinator of the new cell can
// claim them. The delay covers the longest usual tasks and the difference between the times at which
// the cells learn of the change. Within a cell a worker changes its holder at once, because its runs
// are claimed.
const CellHandoverDelay = 4 * time.Second

// CellMembership tracks whether a worker belongs to a cell. The zero value is a worker that was not
// seen before.
type CellMembership struct {
	known, inCell bool
	// enteredAt is when the worker came from another cell, or 0 if it did not.
	enteredAt time.Duration
}

// Update records whether the worker belongs to the cell now. It returns the time from which the cell's
// daemons may take the worker; ok is false while the worker belongs to another cell.
func (m *CellMembership) Update(now time.Duration, inCell bool) (availableAt time.Duration, ok bool) {
	switch {
	case !inCell:
		m.enteredAt = 0
	case m.known && !m.inCell:
		m.enteredAt = now
	}
	m.known, m.inCell = true, inCell
	if m.enteredAt > 0 {
		return m.enteredAt + CellHandoverDelay, inCell
	}
	return now, inCell
}
