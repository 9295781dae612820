package coordinator

import (
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
)

// An executor starts an offered task only in holding epochs up to the number that the offer names. The
// coordinator names the highest epoch that it knows. For each epoch up to it, the worker is in the
// executor's last heartbeat or in a takeover by the executor, or the completions of its runs were
// reported before. This daemon's own executor is never lost, so its offers need no bound.

// updateMaxEpoch sets the latest known epoch from the report. An epoch that was known before stays known.
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

// addEpoch records the epoch of a takeover if all earlier epochs are known.
func (r *executors) addEpoch(p member.Process, t executor.Takeover) {
	if h := r.get(p); h != nil && h.maxEpoch > 0 && t.Epoch == h.maxEpoch+1 {
		h.maxEpoch = t.Epoch
	}
}

// maxEpoch returns the number of an executor's latest known epoch; 0: its offers need no bound.
func (r *executors) maxEpoch(p member.Process) uint64 {
	if h := r.get(p); h != nil {
		return h.maxEpoch
	}
	return 0
}
