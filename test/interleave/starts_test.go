package interleave

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/arbiter"
	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/fleet"
	"github.com/lavendercleat/lavendercleat/member"
)

const (
	// arbiterGrace is how long a lost daemon stays an arbiter, leaseOver how long after a loss the
	// leases of what it ran are over, as in package node.
	arbiterGrace = 800 * time.Millisecond
	leaseOver    = 1200 * time.Millisecond
)

// starts is a daemon's part in who may start a job.
type starts struct {
	arbiter *arbiter.Arbiter
	client  *arbiter.Client
	// job is what is started once it is granted.
	job coordinator.Job
	// clears are the coordinators that this daemon wants to be cleared, asked who wants to know of one.
	clears map[member.Process]*clearance
	asked  map[member.Process][]*daemon
}

type clearance struct {
	waits  map[*daemon]bool
	overBy time.Duration
}

func newStarts(d *daemon) starts {
	return starts{
		arbiter: arbiter.New(), client: arbiter.NewClient(d.self, d),
		clears: make(map[member.Process]*clearance), asked: make(map[member.Process][]*daemon),
	}
}

// Arbiters implements arbiter.View.
func (d *daemon) Arbiters(job string, n int) []member.Process {
	list := []fleet.Member{{Process: d.self}}
	for p, e := range d.ends {
		at, lost := d.lostAt[p]
		if e.up || lost && d.w.now-at < arbiterGrace {
			list = append(list, fleet.Member{Process: p.self})
		}
	}
	return fleet.Arbiters(job, list, n)
}

// Reachable implements arbiter.View.
func (d *daemon) Reachable(p member.Process) bool { return p == d.self || d.ends[d.w.daemonOf(p)].up }

// apply asks for the right to start a job, unless it is kept: the store decides then.
func (d *daemon) apply(j coordinator.Job) {
	if j.Durable {
		d.coordinator.Submit(d.w.now, j)
		return
	}
	d.starts.job = j
	d.starts.client.RequestStart(d.w.now, j.ID, j.Deadline)
}

// abandon ends a job whose caller has left, unless another daemon waits for it.
func (d *daemon) abandon(job string) {
	if d.starts.client.HasWaiters(job) {
		return
	}
	d.coordinator.Cancel(d.w.now, job)
	d.starts.client.Abandon(job)
	d.closeIfOver(job)
}

func (d *daemon) closeIfOver(job string) {
	if !d.coordinator.IsStopping(job) {
		d.starts.client.ConfirmStopped(d.w.now, job)
	}
}

// startEnded tells those that wait for a job of its answer or its end.
func (d *daemon) startEnded(a coordinator.Answer) {
	if a.Status != coordinator.Completed && a.Status != coordinator.TaskFailed {
		d.starts.client.Abandon(a.Job)
		d.closeIfOver(a.Job)
		return
	}
	for _, p := range d.starts.client.Complete(a.Job, !d.coordinator.IsStopping(a.Job)) {
		d.to(d.w.daemonOf(p), "an answer", func(p *daemon) {
			if p.starts.client.WaitsFor(d.self, a.Job) {
				p.w.answered(p, a)
				p.startEnded(a)
			}
		})
	}
}

// routeStarts carries out what was decided about starts; false when there was nothing.
func (d *daemon) routeStarts() bool {
	o := d.starts.client.Drain()
	for _, m := range o.Messages {
		d.to(d.w.daemonOf(m.To), "a word on a start", func(p *daemon) { p.takeStart(d, m) })
	}
	for range o.Start {
		d.coordinator.Submit(d.w.now, d.starts.job)
	}
	for _, job := range o.Revoked {
		d.starts.client.Revoke(job)
		d.coordinator.Cancel(d.w.now, job)
		d.closeIfOver(job)
	}
	for _, p := range o.QuiescenceChecks {
		d.clear(p)
	}
	return len(o.Messages)+len(o.Start)+len(o.Revoked) > 0
}

