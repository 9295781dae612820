// The simulated daemon's arbitration: which daemon may start a job, and the quiescence checks for it.

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
	// arbiterGrace is how long an unreachable daemon stays an arbiter, leaseEndDelay how long after a
	// daemon became unreachable the leases of the runs on its workers have ended, as in package node.
	arbiterGrace  = 800 * time.Millisecond
	leaseEndDelay = 1200 * time.Millisecond
)

// arbitration is a daemon's part in the decision on which daemon may start a job.
type arbitration struct {
	arbiter *arbiter.Arbiter
	client  *arbiter.Client
	// pendingJob is the job that the daemon starts once the arbiters grant it the start.
	pendingJob coordinator.Job
	// checks are the quiescence checks that this daemon runs, by coordinator; checkRequests are the
	// daemons that requested this daemon's confirmation, by coordinator.
	checks        map[member.Process]*quiescenceCheck
	checkRequests map[member.Process][]*daemon
}

// quiescenceCheck is a check that executors no longer run anything of a coordinator: pending are the
// daemons that have not confirmed it, leasesEndAt is when all leases of unreachable ones have ended.
type quiescenceCheck struct {
	pending     map[*daemon]bool
	leasesEndAt time.Duration
}

func newArbitration(d *daemon) arbitration {
	return arbitration{
		arbiter: arbiter.New(), client: arbiter.NewClient(d.self, d),
		checks: make(map[member.Process]*quiescenceCheck), checkRequests: make(map[member.Process][]*daemon),
	}
}

// Arbiters implements arbiter.View.
func (d *daemon) Arbiters(job string, n int) []member.Process {
	list := []fleet.Member{{Process: d.self}}
	for p, e := range d.links {
		lostAt, lost := d.unreachableSince[p]
		if e.up || lost && d.w.now-lostAt < arbiterGrace {
			list = append(list, fleet.Member{Process: p.self})
		}
	}
	return fleet.Arbiters(job, list, n)
}

// Reachable implements arbiter.View.
func (d *daemon) Reachable(p member.Process) bool { return p == d.self || d.links[d.w.daemonOf(p)].up }

// requestStart asks the arbiters for the right to start a job. For a durable job the store decides instead.
func (d *daemon) requestStart(j coordinator.Job) {
	if j.Durable {
		d.coordinator.Submit(d.w.now, j)
		return
	}
	d.arbitration.pendingJob = j
	d.arbitration.client.RequestStart(d.w.now, j.ID, j.Deadline)
}

// abandonJob cancels a job whose caller has left, unless another daemon waits for its answer.
func (d *daemon) abandonJob(job string) {
	if d.arbitration.client.HasWaiters(job) {
		return
	}
	d.coordinator.Cancel(d.w.now, job)
	d.arbitration.client.Abandon(job)
	d.confirmIfStopped(job)
}

// confirmIfStopped reports a job as stopped to the arbitration once none of its runs is being stopped.
func (d *daemon) confirmIfStopped(job string) {
	if !d.coordinator.IsStopping(job) {
		d.arbitration.client.ConfirmStopped(d.w.now, job)
	}
}

// notifyWaiters sends a job's answer to the daemons that wait for it, or abandons the job if the answer
// is no result of its tasks.
func (d *daemon) notifyWaiters(a coordinator.Answer) {
	if a.Status != coordinator.Completed && a.Status != coordinator.TaskFailed {
		d.arbitration.client.Abandon(a.Job)
		d.confirmIfStopped(a.Job)
		return
	}
	for _, p := range d.arbitration.client.Complete(a.Job, !d.coordinator.IsStopping(a.Job)) {
		d.sendTo(d.w.daemonOf(p), "an answer", func(p *daemon) {
			if p.arbitration.client.WaitsFor(d.self, a.Job) {
				p.w.handleAnswer(p, a)
				p.notifyWaiters(a)
			}
		})
	}
}

// routeStartOutputs carries out the outputs of the arbitration client. It returns false if there were none.
func (d *daemon) routeStartOutputs() bool {
	o := d.arbitration.client.Drain()
	for _, m := range o.Messages {
		d.sendTo(d.w.daemonOf(m.To), "a start message", func(p *daemon) { p.handleStartMessage(d, m) })
	}
	for range o.Start {
		d.coordinator.Submit(d.w.now, d.arbitration.pendingJob)
	}
	for _, job := range o.Revoked {
		d.arbitration.client.Revoke(job)
		d.coordinator.Cancel(d.w.now, job)
		d.confirmIfStopped(job)
	}
	for _, p := range o.QuiescenceChecks {
		d.checkQuiescence(p)
	}
	return len(o.Messages)+len(o.Start)+len(o.Revoked) > 0
}

