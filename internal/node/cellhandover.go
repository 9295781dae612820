// Handover of workers between cells: the daemons of a cell take over a worker that came from another
// cell only after its runs had time to end.

package node

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/fleet"
)

// notIn returns a function that reports whether a known worker belongs to another cell.
func (f *fleetView) notIn(ownCell []executor.WorkerInfo) func(id string) bool {
	inside := make(map[string]bool, len(ownCell))
	for _, w := range ownCell {
		inside[w.ID] = true
	}
	return func(id string) bool { return f.workers[id] != nil && !inside[id] }
}

// readyForTakeover returns the workers of this cell that are no longer left to the daemons of their
// former cells. It sets reassignAt to when the next one is.
func (f *fleetView) readyForTakeover(now time.Duration, ownCell []executor.WorkerInfo) []executor.WorkerInfo {
	if !f.settled || f.assumeUnlinked { // the former cells of the workers are not known yet
		return ownCell
	}
	f.reassignAt = 0
	notInCell := f.notIn(ownCell)
	for id, w := range f.workers {
		if notInCell(id) {
			w.membership.Update(now, false)
		}
	}
	return slices.DeleteFunc(ownCell, func(i executor.WorkerInfo) bool {
		ready, _ := f.workers[i.ID].membership.Update(now, true)
		if ready > now && (f.reassignAt == 0 || ready < f.reassignAt) {
			f.reassignAt = ready
		}
		return ready > now
	})
}

// resetCellMemberships forgets which workers have belonged to this cell.
func (f *fleetView) resetCellMemberships() {
	for _, w := range f.workers {
		w.membership = fleet.CellMembership{}
	}
}
