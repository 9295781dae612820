package node

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/fleet"
)

// outside returns whether a worker is one of another cell.
func (f *fleetView) outside(own []executor.WorkerInfo) func(id string) bool {
	inside := make(map[string]bool, len(own))
	for _, w := range own {
		inside[w.ID] = true
	}
	return func(id string) bool { return f.workers[id] != nil && !inside[id] }
}

// taken returns those workers of this cell that are not left to their former cells any more,
// and notes when the next one is not.
func (f *fleetView) taken(now time.Duration, own []executor.WorkerInfo) []executor.WorkerInfo {
	if !f.settled || f.assuming { // which cells the workers were of is not known yet
		return own
	}
	f.divideAt = 0
	outside := f.outside(own)
	for id, w := range f.workers {
		if outside(id) {
			w.stay.Update(now, false)
		}
	}
	return slices.DeleteFunc(own, func(i executor.WorkerInfo) bool {
		ready, _ := f.workers[i.ID].stay.Update(now, true)
		if ready > now && (f.divideAt == 0 || ready < f.divideAt) {
			f.divideAt = ready
		}
		return ready > now
	})
}

// forgetStays forgets which workers have been of this cell.
func (f *fleetView) forgetStays() {
	for _, w := range f.workers {
		w.stay = fleet.CellMembership{}
	}
}
