// The right to start a job: a daemon asks the job's arbiters, and answers as an arbiter itself.

package node

import (
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/arbiter"
	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/fleet"
	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// startupWait is how long after its start a daemon requests no grant to start a job. Until it
	// has taken over workers it may have no link to the arbiters that granted jobs to other
	// daemons.
	startupWait = 700 * time.Millisecond
	// arbiterGrace is how long an unreachable peer stays an arbiter. It can't answer, but it may
	// have granted the job to a daemon on its side of a partition. The executors of that daemon
	// notice the partition, or let their leases expire, up to this much later. A refused connection
	// doesn't prove that the process ended: connections may be refused in a partition. A daemon
	// that stood still and lost all of its links waits for its peers equally long.
	arbiterGrace = 800 * time.Millisecond
	// arbiterSweepInterval is the time between removals of what an arbiter may forget.
	arbiterSweepInterval = time.Second
)

// arbiters is the daemon's arbiter for other daemons' jobs. It has its own lock, as a request
// changes no other state.
type arbiters struct {
	mu sync.Mutex
	*arbiter.Arbiter
}

func (a *arbiters) handleRequest(now time.Duration, q arbiter.GrantRequest) (arbiter.Verdict, member.Process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.HandleRequest(now, q)
}

func (a *arbiters) release(job string, t arbiter.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Release(job, t)
}

func (a *arbiters) sweep(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.RemoveExpired(now)
}

// startView is the daemon's view of the fleet for the decision who may start a job.
type startView Node

// Arbiters implements arbiter.View.
func (v *startView) Arbiters(job string, count int) []member.Process {
	n := (*Node)(v)
	now := n.clock.now()
	if !n.fleet.settled && now < startupWait {
		return nil
	}
	var list []fleet.Member
	for _, k := range n.fleet.peers {
		if k.up && !k.leaving {
			list = append(list, fleet.Member{Process: k.Process, Weight: k.Weight})
		}
	}
	for p, u := range n.quiescence.unreachable {
		if k := n.fleet.peers[p.Address]; now-u.since < arbiterGrace && (k == nil || !k.up) {
			list = append(list, fleet.Member{Process: p, Weight: u.weight})
		}
	}
	if !n.stopping.Load() || len(list) == 0 {
		list = append(list, fleet.Member{Process: n.self.Process, Weight: n.self.Weight})
	}
	return fleet.Arbiters(job, list, count)
}

// Reachable implements arbiter.View.
func (v *startView) Reachable(p member.Process) bool {
	n := (*Node)(v)
	k := n.fleet.peers[p.Address]
	return p == n.self.Process || k != nil && k.up && k.Incarnation == p.Incarnation
}

// applyStartOutputs carries out the outputs of the arbiter's client; false when there were none.
// The caller holds the lock.
func (n *Node) applyStartOutputs(now time.Duration) bool {
	outputs := n.starts.Drain()
	for _, h := range outputs.HeldElsewhere {
		n.metrics.count("jobs_held_elsewhere", "holder_in_sight", strconv.FormatBool(h.Reachable))
		n.log.WithFields(logrus.Fields{"event": "job_held_elsewhere", "job": h.Job, "holder": h.Holder.Address, "in_sight": h.Reachable}).Info()
	}
	for _, m := range outputs.Messages {
		if m.To == n.self.Process {
			n.applyStartFrame(now, n.self.Process, startToWire(m))
		} else {
			n.mesh.Send(m.To, startToWire(m))
		}
	}
	for _, id := range outputs.Start {
		n.submit(now, id)
	}
	for _, id := range outputs.Revoked {
		n.log.WithFields(logrus.Fields{"event": "job_revoked", "job": id}).Warn()
		n.metrics.count("jobs_revoked")
		n.starts.Revoke(id)
		n.coordinator.Cancel(now, id)
		n.closeIfStopped(now, id)
	}
	for _, e := range outputs.Expired {
		a := coordinator.Answer{Job: e.Job, Status: coordinator.Refused, Reason: coordinator.ReasonNotGranted, RetryAfter: time.Second}
		if e.MayHaveRun {
			a.Status = coordinator.GivenUp
		}
		n.handleJobAnswer(a)
	}
	for _, p := range outputs.QuiescenceChecks {
		n.startQuiescenceCheck(now, p)
	}
	for _, id := range outputs.WaiterUnreachable {
		if w := n.waiters[id]; w != nil {
			n.cancelUnwanted(now, w)
		}
	}
	return len(outputs.Messages)+len(outputs.Start)+len(outputs.Revoked)+len(outputs.Expired)+len(outputs.WaiterUnreachable) > 0
}

