package arbiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

const (
	// arbitersPerJob is the number of arbiters of a job. One of them may fail and lose its grants, or
	// be chosen by a daemon that does not reach the same peers.
	arbitersPerJob = 3
	// grantTimeout is how long a client waits for the verdicts of all arbiters. After it, the grants of
	// a majority suffice: any two majorities have an arbiter in common.
	grantTimeout = 100 * time.Millisecond
	// retryInterval is the time between requests for a job whose holder is unreachable.
	retryInterval = 100 * time.Millisecond
	// grantMargin is added to the time for which the caller waits. Within this time after the caller's
	// deadline the coordinator gives up the job and stops its runs.
	grantMargin = 10 * time.Second
)

// Client acquires the right to start jobs, and answers queries about the jobs that it holds. It is
// not safe for concurrent use.
type Client struct {
	self member.Process
	view View
	jobs map[string]*acquisition
	// attempts counts the attempts at all jobs.
	attempts uint64
	out      Output
}

// NewClient returns a client for the process.
func NewClient(self member.Process, v View) *Client {
	return &Client{self: self, view: v, jobs: make(map[string]*acquisition)}
}

// Drain returns the actions for the caller that have accumulated since the last call.
func (c *Client) Drain() Output {
	o := c.out
	c.out = Output{}
	return o
}

// RequestStart requests the right to start a job whose caller waits until the deadline. If an earlier
// attempt at the job is still stopping here, the client requests the job after that attempt has stopped.
func (c *Client) RequestStart(now time.Duration, job string, deadline time.Duration) {
	if a := c.jobs[job]; a != nil && a.state == stopping {
		a.restart, a.requestedAt, a.deadline = true, now, deadline
		return
	}
	c.startAttempt(now, &acquisition{job: job, requestedAt: now, deadline: deadline})
}

// startAttempt starts a new attempt at a job.
func (c *Client) startAttempt(now time.Duration, a *acquisition) {
	c.attempts++
	a.attempt = c.attempts
	c.jobs[a.job] = a
	c.requestGrants(now, a)
}

// requestGrants requests the job from all of its arbiters.
func (c *Client) requestGrants(now time.Duration, a *acquisition) {
	a.state, a.timeoutAt = requesting, now+grantTimeout
	a.asked, a.replies = nil, make(map[member.Process]reply)
	c.updateArbiters(now, a)
}

// updateArbiters selects the arbiters among the daemons that are reachable now, and requests the job
// from those that were not asked yet.
func (c *Client) updateArbiters(now time.Duration, a *acquisition) {
	a.arbiters = c.view.Arbiters(a.job, arbitersPerJob)
	for _, p := range a.arbiters {
		if _, asked := a.replies[p]; !asked {
			a.asked = append(a.asked, p)
			c.sendRequest(now, a, p)
		}
	}
}

func (c *Client) sendRequest(now time.Duration, a *acquisition, p member.Process) {
	a.replies[p] = pending
	if !c.view.Reachable(p) {
		a.replies[p] = unknown // HandleReachable requests again
		return
	}
	c.send(Message{To: p, Request: &GrantRequest{Job: a.job, From: Attempt{c.self, a.attempt}, GrantDuration: a.deadline - now + grantMargin, NotRunning: a.notRunning}})
}

func (c *Client) send(m Message) { c.out.Messages = append(c.out.Messages, m) }

// sortedJobs returns the jobs in a deterministic order.
func (c *Client) sortedJobs() []*acquisition {
	list := slices.Collect(maps.Values(c.jobs))
	slices.SortFunc(list, func(a, b *acquisition) int {
		return cmp.Or(cmp.Compare(a.requestedAt, b.requestedAt), cmp.Compare(a.job, b.job))
	})
	return list
}

// HandleVerdict handles an arbiter's verdict.
func (c *Client) HandleVerdict(now time.Duration, from member.Process, job string, v Verdict) {
	a := c.jobs[job]
	if a == nil {
		if v.Granted {
			c.send(Message{To: from, Release: job, Attempt: c.attempts}) // the callers have left since the request
		}
		return
	}
	previous, asked := a.replies[from]
	if !asked || a.state == waiting || a.state == stopping {
		return
	}
	switch {
	case v.Granted:
		a.replies[from] = granted
		c.startIfGranted(now, a)
	case v.Holder.Process == c.self: // the verdict on a delayed request of an earlier attempt
	case a.state == started && previous == pending:
		// A majority has granted the job to this daemon, so that holder cannot have started it.
	case a.state == started:
		c.out.Revoked = append(c.out.Revoked, job)
	default:
		c.waitForHolder(now, a, v)
	}
}

