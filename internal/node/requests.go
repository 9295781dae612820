// Callers' requests for jobs that are not durable.

package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/routing"
)

// waiter is a job and the callers that wait for its answer. A caller that lost its connection may
// send the same job again; it then waits for the same answer.
type waiter struct {
	id       string
	callerID string
	route    string
	done     chan struct{}
	answer   coordinator.Answer
	callers  int
	// since is when the first caller arrived.
	since time.Duration
	// job is submitted to the coordinator once its start is granted.
	job coordinator.Job
}

// firstTableTimeout is how long callers of a process that has just started wait for its first
// configuration. A configuration of 256 KiB takes 0.1 s on a link of 25 Mbit/s that also carries
// the entries of workers and the answers to other daemons: 0.25 s after a kill of all daemons, when
// callers arrive from everywhere. Callers that are refused would not retry. The bound equals that
// of a job's wait for the first worker: a longer wait would make most jobs late.
const firstTableTimeout = 700 * time.Millisecond

// Table implements Dispatcher.
func (n *Node) Table() *routing.Table { return n.table.Load() }

// AwaitTable implements Dispatcher.
func (n *Node) AwaitTable(ctx context.Context) *routing.Table {
	t := time.NewTimer(max(firstTableTimeout-n.clock.now(), 0))
	defer t.Stop()
	select {
	case <-n.configured:
	case <-ctx.Done():
	case <-n.serving.Done():
	case <-t.C:
	}
	return n.table.Load()
}

// resumeWait is how long new requests wait after this process stood still. By then the server has
// noticed which callers hung up meanwhile, as their connections ended.
const resumeWait = 100 * time.Millisecond

// waitAfterStandstill waits after a standstill and reports whether the caller is still connected.
// The process may read a request seconds after it was sent, when its caller has given up and sent
// it to another daemon. Without the wait both daemons would start the job.
func (n *Node) waitAfterStandstill(ctx context.Context) bool {
	n.clock.sync()
	n.mu.Lock()
	now := n.clock.now()
	n.detectGap(now)
	wait := resumeWait - (now - n.resumedAt)
	if n.resumedAt == 0 {
		wait = 0
	}
	n.mu.Unlock()
	if wait > 0 {
		clock.Sleep(ctx, wait)
	}
	return ctx.Err() == nil
}

// Run implements Dispatcher.
func (n *Node) Run(ctx context.Context, r Request) coordinator.Answer {
	if !n.waitAfterStandstill(ctx) {
		n.metrics.countJob("caller_left", "")
		return coordinator.Answer{Job: r.ID, Status: coordinator.Refused, Reason: coordinator.ReasonCanceled, RetryAfter: time.Second}
	}
	w := n.join(r)
	if w == nil {
		return coordinator.Answer{Job: r.ID, Status: coordinator.Refused, Reason: coordinator.ReasonStopping, RetryAfter: time.Second}
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		n.leave(w)
	}
	return w.answer
}

// join returns the job's waiter and requests the start of a new job. When the daemon no longer
// serves it returns nil: a new caller would be cut off when the process ends.
func (n *Node) join(r Request) *waiter {
	var w *waiter
	n.update(func(now time.Duration) {
		if w = n.waiters[r.ID]; w != nil {
			w.callers++
			n.logCaller("caller_joined", now, w)
			return
		}
		if n.serving.Err() != nil {
			return
		}
		w = &waiter{id: r.ID, callerID: r.CallerID, route: r.Route.Name, done: make(chan struct{}), callers: 1, since: now}
		n.waiters[r.ID] = w
		n.logArrival(w, r)
		w.job = coordinator.Job{
			ID: r.ID, Service: r.Route.Service, Queue: r.Route.Name, Payload: r.Payload, Steps: r.Steps, Attempts: r.Route.MaxAttempts,
			Priority: r.Route.Priority, Stretch: r.Route.Stretch, Target: r.Route.TargetLatency, Deadline: now + r.WaitLimit,
		}
		n.starts.RequestStart(now, r.ID, now+r.WaitLimit)
	})
	return w
}

// leave removes a caller from a job. When no caller is left, here or elsewhere, it cancels the job.
func (n *Node) leave(w *waiter) {
	n.update(func(now time.Duration) {
		w.callers--
		n.logCaller("caller_left", now, w)
		n.cancelUnwanted(now, w)
	})
}

// handleJobAnswer passes an answer to the callers. The caller holds the lock.
func (n *Node) handleJobAnswer(a coordinator.Answer) {
	w := n.waiters[a.Job]
	if w == nil {
		n.endDurable(n.clock.now(), a)
		return
	}
	delete(n.waiters, a.Job)
	w.answer = a
	close(w.done)
	n.metrics.countJob(a.Status.String(), string(a.Reason))
	n.logAnswer(w, a)
	n.notifyRemoteWaiters(n.clock.now(), a)
}

// cancelNonDurable cancels a job that is not durable and reports whether there was one. The caller
// holds the lock.
func (n *Node) cancelNonDurable(now time.Duration, id string) bool {
	if n.waiters[id] == nil {
		return false
	}
	n.coordinator.Cancel(now, id)
	n.handleJobAnswer(coordinator.Answer{Job: id, Status: coordinator.GivenUp, Reason: coordinator.ReasonCanceled})
	return true
}

// CountRefusal implements Dispatcher.
func (n *Node) CountRefusal(r Refusal) { n.metrics.countRefusal(string(r)) }

// AddSeeds adds addresses of peers.
func (n *Node) AddSeeds(seeds []netip.AddrPort) { n.mesh.AddPeers(seeds...) }

// Ready reports whether the load balancer should send callers here.
func (n *Node) Ready() bool {
	if n.stopping.Load() || n.table.Load() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.fleet.workers) > 0
}