func (d *daemon) takeStart(from *daemon, m arbiter.Message) {
	now, c := d.w.now, d.starts.client
	switch {
	case m.Request != nil:
		v, displaced := d.starts.arbiter.HandleRequest(now, *m.Request)
		d.tellVerdict(from, m.Request.Job, v)
		if displaced.Address.IsValid() && d.Reachable(displaced) {
			d.tellVerdict(d.w.daemonOf(displaced), m.Request.Job, arbiter.Verdict{Holder: m.Request.From})
		}
	case m.Release != "":
		d.starts.arbiter.Release(m.Release, arbiter.Attempt{Process: from.self, Number: m.Attempt})
	case m.Query != "":
		c.HandleQuery(from.self, m.Query)
	case m.CancelQuery != "":
		c.HandleCancelQuery(from.self, m.CancelQuery)
	default:
		c.HandleNotRunning(now, from.self, m.NotRunning, m.Attempt)
	}
}

func (d *daemon) tellVerdict(to *daemon, job string, v arbiter.Verdict) {
	d.to(to, "a verdict", func(p *daemon) { p.starts.client.HandleVerdict(p.w.now, d.self, job, v) })
}

// clear asks all executors whether anything of a coordinator is left there.
func (d *daemon) clear(holder member.Process) {
	if d.starts.clears[holder] != nil {
		return
	}
	c := &clearance{waits: map[*daemon]bool{d: true}}
	d.starts.clears[holder] = c
	d.starts.asked[holder] = append(d.starts.asked[holder], d)
	for _, p := range d.w.daemons {
		if p == d {
			continue
		}
		if at, lost := d.lostAt[p]; lost {
			c.overBy = max(c.overBy, at+leaseOver)
		}
		if d.ends[p].up {
			c.waits[p] = true
			d.askClearance(p, holder)
		}
	}
}

func (d *daemon) askClearance(of *daemon, holder member.Process) {
	d.to(of, "a question about a coordinator", func(p *daemon) { p.starts.asked[holder] = append(p.starts.asked[holder], d) })
}

// startsTick lets time pass.
func (d *daemon) startsTick() {
	d.starts.client.Tick(d.w.now)
	for _, holder := range d.w.processes() {
		d.starts.asked[holder] = slices.DeleteFunc(d.starts.asked[holder], func(by *daemon) bool {
			clear := !d.Reachable(holder) && d.executor.Quiescent(d.w.now, holder)
			if by.self == holder && by != d {
				clear = d.executor.QuiescentAfterReturn(d.w.now, holder)
			}
			if clear {
				d.to(by, "a clearance", func(p *daemon) { p.cleared(d, holder) })
			}
			return clear
		})
		if c := d.starts.clears[holder]; c != nil && len(c.waits) == 0 && d.w.now >= c.overBy {
			delete(d.starts.clears, holder)
			d.starts.client.HandleQuiescence(d.w.now, holder)
		}
	}
}

func (d *daemon) cleared(by *daemon, holder member.Process) {
	if holder == d.self {
		d.coordinator.HandleQuiescence(by.self)
	} else if c := d.starts.clears[holder]; c != nil {
		delete(c.waits, by)
	}
}

// startsLost and startsFound note who is in sight.
func (d *daemon) startsLost(p *daemon) {
	d.starts.client.HandleUnreachable(d.w.now, p.self)
	for _, c := range d.starts.clears {
		if c.waits[p] {
			delete(c.waits, p)
			c.overBy = max(c.overBy, d.w.now+leaseOver)
		}
	}
}

func (d *daemon) startsFound(p *daemon) {
	d.starts.client.HandleReachable(d.w.now, p.self)
	delete(d.starts.clears, p.self)
	for _, holder := range d.w.processes() {
		if c := d.starts.clears[holder]; c != nil && holder != p.self {
			c.waits[p] = true
			d.askClearance(p, holder)
		}
	}
	if d.coordinator.AwaitQuiescence(p.self) {
		d.askClearance(p, d.self)
	}
}
