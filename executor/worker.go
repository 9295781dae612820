package executor

import (
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// phase is the holder's relation to the worker.
type phase uint8

const (
	// acquiring: a poll with a new token is under way or due.
	acquiring phase = iota
	// claiming: the worker obeys this executor, which is asking coordinators for the runs it lists.
	claiming
	// held: this executor may start runs on it.
	held
	// yielded: another holder has taken it.
	yielded
	// released: it is no longer assigned to this daemon.
	released
)

// runState is what the executor knows of one run.
type runState uint8

const (
	// starting: the start was sent and is not answered yet.
	starting runState = iota
	// unanswered: the start got no answer in time.
	unanswered
	// running: the worker has confirmed the run.
	running
	// stopping: the run is being stopped, and its coordinator wants no result.
	stopping
)

// run is one run on one worker. A run that was listed at a takeover has no task until a coordinator
// claims it.
type run struct {
	task   *task.Task
	id     task.ID
	owner  member.Process
	number uint32
	state  runState
	// startSentAt is when the start was sent.
	startSentAt time.Duration
	// deadline is the lease end that the start asked for, in ms on the worker's clock; 0 for a run
	// listed at a takeover.
	deadline int64
	// runningClock is the earliest known reading of the worker's clock at which the run was there;
	// 0: none.
	runningClock int64
	// stoppedClock is a reading of the worker's clock by which it had taken a stop for certain;
	// 0: none.
	stoppedClock int64
	// stopSentAt is when the last stop was sent.
	stopSentAt time.Duration
	// discarded: no coordinator waits for the run's result. confirmEnd: its coordinator waits for its end
	// all the same.
	discarded, confirmEnd bool
	// orphanedAt is when a durable job's run lost its coordinator; 0: it has one.
	orphanedAt time.Duration
	// percent is the last listed progress, progressAt when it last changed.
	percent    int
	progressAt time.Duration
	// The next measurement of the run's speed starts from measuredPercent, its progress at
	// measuredClock on the worker's clock. lastMeasuredAt is when the run was last measured.
	// measured: it was. firstBounds are the bounds of the first measurement.
	measuredPercent int
	measuredClock   int64
	lastMeasuredAt  time.Duration
	measured        bool
	firstBounds     [2]float64
	// listsRequested: the executor has polled the worker's lists because of this run.
	listsRequested bool
	// probe: the run was started to find out whether its worker is still slow.
	probe bool
}

// awaited reports whether a coordinator waits to learn what became of the run.
func (r *run) awaited() bool { return r.task != nil && (!r.discarded || r.confirmEnd) }

// coordinator formats the run's coordinator for logs. It is empty until a coordinator has claimed
// the run.
func (r *run) coordinator() string {
	if !r.owner.Address.IsValid() {
		return ""
	}
	return " coordinator=" + r.owner.Address.String()
}

// clockReading is a reading of a worker's clock, with the time of the reading on the executor's
// clock.
type clockReading struct {
	ms int64
	at time.Duration
}

// worker is a worker that this executor holds or wants to hold.
type worker struct {
	info  WorkerInfo
	phase phase
	// retired: workers of this failure domain get no new runs.
	retired bool
	// departing: the worker is being handed to daemons that cannot claim what runs on it.
	departing bool
	// assigned: the worker is assigned to this daemon.
	assigned bool
	token    uint64
	// epoch numbers the current holding epoch of the worker among this executor's epochs of all its
	// workers; 0: it never held the worker. epochToken is the token by which it took the worker in
	// this epoch. Unlike token, it does not change with attempts that have not succeeded.
	epoch, epochToken uint64
	// incarnation is the worker's current incarnation as this executor knows it since
	// incarnationSince; 0: not known.
	incarnation      int64
	incarnationSince time.Duration
	// restarted: this executor has not taken the worker since the worker restarted under its ID.
	restarted bool
	clock     clockReading
	// grantedUntil is the latest lease end that any order of this holder may have set, in ms on the
	// worker's clock.
	grantedUntil int64
	// cursor is the number of the last completion that was read.
	cursor uint64
	// acknowledgeAnswered is the number of the last completion whose acknowledgement the worker
	// has answered.
	acknowledgeAnswered uint64
	// unacknowledged holds completions that must not be acknowledged yet, by number.
	unacknowledged map[uint64]unacknowledgedCompletion
	// listIncomplete: since the takeover the worker has listed no more completions than fit into one
	// list, so earlier holders' runs may have completed that are not listed yet. deferredClaims are the
	// claims for unlisted runs, which can't be answered before they are.
	listIncomplete bool
	deferredClaims []deferredClaim
	runs           map[task.ID]*run
	used           capacity.Vector
	// acquireSentAt is when the last order to take the worker was sent; 0: never.
	acquireSentAt time.Duration
	// unreachable: the last attempt to take the worker got no answer.
	unreachable bool
	// polling: the standing poll is under way. extraPolling: an extra poll is.
	polling, extraPolling bool
	// nextPollAt is when the next poll is due. nextExtraPollAt is when the next extra poll for an
	// order of unknown effect is due.
	nextPollAt, nextExtraPollAt time.Duration
	// listedAt is when the executor last read the worker's lists.
	listedAt time.Duration
	// missedPolls counts the polls in a row that got no answer.
	missedPolls int
	// lastMissedAt is when a poll last got no answer.
	lastMissedAt time.Duration
	// suspect: a start got no answer, and no list has been read since.
	suspect bool
	// Until pausedUntil the worker gets no new runs. pause is the length of the last pause.
	pausedUntil, pause time.Duration
	// consecutiveFailures counts failed runs in a row.
	consecutiveFailures int
	// slowdown is the worker's run time compared with the declared one. A slow worker gets a probe
	// from probeAt on, and the next probe probeInterval after that.
	slowdown               slowdown
	probeAt, probeInterval time.Duration
	// onProbation: the worker was closed because of its runs. It gets one task at a time until a run
	// succeeds.
	onProbation bool
	// At claimDeadline the executor stops unclaimed runs. awaitedClaims holds the coordinators that
	// have not answered the takeover yet.
	claimDeadline time.Duration
	awaitedClaims map[member.Process]bool
}

// clockAt estimates the worker's clock in ms at a time; ok is false if the clock was never read.
func (w *worker) clockAt(t time.Duration) (ms int64, ok bool) {
	if w.clock.ms == 0 {
		return 0, false
	}
	return w.clock.ms + (t - w.clock.at).Milliseconds(), true
}

// readClock takes a reading of the worker's clock. Answers on different connections overtake each
// other, so it ignores an older reading.
func (w *worker) readClock(ms int64, at time.Duration) {
	if ms > w.clock.ms {
		w.clock = clockReading{ms, at}
	}
}

// leasesExpiredBy returns the time by which every lease that this holder granted has expired for
// certain: the worker's clock may run slow by clockDrift.
func (w *worker) leasesExpiredBy() time.Duration {
	return w.clock.at + LeaseBound(time.Duration(max(w.grantedUntil-w.clock.ms, 0))*time.Millisecond)
}

// LeaseBound returns the time within which a lease has certainly expired: the worker's clock may run slow.
func LeaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + leaseMargin
}