// submit submits a job that was granted to the coordinator.
func (n *Node) submit(now time.Duration, id string) {
	w := n.waiters[id]
	if w == nil {
		n.starts.Abandon(id)
		n.starts.ConfirmStopped(now, id)
		return
	}
	n.coordinator.Submit(now, w.job)
}

// cancelUnwanted cancels a job for which no caller waits, here or at another daemon.
func (n *Node) cancelUnwanted(now time.Duration, w *waiter) {
	if w.callers > 0 || n.starts.HasWaiters(w.id) || n.waiters[w.id] != w {
		return
	}
	delete(n.waiters, w.id)
	n.coordinator.Cancel(now, w.id)
	n.metrics.countJob("caller_left", "")
	n.starts.Abandon(w.id)
	n.closeIfStopped(now, w.id)
}

// notifyRemoteWaiters sends a job's answer to the daemons that wait for it. A job that did not
// complete here is left to them once nothing of it runs.
func (n *Node) notifyRemoteWaiters(now time.Duration, a coordinator.Answer) {
	stopped := !n.coordinator.IsStopping(a.Job)
	if a.Status != coordinator.Completed && a.Status != coordinator.TaskFailed {
		n.starts.Abandon(a.Job)
		n.closeIfStopped(now, a.Job)
		return
	}
	for _, p := range n.starts.Complete(a.Job, stopped) {
		n.mesh.Send(p, jobUpdateToWire(a.Job, a.Status))
	}
}

// closeIfStopped tells the arbiters and the waiting daemons that nothing of the job runs here.
func (n *Node) closeIfStopped(now time.Duration, id string) {
	if !n.coordinator.IsStopping(id) {
		n.starts.ConfirmStopped(now, id)
	}
}

// handleStartFrame handles a frame about who may start a job.
func (n *Node) handleStartFrame(p mesh.Peer, f *schema.Frame) {
	if q := f.GetStartQuestion(); q != nil {
		n.answerStartQuery(n.clock.now(), p.Process, q) // the answer depends on the arbiter's state only
		return
	}
	n.fromPeer(p, func(now time.Duration) { n.applyStartFrame(now, p.Process, f) })
}

// answerStartQuery answers a request as an arbiter. It returns the verdict on this daemon's own
// request and sends the verdict on a peer's.
func (n *Node) answerStartQuery(now time.Duration, from member.Process, request *schema.StartQuestion) (ownVerdict *schema.Frame) {
	job := request.GetJob()
	if request.GetReleased() {
		n.arbiters.release(job, arbiter.Attempt{Process: from, Number: request.GetTry()})
		return nil
	}
	v, displaced := n.arbiters.handleRequest(now, arbiter.GrantRequest{
		Job: job, From: arbiter.Attempt{Process: from, Number: request.GetTry()}, GrantDuration: ms(request.GetHoldMs()),
		NotRunning: attemptFromWire(request.GetOverAddress(), request.GetOverIncarnation(), request.GetOverTry()),
	})
	if displaced.Address.IsValid() {
		n.mesh.Send(displaced, verdictToWire(job, arbiter.Verdict{Holder: arbiter.Attempt{Process: from, Number: request.GetTry()}}))
	}
	if from == n.self.Process {
		return verdictToWire(job, v)
	}
	n.mesh.Send(from, verdictToWire(job, v))
	return nil
}

// applyStartFrame handles a frame about who may start a job. The caller holds the lock.
func (n *Node) applyStartFrame(now time.Duration, from member.Process, f *schema.Frame) {
	switch b := f.GetBody().(type) {
	case *schema.Frame_StartQuestion:
		if ownVerdict := n.answerStartQuery(now, from, b.StartQuestion); ownVerdict != nil {
			n.applyStartFrame(now, n.self.Process, ownVerdict)
		}
	case *schema.Frame_StartVerdict:
		v := b.StartVerdict
		n.starts.HandleVerdict(now, from, v.GetJob(), arbiter.Verdict{
			Granted: v.GetGranted(), Holder: attemptFromWire(v.GetHolderAddress(), v.GetHolderIncarnation(), v.GetHolderTry()),
		})
	case *schema.Frame_JobInquiry:
		job := b.JobInquiry.GetJob()
		if !b.JobInquiry.GetLeaves() {
			n.starts.HandleQuery(from, job)
			return
		}
		if w := n.waiters[job]; n.starts.HandleCancelQuery(from, job) && w != nil {
			n.cancelUnwanted(now, w)
		}
	case *schema.Frame_JobNews:
		n.handleJobUpdate(now, from, b.JobNews)
	case *schema.Frame_CoordinatorInquiry:
		n.handleQuiescenceRequest(now, from, processFromWire(b.CoordinatorInquiry.GetAddress(), b.CoordinatorInquiry.GetIncarnation()))
	case *schema.Frame_CoordinatorCleared:
		p := processFromWire(b.CoordinatorCleared.GetAddress(), b.CoordinatorCleared.GetIncarnation())
		if b.CoordinatorCleared.GetBack() {
			n.handleQuiescenceRevoked(from, p)
			return
		}
		n.handleQuiescent(from, p)
	}
}

