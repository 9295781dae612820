package coordinator

import (
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
)

// What an executor is offered it starts only in tenures that are known here, up to the number that
// the offer tells. For each of these the worker is listed in the executor's last heartbeat or in a
// takeover by it, or the ends of its runs were reported before. This daemon's own executor is never
// lost, and needs no bound.

// countTenures takes the number of tenures that the rooms tell; what was known before is known.
func (h *ExecutorState) updateMaxEpoch(before *ExecutorState) {
	if h.Distance == 0 {
		return
	}
	if before != nil {
		h.maxEpoch = before.maxEpoch
	}
	for i := range h.Workers {
		h.maxEpoch = max(h.maxEpoch, h.Workers[i].Epoch)
	}
}

// tenureBegan notes the tenure of a takeover, if all before it are known.
func (r *executors) addEpoch(p member.Process, t executor.Takeover) {
	if h := r.get(p); h != nil && h.maxEpoch > 0 && t.Epoch == h.maxEpoch+1 {
		h.maxEpoch = t.Epoch
	}
}

// knownTenures is the number of an executor's tenures that are known; 0: it needs no bound.
func (r *executors) maxEpoch(p member.Process) uint64 {
	if h := r.get(p); h != nil {
		return h.maxEpoch
	}
	return 0
}
