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
	replicas = 3
	// askPatience is how long the answers of all arbiters are waited for. Then those of most suffice:
	// of any two daemons that have them, one arbiter has answered both.
	askPatience = 100 * time.Millisecond
	// reaskPause is the time between questions about a job whose holder can't be asked.
	reaskPause = 100 * time.Millisecond
	// holdMargin is added to the time for which a caller waits: afterwards its job is given up, and
	// what runs is stopped.
	holdMargin = 10 * time.Second
)

// Client asks for the right to start jobs and tells others of those that it has. It is not safe
// for concurrent use.
type Client struct {
	self member.Process
	view View
	jobs map[string]*application
	// tries counts the tries at all jobs.
	tries uint64
	out   Output
}

// NewClient returns a client for the process.
func NewClient(self member.Process, v View) *Client {
	return &Client{self: self, view: v, jobs: make(map[string]*application)}
}

// Drain returns what the user has to carry out since the last call.
func (c *Client) Drain() Output {
	o := c.out
	c.out = Output{}
	return o
}

// RequestStart asks for the right to start a job, for a caller that waits until a time. A job that is
// still ending here is asked for when that is over.
func (c *Client) RequestStart(now time.Duration, job string, until time.Duration) {
	if a := c.jobs[job]; a != nil && a.state == ending {
		a.again, a.came, a.until = true, now, until
		return
	}
	c.begin(now, &application{job: job, came: now, until: until})
}

// begin begins a try at a job.
func (c *Client) begin(now time.Duration, a *application) {
	c.tries++
	a.try = c.tries
	c.jobs[a.job] = a
	c.ask(now, a)
}

// ask asks all of a job's arbiters.
func (c *Client) ask(now time.Duration, a *application) {
	a.state, a.askAt = asking, now+askPatience
	a.asked, a.replies = nil, make(map[member.Process]reply)
	c.choose(now, a)
}

// choose takes the arbiters that are seen now, and asks those that were not asked yet.
func (c *Client) choose(now time.Duration, a *application) {
	a.arbiters = c.view.Arbiters(a.job, replicas)
	for _, p := range a.arbiters {
		if _, asked := a.replies[p]; !asked {
			a.asked = append(a.asked, p)
			c.question(now, a, p)
		}
	}
}

func (c *Client) question(now time.Duration, a *application, p member.Process) {
	a.replies[p] = pending
	if !c.view.Reachable(p) {
		a.replies[p] = unsure // it can't be asked before it is back
		return
	}
	c.send(Message{To: p, Request: &GrantRequest{Job: a.job, From: Attempt{c.self, a.try}, GrantDuration: a.until - now + holdMargin, NotRunning: a.over}})
}

func (c *Client) send(m Message) { c.out.Messages = append(c.out.Messages, m) }

// sorted returns the jobs in a repeatable order.
func (c *Client) sorted() []*application {
	list := slices.Collect(maps.Values(c.jobs))
	slices.SortFunc(list, func(a, b *application) int { return cmp.Or(cmp.Compare(a.came, b.came), cmp.Compare(a.job, b.job)) })
	return list
}

// HandleVerdict takes an arbiter's verdict.
func (c *Client) HandleVerdict(now time.Duration, from member.Process, job string, v Verdict) {
	a := c.jobs[job]
	if a == nil {
		if v.Granted {
			c.send(Message{To: from, Release: job, Attempt: c.tries}) // its callers have left meanwhile
		}
		return
	}
	before, asked := a.replies[from]
	if !asked || a.state == waiting || a.state == ending {
		return
	}
	switch {
	case v.Granted:
		a.replies[from] = granted
		c.evaluate(now, a)
	case v.Holder.Process == c.self: // an earlier question of this daemon's was held up
	case a.state == started && before == pending:
		// Most others have granted it, so the one named here can't have started it.
	case a.state == started:
		c.out.Revoked = append(c.out.Revoked, job)
	default:
		c.await(now, a, v)
	}
}

// evaluate starts a job that all arbiters have granted, or most while others are silent.
func (c *Client) evaluate(now time.Duration, a *application) {
	if a.state != asking || len(a.arbiters) == 0 {
		return
	}
	grants := 0
	for _, p := range a.arbiters {
		if a.replies[p] == granted {
			grants++
		}
	}
	if grants == len(a.arbiters) || now >= a.askAt && grants > len(a.arbiters)/2 {
		a.state, a.over = started, Attempt{}
		c.out.Start = append(c.out.Start, a.job)
	}
}

// await waits for the holder that an arbiter has named. Those that wait here though they precede this
// daemon, as it had started the job, are told that nothing of it runs here: they may be the holder.
func (c *Client) await(now time.Duration, a *application, v Verdict) {
	seen := c.view.Reachable(v.Holder.Process)
	if a.holder.Process != v.Holder.Process {
		c.out.HeldElsewhere = append(c.out.HeldElsewhere, HeldJob{a.job, v.Holder.Process, seen})
	}
	a.state, a.holder, a.over = waiting, v.Holder, Attempt{}
	for _, p := range slices.Clone(a.inquirers) {
		if !c.precedes(p) {
			c.dropInquirer(a, p)
			c.tellOver(a, p)
		}
	}
	if !seen {
		a.askAt = now + reaskPause // it may return its right meanwhile
		c.out.QuiescenceChecks = append(c.out.QuiescenceChecks, v.Holder.Process)
		return
	}
	c.inquire(a)
}

// inquire asks the holder, which tells of itself then.
func (c *Client) inquire(a *application) {
	a.askAt = a.until
	c.send(Message{To: a.holder.Process, Query: a.job})
}

func (c *Client) tellOver(a *application, to member.Process) {
	c.send(Message{To: to, NotRunning: a.job, Attempt: a.try})
}