// startIfGranted starts the job if all arbiters have granted it, or, after grantTimeout, a majority.
func (c *Client) startIfGranted(now time.Duration, a *acquisition) {
	if a.state != requesting || len(a.arbiters) == 0 {
		return
	}
	grants := 0
	for _, p := range a.arbiters {
		if a.replies[p] == granted {
			grants++
		}
	}
	if grants == len(a.arbiters) || now >= a.timeoutAt && grants > len(a.arbiters)/2 {
		a.state, a.notRunning = started, Attempt{}
		c.out.Start = append(c.out.Start, a.job)
	}
}

// waitForHolder waits for the holder that an arbiter has named. The client tells each waiter that
// precedes this daemon that nothing of the job runs here. Such a daemon waited because this one had
// started the job, and it may itself be the holder.
func (c *Client) waitForHolder(now time.Duration, a *acquisition, v Verdict) {
	seen := c.view.Reachable(v.Holder.Process)
	if a.holder.Process != v.Holder.Process {
		c.out.HeldElsewhere = append(c.out.HeldElsewhere, HeldJob{a.job, v.Holder.Process, seen})
	}
	a.state, a.holder, a.notRunning = waiting, v.Holder, Attempt{}
	for _, p := range slices.Clone(a.waiters) {
		if !c.precedes(p) {
			c.removeWaiter(a, p)
			c.sendNotRunning(a, p)
		}
	}
	if !seen {
		a.timeoutAt = now + retryInterval // the holder may release its grant meanwhile
		c.out.QuiescenceChecks = append(c.out.QuiescenceChecks, v.Holder.Process)
		return
	}
	c.queryHolder(a)
}

// queryHolder queries the holder, which replies when it has an answer or nothing of the job runs there.
func (c *Client) queryHolder(a *acquisition) {
	a.timeoutAt = a.deadline
	c.send(Message{To: a.holder.Process, Query: a.job})
}

func (c *Client) sendNotRunning(a *acquisition, to member.Process) {
	c.send(Message{To: to, NotRunning: a.job, Attempt: a.attempt})
}

// precedes reports whether this daemon is before p in a total order of daemons. A daemon that has not
// started a job waits for another such daemon only if that one precedes it. Otherwise daemons could
// wait for each other in a cycle.
func (c *Client) precedes(p member.Process) bool {
	return cmp.Or(c.self.Address.Compare(p.Address), cmp.Compare(c.self.Incarnation, p.Incarnation)) < 0
}

// yield leaves a job that has not started here to a daemon that has queried it, and waits for that one.
func (c *Client) yield(a *acquisition, to member.Process) {
	if a.state == waiting && a.holder.Process != to {
		c.send(Message{To: a.holder.Process, CancelQuery: a.job})
	}
	a.state, a.holder, a.notRunning = waiting, Attempt{Process: to}, Attempt{}
	c.removeWaiter(a, to)
	c.sendNotRunning(a, to)
	c.queryHolder(a)
}

// HandleQuery handles a query of a daemon to which an arbiter has named this one as the job's holder.
// The daemon becomes a waiter for the job's answer, or the client replies that nothing of the job runs
// here.
func (c *Client) HandleQuery(from member.Process, job string) {
	a := c.jobs[job]
	switch {
	case a == nil:
		c.send(Message{To: from, NotRunning: job, Attempt: c.attempts})
	case (a.state == requesting || a.state == waiting) && !c.precedes(from):
		c.yield(a, from)
	case !slices.Contains(a.waiters, from):
		a.waiters = append(a.waiters, from)
	}
}

// HandleCancelQuery removes a waiter. It returns false if the daemon was not waiting.
func (c *Client) HandleCancelQuery(from member.Process, job string) bool {
	a := c.jobs[job]
	return a != nil && c.removeWaiter(a, from)
}

func (c *Client) removeWaiter(a *acquisition, p member.Process) bool {
	before := len(a.waiters)
	a.waiters = slices.DeleteFunc(a.waiters, func(q member.Process) bool { return q == p })
	return len(a.waiters) < before
}

// HandleNotRunning handles a holder's reply that nothing of the job runs there, of the attempt or of an
// earlier one.
func (c *Client) HandleNotRunning(now time.Duration, from member.Process, job string, attempt uint64) {
	if a := c.jobs[job]; a != nil && a.state == waiting && a.holder.Process == from {
		a.notRunning = Attempt{from, attempt}
		c.requestGrants(now, a)
	}
}

