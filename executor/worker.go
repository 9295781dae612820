package executor

import (
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// phase is the holder's relation to a worker.
type phase uint8

const (
	// acquiring: a poll under a new token is under way or will be.
	acquiring phase = iota
	// claiming: the worker obeys us; coordinators are asked for the runs it lists.
	claiming
	// held: runs may be started.
	held
	// yielded: another holder took it.
	yielded
	// released: it is no longer ours by assignment.
	released
)

// runState is what is known of one run.
type runState uint8

const (
	// starting: the order is sent and not answered.
	starting runState = iota
	// doubtful: the order got no answer.
	unanswered
	// running: the worker said so.
	running
	// stopping: it is to end, and its coordinator wants no result.
	stopping
)

// run is one run on one worker. A run found at a takeover has no task until it is claimed.
type run struct {
	task   *task.Task
	id     task.ID
	owner  member.Process
	number uint32
	state  runState
	// began is when the start was sent.
	startSentAt time.Duration
	// deadline is that of the start order, on the worker's clock; 0 for a run found.
	deadline int64
	// since is a clock reading of the worker at which the run was surely there; 0: none.
	runningClock int64
	// stopped is a clock reading of the worker at which it had surely taken a stop; 0: none.
	stoppedClock int64
	// stopSent is when the last stop was sent.
	stopSentAt time.Duration
	// discard: nobody waits for its result; confirm: its coordinator waits for its end all the same.
	discarded, confirmEnd bool
	// orphanedAt is when a kept run lost its coordinator; 0: it has one.
	orphanedAt time.Duration
	// percent is the last listed progress, changed when it last grew.
	percent    int
	progressAt time.Duration
	// marked is the progress at markedAt, on the worker's clock, from which on the next word on
	// the run's pace counts; seen: there was one.
	// first are the bounds that it gave first, lastMark when the last one came.
	measuredPercent int
	measuredClock   int64
	lastMeasuredAt  time.Duration
	measured        bool
	firstBounds     [2]float64
	// looked: the worker's lists were asked for because of it.
	listsRequested bool
	// probe: it was started to see whether its worker still is slow.
	probe bool
}

// wanted reports whether a coordinator waits for what becomes of the run.
func (r *run) awaited() bool { return r.task != nil && (!r.discarded || r.confirmEnd) }

// coordinator names the run's coordinator for logs; empty while nobody has claimed it.
func (r *run) coordinator() string {
	if !r.owner.Address.IsValid() {
		return ""
	}
	return " coordinator=" + r.owner.Address.String()
}

// clock is a reading of a worker's clock.
type clockReading struct {
	ms int64
	at time.Duration
}

// worker is a worker that this executor holds or wants to.
type worker struct {
	info  WorkerInfo
	phase phase
	// retired: the worker's failure domain is to get no new runs.
	retired bool
	// departing: the worker is being left to daemons that can't claim what runs there.
	departing bool
	// wanted: the worker is assigned to this daemon.
	assigned bool
	token    uint64
	// tenure numbers the time since the worker was last taken among this executor's tenures of all
	// its workers; 0: it never was. obeyed is the token that it was taken by: unlike token, that of
	// the latest try.
	epoch, epochToken uint64
	// incarnation is the one of the worker that is dealt with, known since incarnationSince; 0: not told.
	incarnation      int64
	incarnationSince time.Duration
	// reborn: it has not been taken over since it came back under its ID.
	restarted bool
	clock     clockReading
	// granted is the latest lease end that any order of this holder may have set.
	grantedUntil int64
	cursor       uint64
	// confirmed is the number of the last end whose acknowledgement was answered.
	acknowledgeAnswered uint64
	// unsettled holds ends that may not be acknowledged yet, by number.
	unacknowledged map[uint64]unacknowledgedCompletion
	runs           map[task.ID]*run
	used           capacity.Vector
	// takenAt is when the last order to take it was sent; 0: never.
	acquireSentAt time.Duration
	// unreached: the last attempt to take it got no answer.
	unreachable bool
	// polling and looking: a standing poll or an extra one is under way.
	polling, extraPolling bool
	// nextPoll is when an unheld worker is polled again, nextLook when a doubt is looked into.
	nextPollAt, nextExtraPollAt time.Duration
	// listedAt is when the worker's lists were last read.
	listedAt time.Duration
	// silent counts polls in a row without an answer.
	missedPolls int
	// missedAt is when a poll last got no answer.
	lastMissedAt time.Duration
	// suspect: a start got no answer and no list has been read since.
	suspect bool
	// pausedUntil closes the worker for new runs; pause is the length of the last pause.
	pausedUntil, pause time.Duration
	// failures counts failed runs in a row.
	consecutiveFailures int
	// pace is how fast it is. A slow worker gets a probe from probeAt on, the next one probePause
	// after that.
	slowdown               slowdown
	probeAt, probeInterval time.Duration
	// probing: after it was closed for its runs, the worker gets one task at a time until
	// one has ended well.
	onProbation bool
	// claimBy is when unclaimed runs are stopped; waiting holds who has not answered yet.
	claimDeadline time.Duration
	awaitedClaims map[member.Process]bool
}

// now estimates the worker's clock in ms; ok is false when it was never read.
func (w *worker) clockAt(t time.Duration) (ms int64, ok bool) {
	if w.clock.ms == 0 {
		return 0, false
	}
	return w.clock.ms + (t - w.clock.at).Milliseconds(), true
}

// read takes a reading of the worker's clock. Answers on different connections overtake
// each other, so an older reading is not taken.
func (w *worker) readClock(ms int64, at time.Duration) {
	if ms > w.clock.ms {
		w.clock = clockReading{ms, at}
	}
}

// lapsedBy returns when every lease that this holder granted has surely ended: the
// worker's clock may run slow by clockDrift.
func (w *worker) leasesExpiredBy() time.Duration {
	left := max(w.grantedUntil-w.clock.ms, 0)
	return w.clock.at + time.Duration(float64(left)/(1-clockDrift))*time.Millisecond + leaseMargin
}

// free returns the room left.
func (w *worker) freeCapacity() capacity.Vector { return w.info.Capacity.Minus(w.used) }

// idle reports whether nothing runs there, and no room is held.
func (w *worker) idle() bool { return len(w.runs) == 0 && w.used == capacity.Vector{} }

// open reports whether new runs may start.
func (w *worker) acceptsRuns(now time.Duration) bool {
	_, known := w.clockAt(now)
	return w.phase == held && known && !w.excluded() && w.missedPolls < closeAfterMissed && !w.suspect && now >= w.pausedUntil &&
		(!w.onProbation || len(w.runs) == 0) && !w.awaitsLeaseExpiry()
}

// leaving reports whether the worker is to get no new runs until it, or its failure domain,
// is taken back.
func (w *worker) excluded() bool { return w.info.Draining || w.retired || w.departing }

// usable reports whether the worker is expected to take new runs soon, if not now.
func (w *worker) usable() bool {
	return (w.phase == held || w.phase == claiming) && !w.excluded() && w.missedPolls < stopExtendingAfterMissed && !w.onProbation
}

// serves reports whether the worker may run the task at all.
func (w *worker) canRun(t *task.Task) bool {
	return w.info.Service == t.Service && w.hasLabel(t.Label) && t.Demand.Fits(w.info.Capacity)
}

func (w *worker) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// unclaimed reports whether it runs something whose demand is unknown.
func (w *worker) hasUnclaimedRuns() bool {
	for _, r := range w.runs {
		if r.task == nil {
			return true
		}
	}
	return false
}

func (w *worker) hasUnresolvedOrders() bool {
	for _, r := range w.runs {
		if r.state == unanswered || r.state == stopping {
			return true
		}
	}
	return false
}

func (w *worker) addRun(r *run) {
	w.runs[r.id] = r
	if r.task != nil {
		w.used = w.used.Plus(r.task.Demand)
	}
}

func (w *worker) removeRun(r *run) {
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	if r.task != nil {
		w.used = w.used.Minus(r.task.Demand)
	}
}

// closeFor pauses a worker, twice as long each further time.
func (w *worker) pauseFor(now, first time.Duration) {
	w.pause = min(max(2*w.pause, first), maxPause)
	w.pausedUntil = max(w.pausedUntil, now+w.pause)
}
