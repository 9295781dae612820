// The simulated daemon: it passes messages, reports and orders between its coordinator, its executor, the
// other daemons and the workers.

package interleave

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// tickInterval is the time between two ticks of a daemon.
	tickInterval = 25 * time.Millisecond
	// lease is by how much each order to a worker extends the time until which its runs may go on.
	lease = 800 * time.Millisecond
	// tokenBits is the number of a token's low bits that identify the process which issued it.
	tokenBits = 12
	// A daemon that was paused for longer than pauseThreshold considers its peers unreachable.
	pauseThreshold = 500 * time.Millisecond
	// A daemon doesn't take over the workers of its unreachable peers for minorityWait when at least
	// half of all daemons are unreachable: it may be cut off itself.
	minorityWait = 8 * time.Second
	// storeWriteTime is how long the store takes to write the progress of a durable job.
	storeWriteTime = 250 * time.Millisecond
)

type executorState = coordinator.ExecutorState

// daemon connects an executor and a coordinator as package node does.
type daemon struct {
	w           *world
	name        string
	self        member.Process
	executor    *executor.Executor
	coordinator *coordinator.Coordinator
	arbitration arbitration
	links       map[*daemon]*linkEnd
	// reassign is set when the next tick is to assign the workers to the daemons again.
	reassign bool
	// unreachableSince is when the daemon last lost the link to each peer.
	unreachableSince map[*daemon]time.Duration
	lastStep         time.Duration
	pausedUntil      time.Duration
	nextHeartbeat    time.Duration
}

func newDaemon(w *world, number int) *daemon {
	d := &daemon{w: w, name: daemonName(number), links: make(map[*daemon]*linkEnd), unreachableSince: make(map[*daemon]time.Duration), reassign: true}
	d.self = member.Process{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 80), Incarnation: uint64(number + 1)}
	d.nextHeartbeat = time.Duration(number) * 70 * time.Millisecond
	d.coordinator = coordinator.New(d.self)
	d.arbitration = newArbitration(d)
	d.executor = executor.New(executor.Config{Lease: lease, MaxLease: maxLease, StopTimeout: stopDuration, TokenSource: func() uint64 {
		return uint64(clockStart+w.now.Milliseconds())<<tokenBits | d.self.Incarnation
	}})
	return d
}

// tick does the daemon's periodic work and schedules the next tick.
func (d *daemon) tick() {
	d.w.at(d.w.now+tickInterval, d, d.tick)
	d.step(func() {
		for _, p := range d.w.daemons {
			if e := d.links[p]; e != nil {
				e.tick()
			}
		}
		if d.w.now >= d.nextHeartbeat && d.w.delay(d.name, lateHeartbeats) == 0 {
			d.nextHeartbeat = d.w.now + heartbeatInterval
			for _, p := range d.w.daemons {
				if e := d.links[p]; e != nil {
					e.sendHeartbeat(d.executorState())
				}
			}
		}
		if d.reassign {
			d.assignWorkers()
		}
		d.executor.Tick(d.w.now)
		d.coordinator.Tick(d.w.now)
		d.tickArbitration()
	})
}

// step runs f on the state machines and carries out their outputs.
func (d *daemon) step(f func()) {
	d.handlePause()
	d.coordinator.UpdateExecutor(d.executorState())
	f()
	for d.routeOutputs() {
	}
}

// handlePause resets all links after a pause of the daemon, so that all peers are unreachable until
// the links are up again.
func (d *daemon) handlePause() {
	gap := d.w.now - d.lastStep
	d.lastStep = d.w.now
	if gap <= pauseThreshold {
		return
	}
	d.w.tracef("%s was paused for %v", d.name, gap)
	for _, p := range d.w.daemons {
		if e := d.links[p]; e != nil {
			e.reset(0)
		}
	}
	d.coordinator.PauseDurable(d.w.now, d.w.scenario.base.durable)
	d.w.at(d.w.now+storeWriteTime/10, d, func() { d.step(func() { d.coordinator.PauseDurable(d.w.now, false) }) })
}

