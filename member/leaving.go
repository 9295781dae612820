package member

import "time"

const (
	// sameNotice is the difference below which two notices are the same one, told on
	// different ways. Without it a notice would seem newer each time it is passed on.
	noticeTolerance = 2 * time.Second
	// noticeTerm is how long a notice outlives newer VM lists that don't confirm it.
	noticeLifetime = 10 * time.Minute
)

// LeavingWorkers holds the workers that said, to this entry or a peer, that they are leaving.
// The VM list shows it later, or not at all while the platform is cut off.
//
// A notice ends when a newer list no longer shows the worker; when the list showed it
// leaving and later not leaving, as after its replacement at the same address; and
// when a list that arrives long after the notice still does not confirm it. A worker
// that is still leaving then refuses its next task and is noticed again. It is not
// safe for concurrent use.
type LeavingWorkers struct {
	notices map[string]notice
	// ended holds when the workers of ended notices had said it, so that peers that
	// have not yet ended theirs don't bring them back.
	ended   map[string]time.Duration
	version uint64
}

// notice is one worker's word.
type notice struct {
	// said is the time of the worker's own answer.
	reportedAt time.Duration
	// listed is set once a list showed the worker, confirmed once one showed it
	// leaving.
	listed, confirmed bool
}

// NewLeavingWorkers returns an empty set.
func NewLeavingWorkers() *LeavingWorkers {
	return &LeavingWorkers{notices: make(map[string]notice), ended: make(map[string]time.Duration)}
}

// Add takes in that a worker said that it is leaving, some time ago, and tells
// whether that is news.
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

// Has tells whether a worker is noticed as leaving.
func (l *LeavingWorkers) Has(worker string) bool {
	_, ok := l.notices[worker]
	return ok
}

// All calls fn for every leaving worker with the time since it said so.
func (l *LeavingWorkers) All(now time.Duration, fn func(worker string, age time.Duration)) {
	for w, n := range l.notices {
		fn(w, now-n.reportedAt)
	}
}

// ApplyVMList takes in a VM list: its workers, and whether each is shown as leaving. A
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
