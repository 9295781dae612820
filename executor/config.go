package executor

import "time"

// Config holds the limits of an Executor. A zero field stands for its default.
type Config struct {
	// Lease is how long each order extends the lease of all runs of a worker. A longer lease
	// tolerates a longer loss of contact between holder and worker. With a shorter lease, a lost
	// run's task is safe to start again sooner. Default DefaultLease.
	Lease time.Duration
	// MaxLease is the longest lease that workers grant, whatever an order asks for. Default: the
	// longer of Lease and DefaultLease.
	MaxLease time.Duration
	// StopTimeout is how long a worker may take to stop a run. Default DefaultStopTimeout.
	StopTimeout time.Duration
	// TokenSource returns a number for fencing tokens. It is unique to this process and grows with
	// time. Required.
	TokenSource func() uint64
}

const (
	// DefaultLease is the longest lease that workers grant.
	DefaultLease = time.Second
	// DefaultStopTimeout is the bound that workers keep.
	DefaultStopTimeout = 50 * time.Millisecond
	// clockDrift is the fraction by which a worker's clock may run slower than this process's clock.
	clockDrift = 0.02
	// leaseMargin is added to the end of a lease, as timers may fire late.
	leaseMargin = 30 * time.Millisecond
	// busyPollWait is how long a worker that runs something may hold a poll. Polls extend the lease,
	// so it is extended at least this often and outlives one lost poll.
	busyPollWait = 250 * time.Millisecond
	// idlePollWait is the same for an idle worker. The poll only shows that the worker is reachable.
	idlePollWait = 600 * time.Millisecond
	// closeAfterMissed is how many polls in a row have to get no answer before the worker is closed
	// for new runs. Single polls are lost now and then; closing for one would waste capacity.
	// From stopExtendingAfterMissed on, polls no longer extend the worker's lease, so that its
	// tasks are soon safe to start again.
	closeAfterMissed         = 2
	stopExtendingAfterMissed = 2
	// claimTimeout is how long coordinators may take to claim the runs of a worker that was taken
	// over. The executor stops unclaimed runs.
	claimTimeout = 300 * time.Millisecond
	// acquireRetryDelay is the delay after a failed attempt to take a worker over.
	acquireRetryDelay = 300 * time.Millisecond
	// yieldDelay is how long this executor leaves a worker to the executor that took it. Without the
	// delay, two daemons whose views differ for a moment would keep taking it from each other.
	yieldDelay = 1500 * time.Millisecond
	// reconnectWait is how long this executor leaves a worker that is reachable again to the holder
	// that it obeys. Daemons that a partition had separated have reconnected by then: that takes a
	// dial that has to time out (400 ms), a pause (100 ms) and a heartbeat in each direction.
	reconnectWait = 700 * time.Millisecond
	// extraPollInterval is the delay between attempts to find out what became of an order.
	extraPollInterval = 120 * time.Millisecond
	// maxRunNumber bounds the search for a run number above those that a worker has seen.
	maxRunNumber = 12
	// fullPause is how long a worker that refused a start for lack of capacity gets no new runs: it
	// runs something that this executor does not know of.
	fullPause = 100 * time.Millisecond
	// unhealthyPause is how long a worker that answers that it is unhealthy gets no new runs. It
	// doubles up to maxPause.
	unhealthyPause = 250 * time.Millisecond
	maxPause       = 4 * time.Second
	// failuresToEject is how many runs in a row have to fail before the worker is closed.
	failuresToEject = 3
	// completionListLimit is how many completions a worker lists at once. A list of this length may
	// be incomplete, so a run that it does not show may have ended all the same.
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