// executorState is the state of its workers that this daemon sends to its peers.
func (d *daemon) executorState() executorState {
	return executorState{
		Process: d.self, Workers: d.executor.WorkerCapacities(d.w.now), Backlog: d.executor.Backlog(d.w.now), ReportedAt: d.w.now, ReportInterval: heartbeatInterval,
	}
}

func (d *daemon) handlePeerState(h executorState) {
	h.Distance, h.ReportedAt = 1, d.w.now
	d.coordinator.UpdateExecutor(h)
}

func (d *daemon) handlePeerReachable(p *daemon) {
	d.reassign = true
	d.arbitrationPeerReachable(p)
}

func (d *daemon) handlePeerUnreachable(p *daemon) {
	d.unreachableSince[p] = d.w.now
	d.coordinator.HandleExecutorLost(d.w.now, p.self)
	d.executor.HandleOwnerLost(d.w.now, p.self)
	d.arbitrationPeerUnreachable(p)
	d.reassign = true
	for d.routeOutputs() {
	}
}

// members returns the daemons among which this one distributes the workers.
func (d *daemon) members() map[*daemon]bool {
	reachable, unreachable := 1, 0
	for _, e := range d.links {
		if e.up {
			reachable++
		} else if _, wasLost := d.unreachableSince[e.peer]; wasLost {
			unreachable++
		}
	}
	list := map[*daemon]bool{d: true}
	for p, e := range d.links {
		lostAt, wasLost := d.unreachableSince[p]
		if e.up || d.w.now < settledAt || wasLost && unreachable >= reachable && d.w.now-lostAt < minorityWait {
			list[p] = true
		}
	}
	return list
}

func (d *daemon) assignWorkers() {
	d.reassign = d.w.now < settledAt
	members := d.members()
	var own []executor.WorkerInfo
	for _, k := range d.w.workerList {
		info := d.w.workerInfo(k)
		d.executor.Update(d.w.now, info)
		if d.w.assignedDaemon(d, k, members) == d {
			own = append(own, info)
		}
	}
	d.executor.SetWorkers(d.w.now, own)
}

// routeOutputs carries out the outputs of both state machines. It returns false if there were none.
func (d *daemon) routeOutputs() bool {
	c, e := d.coordinator.Drain(), d.executor.Drain()
	for _, ev := range slices.Concat(c.Events, e.Events) {
		d.w.tracef("%s: %s %s run %d %s %s", d.name, ev.Name, ev.ID, ev.Run, ev.Worker, ev.Detail)
	}
	for _, m := range c.Messages {
		d.sendToExecutor(m)
	}
	for _, a := range c.Answers {
		d.w.handleAnswer(d, a)
		d.notifyWaiters(a)
	}
	for _, id := range c.ProgressChanged {
		d.storeProgress(id)
	}
	for _, id := range c.Stopped {
		d.arbitration.client.ConfirmStopped(d.w.now, id)
	}
	sortStops(e.Calls)
	for _, call := range e.Calls {
		d.w.sendOrder(d, call)
	}
	for _, r := range e.Reports {
		d.sendToCoordinator(r)
	}
	for _, t := range e.Takeovers {
		d.requestClaims(t)
	}
	d.lookUpJobStates(e.JobsToLookUp)
	startOutputs := d.routeStartOutputs()
	return startOutputs || len(c.Messages)+len(e.Reports)+len(e.Takeovers)+len(e.Calls) > 0
}

// sortStops sorts the stops that an executor sends at once, so that each repetition has the same order.
func sortStops(calls []executor.Call) {
	slices.SortStableFunc(calls, func(a, b executor.Call) int {
		if a.Kind != executor.CallStop || b.Kind != executor.CallStop || a.Worker != b.Worker {
			return 0
		}
		return compareIDs(a.ID, b.ID)
	})
}

func compareIDs(a, b task.ID) int { return cmp.Compare(a.String(), b.String()) }

