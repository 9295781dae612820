// The simulated daemon: it passes messages between its coordinator, its executor, the other daemons and the
// workers.

package policy

import (
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

type daemon struct {
	m           *model
	self        member.Process
	domain      string
	weight      float64
	executor    *executor.Executor
	coordinator *coordinator.Coordinator
	// lastHeartbeat is when each reachable daemon's last heartbeat arrived.
	lastHeartbeat map[member.Process]time.Duration
}

func (d *daemon) tick() {
	d.m.at(d.m.now+tickInterval, d.tick)
	d.step(func() {
		d.dropUnreachable()
		d.executor.Tick(d.m.now)
		d.coordinator.Tick(d.m.now)
	})
}

// sendHeartbeats sends the free capacity of this daemon's workers to all other daemons.
func (d *daemon) sendHeartbeats() {
	d.m.at(d.m.now+d.m.workload.heartbeatInterval, d.sendHeartbeats)
	d.executor.SetMedianSlowdowns(d.coordinator.MedianSlowdowns(d.m.now))
	for i, p := range d.m.daemons {
		if p == d {
			continue
		}
		delay := latency(d.domain, p.domain)
		if !d.m.workload.synchronizedHeartbeats {
			delay += d.m.workload.heartbeatInterval * time.Duration(i) / time.Duration(len(d.m.daemons))
		}
		d.m.at(d.m.now+delay-latency(d.domain, p.domain), func() {
			h := coordinator.ExecutorState{
				Process: d.self, Domain: d.domain, Workers: d.executor.WorkerCapacities(d.m.now), Backlog: d.executor.Backlog(d.m.now), Demands: d.coordinator.Demands(d.m.now),
			}
			d.send(p, func() { p.handleHeartbeat(d, h) })
		})
	}
}

// send sends a message to another daemon, unless either failure domain is isolated.
func (d *daemon) send(to *daemon, deliver func()) {
	if d.domain != to.domain && d.m.workload.isolated != nil {
		at := d.m.now - warmUp
		if d.m.workload.isolated(d.domain, at) || d.m.workload.isolated(to.domain, at) {
			return
		}
	}
	d.m.at(d.m.now+latency(d.domain, to.domain), deliver)
}

// dropUnreachable removes daemons whose heartbeats are missing for the time-out of the links.
func (d *daemon) dropUnreachable() {
	for _, p := range d.m.daemons {
		if at, ok := d.lastHeartbeat[p.self]; ok && d.m.now-at > mesh.PeerTimeout {
			delete(d.lastHeartbeat, p.self)
			d.coordinator.HandleExecutorLost(d.m.now, p.self)
			d.executor.HandleOwnerLost(d.m.now, p.self)
		}
	}
}

func (d *daemon) handleHeartbeat(from *daemon, h coordinator.ExecutorState) {
	h.Distance, h.ReportedAt = 2, d.m.now
	if from.domain == d.domain {
		h.Distance = 1
	}
	d.lastHeartbeat[from.self] = d.m.now
	h.ReportInterval = d.m.workload.heartbeatInterval
	d.step(func() { d.coordinator.UpdateExecutor(h) })
}

func (m *model) daemonOf(p member.Process) *daemon { return m.daemons[p.Incarnation-1] }

// step runs f on the state machines and carries out their outputs.
func (d *daemon) step(f func()) {
	now := d.m.now
	d.coordinator.UpdateExecutor(coordinator.ExecutorState{Process: d.self, Domain: d.domain, Workers: d.executor.WorkerCapacities(now), Backlog: d.executor.Backlog(d.m.now), ReportedAt: now})
	f()
	for d.routeOutputs(now) {
	}
}

func (d *daemon) routeOutputs(now time.Duration) bool {
	c, e := d.coordinator.Drain(), d.executor.Drain()
	for _, msg := range c.Messages {
		to := d.m.daemonOf(msg.To)
		if to == d {
			d.handleMessage(d, msg)
			continue
		}
		d.send(to, func() { to.step(func() { to.handleMessage(d, msg) }) })
	}
	for _, a := range c.Answers {
		d.m.handleAnswer(a)
	}
	for _, call := range e.Calls {
		w := d.m.workers[call.Worker]
		d.m.at(now+latency(d.domain, w.info.Domain), func() { w.handleOrder(d, call) })
	}
	for _, r := range e.Reports {
		if r.Reason == executor.ReasonCapacityTaken {
			d.m.returnedTasks++
		}
		to := d.m.daemonOf(r.Owner)
		if to == d {
			d.coordinator.HandleReport(now, d.self, r.Report)
			continue
		}
		d.send(to, func() { to.step(func() { to.coordinator.HandleReport(d.m.now, d.self, r.Report) }) })
	}
	for _, t := range e.Takeovers {
		d.executor.ExpectClaims(now, t.Worker, nil)
	}
	return len(c.Messages)+len(e.Reports)+len(e.Takeovers)+len(e.Calls) > 0
}

// handleMessage passes a coordinator's message to the executor.
func (d *daemon) handleMessage(from *daemon, msg coordinator.Message) {
	switch {
	case msg.Offer != nil:
		d.executor.Offer(d.m.now, from.self, append([]task.Task(nil), msg.Offer...))
	case msg.Reclaim != nil:
		d.executor.Reclaim(d.m.now, from.self, msg.Reclaim)
	case msg.Reserve != nil:
		d.executor.Reserve(d.m.now, from.self, append([]task.Task(nil), msg.Reserve...))
	case msg.Unreserve != nil:
		d.executor.Unreserve(d.m.now, from.self, msg.Unreserve)
	case msg.Withdraw != nil:
		d.executor.Withdraw(d.m.now, from.self, msg.Withdraw, msg.Confirm)
	}
}