func (d *daemon) handleStartMessage(from *daemon, m arbiter.Message) {
	now, c := d.w.now, d.arbitration.client
	switch {
	case m.Request != nil:
		v, displaced := d.arbitration.arbiter.HandleRequest(now, *m.Request)
		d.sendVerdict(from, m.Request.Job, v)
		if displaced.Address.IsValid() && d.Reachable(displaced) {
			d.sendVerdict(d.w.daemonOf(displaced), m.Request.Job, arbiter.Verdict{Holder: m.Request.From})
		}
	case m.Release != "":
		d.arbitration.arbiter.Release(m.Release, arbiter.Attempt{Process: from.self, Number: m.Attempt})
	case m.Query != "":
		c.HandleQuery(from.self, m.Query)
	case m.CancelQuery != "":
		c.HandleCancelQuery(from.self, m.CancelQuery)
	default:
		c.HandleNotRunning(now, from.self, m.NotRunning, m.Attempt)
	}
}

func (d *daemon) sendVerdict(to *daemon, job string, v arbiter.Verdict) {
	d.sendTo(to, "a verdict", func(p *daemon) { p.arbitration.client.HandleVerdict(p.w.now, d.self, job, v) })
}

// checkQuiescence asks all executors whether they still run anything of a coordinator.
func (d *daemon) checkQuiescence(holder member.Process) {
	if d.arbitration.checks[holder] != nil {
		return
	}
	c := &quiescenceCheck{pending: map[*daemon]bool{d: true}}
	d.arbitration.checks[holder] = c
	d.arbitration.checkRequests[holder] = append(d.arbitration.checkRequests[holder], d)
	for _, p := range d.w.daemons {
		if p == d {
			continue
		}
		if at, lost := d.unreachableSince[p]; lost {
			c.leasesEndAt = max(c.leasesEndAt, at+leaseEndDelay)
		}
		if d.links[p].up {
			c.pending[p] = true
			d.requestQuiescence(p, holder)
		}
	}
}

func (d *daemon) requestQuiescence(of *daemon, holder member.Process) {
	d.sendTo(of, "a quiescence request", func(p *daemon) { p.arbitration.checkRequests[holder] = append(p.arbitration.checkRequests[holder], d) })
}

// tickArbitration confirms the quiescence of coordinators to the daemons that requested it, and
// completes this daemon's own checks.
func (d *daemon) tickArbitration() {
	d.arbitration.client.Tick(d.w.now)
	for _, holder := range d.w.processes() {
		d.arbitration.checkRequests[holder] = slices.DeleteFunc(d.arbitration.checkRequests[holder], func(by *daemon) bool {
			quiescent := !d.Reachable(holder) && d.executor.Quiescent(d.w.now, holder)
			if by.self == holder && by != d {
				quiescent = d.executor.QuiescentAfterReturn(d.w.now, holder)
			}
			if quiescent {
				d.sendTo(by, "a quiescence confirmation", func(p *daemon) { p.handleQuiescence(d, holder) })
			}
			return quiescent
		})
		if c := d.arbitration.checks[holder]; c != nil && len(c.pending) == 0 && d.w.now >= c.leasesEndAt {
			delete(d.arbitration.checks, holder)
			d.arbitration.client.HandleQuiescence(d.w.now, holder)
		}
	}
}

// handleQuiescence records that the daemon by no longer runs anything of the coordinator holder.
func (d *daemon) handleQuiescence(by *daemon, holder member.Process) {
	if holder == d.self {
		d.coordinator.HandleQuiescence(by.self)
	} else if c := d.arbitration.checks[holder]; c != nil {
		delete(c.pending, by)
	}
}

// arbitrationPeerUnreachable and arbitrationPeerReachable update the arbitration when the link to a
// peer is lost or up.
func (d *daemon) arbitrationPeerUnreachable(p *daemon) {
	d.arbitration.client.HandleUnreachable(d.w.now, p.self)
	for _, c := range d.arbitration.checks {
		if c.pending[p] {
			delete(c.pending, p)
			c.leasesEndAt = max(c.leasesEndAt, d.w.now+leaseEndDelay)
		}
	}
}

func (d *daemon) arbitrationPeerReachable(p *daemon) {
	d.arbitration.client.HandleReachable(d.w.now, p.self)
	delete(d.arbitration.checks, p.self)
	for _, holder := range d.w.processes() {
		if c := d.arbitration.checks[holder]; c != nil && holder != p.self {
			c.pending[p] = true
			d.requestQuiescence(p, holder)
		}
	}
	if d.coordinator.AwaitQuiescence(p.self) {
		d.requestQuiescence(p, d.self)
	}
}