// sendTo calls do at another daemon by a message, or at once if p is this daemon.
func (d *daemon) sendTo(p *daemon, description string, do func(p *daemon)) {
	if p == d {
		do(d)
		return
	}
	e := d.links[p]
	if !e.up {
		d.w.tracef("%s has no link for %s to %s", d.name, description, p.name)
		return
	}
	e.send(func() {
		d.w.tracef("%s gets %s from %s", p.name, description, d.name)
		p.step(func() { do(p) })
	})
}

func (d *daemon) sendToExecutor(m coordinator.Message) {
	description := "a message"
	switch {
	case m.Claims != nil:
		description = fmt.Sprintf("claims %s %d", m.Claims.Worker, len(m.Claims.Tasks))
	case m.Offer != nil:
		description = "an offer"
	case m.Withdraw != nil:
		description = "a withdrawal"
	}
	d.sendTo(d.w.daemonOf(m.To), description, func(p *daemon) { p.handleMessage(d.self, m) })
}

// handleMessage passes a coordinator's message to the executor.
func (d *daemon) handleMessage(from member.Process, m coordinator.Message) {
	now, x := d.w.now, d.executor
	switch {
	case m.Claims != nil:
		claims := *m.Claims
		claims.Tasks = slices.Clone(m.Claims.Tasks)
		x.HandleClaims(now, claims)
	case m.Offer != nil:
		x.Offer(now, from, slices.Clone(m.Offer))
	case m.Reclaim != nil:
		x.Reclaim(now, from, m.Reclaim)
	case m.WithdrawDurable != nil:
		x.WithdrawDurable(now, from, m.WithdrawDurable)
	case m.ConfirmStored != nil:
		x.ConfirmStored(now, m.ConfirmStored)
	case m.Superseded != nil:
		x.MarkSuperseded(m.Superseded)
	case m.Reserve != nil:
		x.Reserve(now, from, slices.Clone(m.Reserve))
	case m.Unreserve != nil:
		x.Unreserve(now, from, m.Unreserve)
	case m.Reconcile != nil:
		x.Reconcile(now, from, m.Reconcile)
	default:
		x.Withdraw(now, from, m.Withdraw, m.Confirm)
	}
}

func (d *daemon) sendToCoordinator(r executor.OwnedReport) {
	description := fmt.Sprintf("report %s %s run %d %s", r.Outcome, r.ID, r.Run, r.Reason)
	d.sendTo(d.w.daemonOf(r.Owner), description, func(p *daemon) { p.coordinator.HandleReport(d.w.now, d.self, r.Report) })
}

// requestClaims asks coordinators which runs of a worker are theirs after this daemon took it over.
func (d *daemon) requestClaims(t executor.Takeover) {
	slices.SortFunc(t.Completed, func(a, b task.RunningTask) int { return compareIDs(a.ID, b.ID) })
	ask := func(p *daemon) {
		d.sendTo(p, "takeover "+t.Worker, func(p *daemon) { p.coordinator.HandleTakeover(d.w.now, d.self, t) })
	}
	if t.To != (member.Process{}) {
		ask(d.w.daemonOf(t.To))
		return
	}
	asked := []member.Process{d.self}
	for _, p := range d.w.daemons {
		if e := d.links[p]; e != nil && e.up {
			asked = append(asked, p.self)
			ask(p)
		}
	}
	d.executor.ExpectClaims(d.w.now, t.Worker, asked)
	ask(d)
}

// storeProgress writes a durable job's progress to the store.
func (d *daemon) storeProgress(id string) {
	version, _ := d.coordinator.Progress(id)
	d.w.at(d.w.now+storeWriteTime, d, func() { d.step(func() { d.coordinator.HandlePersisted(id, version, false) }) })
}

// lookUpJobStates reads from the store the states of jobs that have unacknowledged completions.
func (d *daemon) lookUpJobStates(jobs []string) {
	if len(jobs) == 0 {
		return
	}
	requestedAt := d.w.now
	d.w.at(requestedAt+storeWriteTime/10, d, func() {
		d.step(func() { d.executor.ApplyJobStates(d.w.now, requestedAt, d.w.storedState) })
	})
}
