package arbiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

const (
	// replicas is how many arbiters a job has: one may be lost with what it remembers, or be chosen
	// by a daemon that doesn't see the same others.
	arbitersPerJob = 3
	// askPatience is how long the answers of all arbiters are waited for. Then those of most suffice:
	// of any two daemons that have them, one arbiter has answered both.
	grantTimeout = 100 * time.Millisecond
	// reaskPause is the time between questions about a job whose holder can't be asked.
	retryInterval = 100 * time.Millisecond
	// holdMargin is added to the time for which a caller waits: afterwards its job is given up, and
	// what runs is stopped.
	grantMargin = 10 * time.Second
)

// Client asks for the right to start jobs and tells others of those that it has. It is not safe
// for concurrent use.
type Client struct {
	self member.Process
	view View
	jobs map[string]*acquisition
	// tries counts the tries at all jobs.
	attempts uint64
	out      Output
}

// NewClient returns a client for the process.
func NewClient(self member.Process, v View) *Client {
	return &Client{self: self, view: v, jobs: make(map[string]*acquisition)}
}

// Drain returns what the user has to carry out since the last call.
func (c *Client) Drain() Output {
	o := c.out
	c.out = Output{}
	return o
}

// RequestStart asks for the right to start a job, for a caller that waits until a time. A job that is
// still ending here is asked for when that is over.
func (c *Client) RequestStart(now time.Duration, job string, deadline time.Duration) {
	if a := c.jobs[job]; a != nil && a.state == stopping {
		a.restart, a.requestedAt, a.deadline = true, now, deadline
		return
	}
	c.startAttempt(now, &acquisition{job: job, requestedAt: now, deadline: deadline})
}

// begin begins a try at a job.
func (c *Client) startAttempt(now time.Duration, a *acquisition) {
	c.attempts++
	a.attempt = c.attempts
	c.jobs[a.job] = a
	c.requestGrants(now, a)
}

// ask asks all of a job's arbiters.
func (c *Client) requestGrants(now time.Duration, a *acquisition) {
	a.state, a.timeoutAt = requesting, now+grantTimeout
	a.asked, a.replies = nil, make(map[member.Process]reply)
	c.updateArbiters(now, a)
}

// choose takes the arbiters that are seen now, and asks those that were not asked yet.
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
		a.replies[p] = unknown // it can't be asked before it is back
		return
	}
	c.send(Message{To: p, Request: &GrantRequest{Job: a.job, From: Attempt{c.self, a.attempt}, GrantDuration: a.deadline - now + grantMargin, NotRunning: a.notRunning}})
}

func (c *Client) send(m Message) { c.out.Messages = append(c.out.Messages, m) }

// sorted returns the jobs in a repeatable order.
func (c *Client) sortedJobs() []*acquisition {
	list := slices.Collect(maps.Values(c.jobs))
	slices.SortFunc(list, func(a, b *acquisition) int {
		return cmp.Or(cmp.Compare(a.requestedAt, b.requestedAt), cmp.Compare(a.job, b.job))
	})
	return list
}

// HandleVerdict takes an arbiter's verdict.
func (c *Client) HandleVerdict(now time.Duration, from member.Process, job string, v Verdict) {
	a := c.jobs[job]
	if a == nil {
		if v.Granted {
			c.send(Message{To: from, Release: job, Attempt: c.attempts}) // its callers have left meanwhile
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
	case v.Holder.Process == c.self: // an earlier question of this daemon's was held up
	case a.state == started && previous == pending:
		// Most others have granted it, so the one named here can't have started it.
	case a.state == started:
		c.out.Revoked = append(c.out.Revoked, job)
	default:
		c.waitForHolder(now, a, v)
	}
}

// evaluate starts a job that all arbiters have granted, or most while others are silent.
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

// await waits for the holder that an arbiter has named. Those that wait here though they precede this
// daemon, as it had started the job, are told that nothing of it runs here: they may be the holder.
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
		a.timeoutAt = now + retryInterval // it may return its right meanwhile
		c.out.QuiescenceChecks = append(c.out.QuiescenceChecks, v.Holder.Process)
		return
	}
	c.queryHolder(a)
}