// precedes puts daemons in an order. Of those that have not started a job, one waits for another
// only if that precedes it: otherwise some could wait in a circle.
func (c *Client) precedes(p member.Process) bool {
	return cmp.Or(c.self.Address.Compare(p.Address), cmp.Compare(c.self.Incarnation, p.Incarnation)) < 0
}

// yield leaves a job that has not started here to one that has inquired, and waits for that.
func (c *Client) yield(a *application, to member.Process) {
	if a.state == waiting && a.holder.Process != to {
		c.send(Message{To: a.holder.Process, CancelQuery: a.job})
	}
	a.state, a.holder, a.over = waiting, Attempt{Process: to}, Attempt{}
	c.dropInquirer(a, to)
	c.tellOver(a, to)
	c.inquire(a)
}

// HandleQuery takes the question of a daemon that was told that this one has the job. It waits for
// the job's answer then, or is told that nothing of it runs here.
func (c *Client) HandleQuery(from member.Process, job string) {
	a := c.jobs[job]
	switch {
	case a == nil:
		c.send(Message{To: from, NotRunning: job, Attempt: c.tries})
	case (a.state == asking || a.state == waiting) && !c.precedes(from):
		c.yield(a, from)
	case !slices.Contains(a.inquirers, from):
		a.inquirers = append(a.inquirers, from)
	}
}

// HandleCancelQuery takes an inquiry back; false when there was none.
func (c *Client) HandleCancelQuery(from member.Process, job string) bool {
	a := c.jobs[job]
	return a != nil && c.dropInquirer(a, from)
}

func (c *Client) dropInquirer(a *application, p member.Process) bool {
	before := len(a.inquirers)
	a.inquirers = slices.DeleteFunc(a.inquirers, func(q member.Process) bool { return q == p })
	return len(a.inquirers) < before
}

// HandleNotRunning takes a holder's word that nothing of the job runs there, of a try or an earlier one.
func (c *Client) HandleNotRunning(now time.Duration, from member.Process, job string, try uint64) {
	if a := c.jobs[job]; a != nil && a.state == waiting && a.holder.Process == from {
		a.over = Attempt{from, try}
		c.ask(now, a)
	}
}

// HandleQuiescence tells that a holder is out of sight and no executor has anything of its jobs any more.
func (c *Client) HandleQuiescence(now time.Duration, holder member.Process) {
	for _, a := range c.sorted() {
		if (a.state == waiting || a.state == asking) && a.holder.Process == holder && a.over != a.holder && !c.view.Reachable(holder) {
			a.over = a.holder
			c.ask(now, a)
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
	return a != nil && len(a.inquirers) > 0
}

// Complete ends a job that has its answer, and returns who waits for it too. While something of it
// may still run, ConfirmStopped is to follow.
func (c *Client) Complete(job string, over bool) []member.Process {
	a := c.jobs[job]
	if a == nil {
		return nil
	}
	told := a.inquirers
	a.inquirers = nil
	a.state = ending
	if over {
		delete(c.jobs, job)
	}
	return told
}

// Revoke takes a started job back that was granted to another. When ConfirmStopped has told that nothing of
// it runs any more, it is asked for again.
func (c *Client) Revoke(job string) {
	if a := c.jobs[job]; a != nil && a.state == started {
		a.state, a.again = ending, true
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
	a.state, a.again = ending, false
}

// ConfirmStopped tells that nothing of the job runs here any more.
func (c *Client) ConfirmStopped(now time.Duration, job string) {
	a := c.jobs[job]
	if a == nil || a.state != ending {
		return
	}
	delete(c.jobs, job)
	if !a.again {
		for _, p := range a.asked {
			if a.replies[p] == granted {
				c.send(Message{To: p, Release: job, Attempt: a.try})
			}
		}
	}
	for _, p := range a.inquirers {
		c.tellOver(a, p)
	}
	if a.again {
		c.begin(now, &application{job: job, came: a.came, until: a.until})
	}
}

// HandleUnreachable tells that a daemon is out of sight.
func (c *Client) HandleUnreachable(now time.Duration, p member.Process) {
	for _, a := range c.sorted() {
		if c.dropInquirer(a, p) {
			c.out.WaiterUnreachable = append(c.out.WaiterUnreachable, a.job)
		}
		r, asked := a.replies[p]
		switch {
		case a.state == asking && asked:
			a.replies[p] = unsure
			c.choose(now, a)
			c.evaluate(now, a)
		case a.state == started && r == granted && asked:
			a.replies[p] = unsure
		case a.state == waiting && a.holder.Process == p:
			a.askAt = now
		}
	}
}

// HandleReachable tells that a daemon is in sight, again or for the first time. It is asked what it wasn't, or
// may have granted to another one meanwhile. One that takes an arbiter's place learns of the jobs
// that are under way here, or it would grant them to others.
func (c *Client) HandleReachable(now time.Duration, p member.Process) {
	for _, a := range c.sorted() {
		r, asked := a.replies[p]
		switch {
		case !asked && a.state == started:
			c.choose(now, a)
		case r != unsure:
		case a.state == asking:
			c.question(now, a, p)
		case a.state == started:
			c.question(now, a, p)
			a.replies[p] = unsure // if it is another's now, that one may have started it
		}
	}
}

// Tick lets time pass.
func (c *Client) Tick(now time.Duration) {
	for _, a := range c.sorted() {
		switch {
		case a.state != asking && a.state != waiting:
		case now >= a.until:
			c.out.Expired = append(c.out.Expired, Expiry{a.job, a.holder.Process.Address.IsValid()})
		case now < a.askAt:
		case a.state == waiting:
			c.ask(now, a)
		default:
			c.choose(now, a)
			c.evaluate(now, a)
		}
	}
}
