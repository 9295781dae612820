package executor

import "time"

// Config holds the limits of an Executor. The zero value of a field stands for its
// default.
type Config struct {
	// Lease is the time that each order grants to all runs of a worker. Longer leases
	// bear longer silence between holder and worker; shorter ones make a lost run safe
	// to start again sooner. Default DefaultLease.
	Lease time.Duration
	// MaxLease is the longest lease that workers grant, whatever an order asks for. Default:
	// Lease, or DefaultLease if that is longer.
	MaxLease time.Duration
	// StopTimeout is how long a worker may take for a stop. Default DefaultStopTimeout.
	StopTimeout time.Duration
	// TokenSource returns a number for fencing tokens that is unique to this process and
	// grows with time. Required.
	TokenSource func() uint64
}

const (
	// DefaultLease is the longest lease that workers grant.
	DefaultLease = time.Second
	// DefaultStopTimeout is the workers' own bound.
	DefaultStopTimeout = 50 * time.Millisecond
	// clockDrift is how much slower a worker's clock may run than ours.
	clockDrift = 0.02
	// lapseMargin is added to the end of a lease for timers that fire late.
	leaseMargin = 30 * time.Millisecond
	// busyWait is how long a worker may hold a poll while it runs something: the lease
	// is extended at least this often, so that it outlives one lost poll.
	busyPollWait = 250 * time.Millisecond
	// idleWait is the same while nothing runs; the poll only tells that the worker is there.
	idlePollWait = 600 * time.Millisecond
	// closingSilence is how many polls in a row without an answer close a worker: a single
	// one is lost now and then, and closing for it leaves room unused. From lapsingSilence
	// on its lease is not extended any more, so that what it ran is safe to start again soon.
	closeAfterMissed         = 2
	stopExtendingAfterMissed = 2
	// claimWait is how long coordinators have for claiming the runs of a worker that was
	// taken over; what nobody claims is stopped.
	claimTimeout = 300 * time.Millisecond
	// retryAcquire is the pause after a failed attempt to take a worker over.
	acquireRetryDelay = 300 * time.Millisecond
	// yieldTime is how long a worker that another executor took is left to it, so that
	// two daemons whose views differ for a moment don't take it from each other by turns.
	yieldDelay = 1500 * time.Millisecond
	// reunionWait is how long a worker that can be reached again is left to the holder that it
	// obeys: by then daemons that a partition had parted are linked again, which takes a dial
	// that has to time out (400 ms), a pause (100 ms) and a heartbeat each way.
	reconnectWait = 700 * time.Millisecond
	// lookEvery is the pause between attempts to learn what became of an order.
	extraPollInterval = 120 * time.Millisecond
	// maxRunJump bounds the search for a run number above those a worker has seen.
	maxRunNumber = 12
	// roomPause closes a worker that refuses a start for want of room: something runs
	// there that this executor doesn't know of.
	fullPause = 100 * time.Millisecond
	// shedPause closes a worker that answers that it is unhealthy; it doubles up to maxPause.
	unhealthyPause = 250 * time.Millisecond
	maxPause       = 4 * time.Second
	// failuresToEject closes a worker after this many failed runs in a row.
	failuresToEject = 3
	// listLimit is how many ends a worker lists at once. A longer list is incomplete, so
	// a run that it doesn't show may have ended all the same.
	completionListLimit = 500
)

func (c Config) withDefaults() Config {
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.MaxLease == 0 {
		c.MaxLease = max(c.Lease, DefaultLease)
	}
	if c.StopTimeout == 0 {
		c.StopTimeout = DefaultStopTimeout
	}
	return c
}