// inquire asks the holder, which tells of itself then.
func (c *Client) queryHolder(a *acquisition) {
	a.timeoutAt = a.deadline
	c.send(Message{To: a.holder.Process, Query: a.job})
}

func (c *Client) sendNotRunning(a *acquisition, to member.Process) {
	c.send(Message{To: to, NotRunning: a.job, Attempt: a.attempt})
}

// precedes puts daemons in an order. Of those that have not started a job, one waits for another
// only if that precedes it: otherwise some could wait in a circle.
func (c *Client) precedes(p member.Process) bool {
	return cmp.Or(c.self.Address.Compare(p.Address), cmp.Compare(c.self.Incarnation, p.Incarnation)) < 0
}

// yield leaves a job that has not started here to one that has inquired, and waits for that.
func (c *Client) yield(a *acquisition, to member.Process) {
	if a.state == waiting && a.holder.Process != to {
		c.send(Message{To: a.holder.Process, CancelQuery: a.job})
	}
	a.state, a.holder, a.notRunning = waiting, Attempt{Process: to}, Attempt{}
	c.removeWaiter(a, to)
	c.sendNotRunning(a, to)
	c.queryHolder(a)
}

// HandleQuery takes the question of a daemon that was told that this one has the job. It waits for
// the job's answer then, or is told that nothing of it runs here.
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

// HandleCancelQuery takes an inquiry back; false when there was none.
func (c *Client) HandleCancelQuery(from member.Process, job string) bool {
	a := c.jobs[job]
	return a != nil && c.removeWaiter(a, from)
}

func (c *Client) removeWaiter(a *acquisition, p member.Process) bool {
	before := len(a.waiters)
	a.waiters = slices.DeleteFunc(a.waiters, func(q member.Process) bool { return q == p })
	return len(a.waiters) < before
}

// HandleNotRunning takes a holder's word that nothing of the job runs there, of a try or an earlier one.
func (c *Client) HandleNotRunning(now time.Duration, from member.Process, job string, attempt uint64) {
	if a := c.jobs[job]; a != nil && a.state == waiting && a.holder.Process == from {
		a.notRunning = Attempt{from, attempt}
		c.requestGrants(now, a)
	}
}

// HandleQuiescence tells that a holder is out of sight and no executor has anything of its jobs any more.
func (c *Client) HandleQuiescence(now time.Duration, holder member.Process) {
	for _, a := range c.sortedJobs() {
		if (a.state == waiting || a.state == requesting) && a.holder.Process == holder && a.notRunning != a.holder && !c.view.Reachable(holder) {
			a.notRunning = a.holder
			c.requestGrants(now, a)
		}
	}
}

// WaitsFor reports whether a daemon is waited for to answer the job.
func (c *Client) WaitsFor(p member.Process, job string) bool {
	a := c.jobs[job]
	return a != nil && a.state == waiting && a.holder.Process == p
}

// HasWaiters reports whether another daemon waits for the job's answer.
func (c *Client) HasWaiters(job string) bool {
	a := c.jobs[job]
	return a != nil && len(a.waiters) > 0
}

// Complete ends a job that has its answer, and returns who waits for it too. While something of it
// may still run, ConfirmStopped is to follow.
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

// Revoke takes a started job back that was granted to another. When ConfirmStopped has told that nothing of
// it runs any more, it is asked for again.
func (c *Client) Revoke(job string) {
	if a := c.jobs[job]; a != nil && a.state == started {
		a.state, a.restart = stopping, true
	}
}

// Abandon ends a job that this daemon doesn't run to its end. Something of it may still run,
// until ConfirmStopped.
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

// ConfirmStopped tells that nothing of the job runs here any more.
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

// HandleUnreachable tells that a daemon is out of sight.
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

// HandleReachable tells that a daemon is in sight, again or for the first time. It is asked what it wasn't, or
// may have granted to another one meanwhile. One that takes an arbiter's place learns of the jobs
// that are under way here, or it would grant them to others.
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
			a.replies[p] = unknown // if it is another's now, that one may have started it
		}
	}
}

// Tick lets time pass.
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