// handleJobUpdate handles a holder's update on a job: its answer, or that nothing of it runs there.
func (n *Node) handleJobUpdate(now time.Duration, from member.Process, update *schema.JobNews) {
	job, status := update.GetJob(), coordinator.Status(update.GetStatus())
	if status == 0 {
		n.starts.HandleNotRunning(now, from, job, update.GetTry())
		return
	}
	if w := n.waiters[job]; w != nil && n.starts.WaitsFor(from, job) {
		n.handleJobAnswer(coordinator.Answer{Job: job, Status: status, Waited: now - w.since})
	}
}

// startsPeerUnreachable notes that a peer is unreachable. The caller holds the lock.
func (n *Node) startsPeerUnreachable(now time.Duration, p mesh.Peer) {
	n.quiescence.peerUnreachable(now, p)
	n.starts.HandleUnreachable(now, p.Process)
}

// startsPeerUp notes that a peer is reachable. The caller holds the lock.
func (n *Node) startsPeerUp(now time.Duration, p member.Process) {
	n.starts.HandleReachable(now, p)
	n.quiescencePeerUp(now, p)
}

// startsTick acts on the time that has passed. The caller holds the lock.
func (n *Node) startsTick(now time.Duration) {
	n.starts.Tick(now)
	n.quiescenceTick(now)
	if now >= n.arbiterSweepAt {
		n.arbiterSweepAt = now + arbiterSweepInterval
		n.arbiters.sweep(now)
	}
}

func startToWire(m arbiter.Message) *schema.Frame {
	switch {
	case m.Request != nil:
		request := &schema.StartQuestion{Job: m.Request.Job, HoldMs: m.Request.GrantDuration.Milliseconds(), Try: m.Request.From.Number}
		if notRunning := m.Request.NotRunning; notRunning.Process.Address.IsValid() {
			request.OverAddress, request.OverIncarnation, request.OverTry = notRunning.Process.Address.String(), notRunning.Process.Incarnation, notRunning.Number
		}
		return &schema.Frame{Body: &schema.Frame_StartQuestion{StartQuestion: request}}
	case m.Release != "":
		return &schema.Frame{Body: &schema.Frame_StartQuestion{StartQuestion: &schema.StartQuestion{Job: m.Release, Released: true, Try: m.Attempt}}}
	case m.Query != "":
		return &schema.Frame{Body: &schema.Frame_JobInquiry{JobInquiry: &schema.JobInquiry{Job: m.Query}}}
	case m.CancelQuery != "":
		return &schema.Frame{Body: &schema.Frame_JobInquiry{JobInquiry: &schema.JobInquiry{Job: m.CancelQuery, Leaves: true}}}
	default:
		return &schema.Frame{Body: &schema.Frame_JobNews{JobNews: &schema.JobNews{Job: m.NotRunning, Try: m.Attempt}}}
	}
}

func verdictToWire(job string, v arbiter.Verdict) *schema.Frame {
	out := &schema.StartVerdict{Job: job, Granted: v.Granted}
	if !v.Granted {
		out.HolderAddress, out.HolderIncarnation, out.HolderTry = v.Holder.Process.Address.String(), v.Holder.Process.Incarnation, v.Holder.Number
	}
	return &schema.Frame{Body: &schema.Frame_StartVerdict{StartVerdict: out}}
}

func jobUpdateToWire(job string, s coordinator.Status) *schema.Frame {
	return &schema.Frame{Body: &schema.Frame_JobNews{JobNews: &schema.JobNews{Job: job, Status: uint32(s)}}}
}

func attemptFromWire(address string, incarnation, number uint64) arbiter.Attempt {
	return arbiter.Attempt{Process: processFromWire(address, incarnation), Number: number}
}

// processFromWire returns the process with an address and an incarnation; the zero value when the
// address is empty or invalid.
func processFromWire(address string, incarnation uint64) member.Process {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return member.Process{}
	}
	return member.Process{Address: a, Incarnation: incarnation}
}
