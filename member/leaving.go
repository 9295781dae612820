// Workers that have announced that they are leaving.

package member

import "time"

const (
	// noticeTolerance is the difference in time below which two notices, reported by different peers,
	// are the same one. Without it a notice would seem newer each time that a peer passes it on.
	noticeTolerance = 2 * time.Second
	// noticeLifetime is how long a notice outlives newer VM lists that do not confirm it.
	noticeLifetime = 10 * time.Minute
)

// LeavingWorkers holds the workers that have reported to this entry or a peer that they are leaving. The VM
// list shows this later, or not at all while the platform is unreachable.
//
// A notice ends in one of three cases: a newer list no longer shows the worker; the list has shown the
// worker as leaving and later shows it as not leaving, for example because it was replaced at the same
// address; or a list that arrives long after the notice does not confirm it. In the last case, a worker
// that is still leaving refuses its next task and is recorded again. LeavingWorkers is not safe for
// concurrent use.
type LeavingWorkers struct {
	notices map[string]notice
	// ended holds, by worker, when the worker of an ended notice reported that it was leaving. Peers
	// whose notice has not ended yet cannot restore the notice.
	ended   map[string]time.Duration
	version uint64
}

// notice is a worker's report that it is leaving.
type notice struct {
	// reportedAt is when the worker itself reported it.
	reportedAt time.Duration
	// listed is set once a list has shown the worker, confirmed once one has shown it as leaving.
	listed, confirmed bool
}

// NewLeavingWorkers returns an empty set.
func NewLeavingWorkers() *LeavingWorkers {
	return &LeavingWorkers{notices: make(map[string]notice), ended: make(map[string]time.Duration)}
}

// Add records that a worker reported some time ago that it is leaving. It returns true if the worker was
// not known to be leaving.
func (l *LeavingWorkers) Add(now time.Duration, worker string, age time.Duration) bool {
	reportedAt := now - age
	if end, ok := l.ended[worker]; ok && reportedAt <= end+noticeTolerance {
		return false
	}
	old, known := l.notices[worker]
	if known && reportedAt <= old.reportedAt+noticeTolerance {
		return false
	}
	old.reportedAt = reportedAt
	l.notices[worker] = old
	return !known
}

// Has reports whether a worker is known to be leaving.
func (l *LeavingWorkers) Has(worker string) bool {
	_, ok := l.notices[worker]
	return ok
}

// All calls fn for every leaving worker with the time since the worker reported it.
func (l *LeavingWorkers) All(now time.Duration, fn func(worker string, age time.Duration)) {
	for w, n := range l.notices {
		fn(w, now-n.reportedAt)
	}
}

// ApplyVMList applies a VM list: its workers, and whether the list shows each of them as leaving. A
// version that is not newer changes nothing.
func (l *LeavingWorkers) ApplyVMList(now time.Duration, version uint64, workers map[string]bool) {
	if version <= l.version {
		return
	}
	l.version = version
	for w, n := range l.notices {
		leaving, listed := workers[w]
		switch {
		case !listed && n.listed, !leaving && n.confirmed, !leaving && now > n.reportedAt+noticeLifetime:
			delete(l.notices, w)
			l.ended[w] = n.reportedAt
		default:
			n.listed = n.listed || listed
			n.confirmed = n.confirmed || leaving
			l.notices[w] = n
		}
	}
	for w, reportedAt := range l.ended {
		if now > reportedAt+2*noticeLifetime {
			delete(l.ended, w)
		}
	}
}