// freeCapacity returns the capacity left; it is negative after the worker shrank below its use.
func (w *worker) freeCapacity() capacity.Vector { return w.info.Capacity.Minus(w.used) }

// idle reports whether nothing runs on the worker and no capacity is held there.
func (w *worker) idle() bool { return len(w.runs) == 0 && w.used == capacity.Vector{} }

// acceptsRuns reports whether new runs may start on the worker now.
func (w *worker) acceptsRuns(now time.Duration) bool {
	_, known := w.clockAt(now)
	return w.phase == held && known && !w.excluded() && w.missedPolls < closeAfterMissed && !w.suspect && now >= w.pausedUntil &&
		(!w.onProbation || len(w.runs) == 0) && !w.awaitsLeaseExpiry()
}

// excluded reports whether the worker gets no new runs because it, or its failure domain, is being
// taken out of use.
func (w *worker) excluded() bool { return w.info.Draining || w.retired || w.departing }

// usable reports whether the worker is expected to accept new runs soon, if not now.
func (w *worker) usable() bool {
	return (w.phase == held || w.phase == claiming) && !w.excluded() && w.missedPolls < stopExtendingAfterMissed && !w.onProbation
}

// canRun reports whether the worker can run the task at all: service, label and total capacity fit.
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

// hasUnclaimedRuns reports whether the worker runs something of unknown demand.
func (w *worker) hasUnclaimedRuns() bool {
	for _, r := range w.runs {
		if r.task == nil {
			return true
		}
	}
	return false
}

// hasUnresolvedOrders reports whether the effect of a start or a stop is still unknown.
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

// pauseFor closes the worker for new runs. Each further pause is twice as long as the last, up to
// maxPause.
func (w *worker) pauseFor(now, first time.Duration) {
	w.pause = min(max(2*w.pause, first), maxPause)
	w.pausedUntil = max(w.pausedUntil, now+w.pause)
}