// HandleQuiescence handles a confirmed quiescence check: the holder is unreachable, and no executor
// runs anything of its jobs any more.
func (c *Client) HandleQuiescence(now time.Duration, holder member.Process) {
	for _, a := range c.sortedJobs() {
		if (a.state == waiting || a.state == requesting) && a.holder.Process == holder && a.notRunning != a.holder && !c.view.Reachable(holder) {
			a.notRunning = a.holder
			c.requestGrants(now, a)
		}
	}
}

// WaitsFor reports whether the client waits for p to answer the job.
func (c *Client) WaitsFor(p member.Process, job string) bool {
	a := c.jobs[job]
	return a != nil && a.state == waiting && a.holder.Process == p
}

// HasWaiters reports whether another daemon waits for the job's answer.
func (c *Client) HasWaiters(job string) bool {
	a := c.jobs[job]
	return a != nil && len(a.waiters) > 0
}

// Complete ends a job that has its answer, and returns the daemons that wait for the answer too. If
// runs of the job may not have stopped yet, the caller must call ConfirmStopped later.
func (c *Client) Complete(job string, stopped bool) []member.Process {
	a := c.jobs[job]
	if a == nil {
		return nil
	}
	waiters := a.waiters
	a.waiters = nil
	a.state = stopping
	if stopped {
		delete(c.jobs, job)
	}
	return waiters
}

// Revoke gives up a started job that was granted to another daemon. After ConfirmStopped the client
// requests the job again.
func (c *Client) Revoke(job string) {
	if a := c.jobs[job]; a != nil && a.state == started {
		a.state, a.restart = stopping, true
	}
}

// Abandon ends a job without an answer. Runs of the job may continue until the caller calls
// ConfirmStopped.
func (c *Client) Abandon(job string) {
	a := c.jobs[job]
	if a == nil {
		return
	}
	if a.state == waiting {
		c.send(Message{To: a.holder.Process, CancelQuery: job})
	}
	a.state, a.restart = stopping, false
}

// ConfirmStopped records that nothing of the job runs here any more.
func (c *Client) ConfirmStopped(now time.Duration, job string) {
	a := c.jobs[job]
	if a == nil || a.state != stopping {
		return
	}
	delete(c.jobs, job)
	if !a.restart {
		for _, p := range a.asked {
			if a.replies[p] == granted {
				c.send(Message{To: p, Release: job, Attempt: a.attempt})
			}
		}
	}
	for _, p := range a.waiters {
		c.sendNotRunning(a, p)
	}
	if a.restart {
		c.startAttempt(now, &acquisition{job: job, requestedAt: a.requestedAt, deadline: a.deadline})
	}
}

// HandleUnreachable records that a daemon is unreachable.
func (c *Client) HandleUnreachable(now time.Duration, p member.Process) {
	for _, a := range c.sortedJobs() {
		if c.removeWaiter(a, p) {
			c.out.WaiterUnreachable = append(c.out.WaiterUnreachable, a.job)
		}
		r, asked := a.replies[p]
		switch {
		case a.state == requesting && asked:
			a.replies[p] = unknown
			c.updateArbiters(now, a)
			c.startIfGranted(now, a)
		case a.state == started && r == granted && asked:
			a.replies[p] = unknown
		case a.state == waiting && a.holder.Process == p:
			a.timeoutAt = now
		}
	}
}

// HandleReachable records that a daemon is reachable, again or for the first time. The client requests
// jobs for which it has not asked that daemon yet, or that the daemon may have granted to another one
// meanwhile. If the daemon becomes an arbiter of a started job, the request tells it of the job;
// otherwise it would grant the job to others.
func (c *Client) HandleReachable(now time.Duration, p member.Process) {
	for _, a := range c.sortedJobs() {
		r, asked := a.replies[p]
		switch {
		case !asked && a.state == started:
			c.updateArbiters(now, a)
		case r != unknown:
		case a.state == requesting:
			c.sendRequest(now, a, p)
		case a.state == started:
			c.sendRequest(now, a, p)
			a.replies[p] = unknown // if it names another holder, that one may have started the job
		}
	}
}

// Tick handles the time-outs that have expired.
func (c *Client) Tick(now time.Duration) {
	for _, a := range c.sortedJobs() {
		switch {
		case a.state != requesting && a.state != waiting:
		case now >= a.deadline:
			c.out.Expired = append(c.out.Expired, Expiry{a.job, a.holder.Process.Address.IsValid()})
		case now < a.timeoutAt:
		case a.state == waiting:
			c.requestGrants(now, a)
		default:
			c.updateArbiters(now, a)
			c.startIfGranted(now, a)
		}
	}
}
