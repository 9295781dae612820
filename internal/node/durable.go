// Durable jobs: acceptance and state queries.

package node

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/ledger"
)

const (
	// resendPeriod is the time after which callers that lost an answer have certainly sent their
	// job again: the platform specifies 1.3 s.
	resendPeriod = 5 * time.Second
	// confirmTimeout bounds the read of the store before a refusal, which the daemon has to send at
	// once. The store answers within some milliseconds.
	confirmTimeout = 100 * time.Millisecond
	// stateMargin is added to the time for which callers can query the state of ended jobs.
	stateMargin = 30 * time.Second
)

// durableJobs is the daemon's state of durable jobs. Guarded by the node's lock.
type durableJobs struct {
	ledger *ledger.Ledger
	// waitingCallers wait for the result of a write for their jobs, by job.
	waitingCallers map[string][]*caller
	states         states
	// writesInFlight counts the writes in progress; nextWriteAt is when the next may start.
	writesInFlight int
	nextWriteAt    time.Duration
	// inUse: the fleet has, or has had, durable jobs.
	inUse          bool
	lookedUpAt     time.Duration
	lookupInFlight bool
	ownerWatch     ownerWatch
	ownership      ownershipCheck
	unreported     unreportedJobs
	// resigned holds the waiting jobs that this daemon gave up for a planned stop, by route; nil before that.
	resigned map[string]uint32
	// added is signaled when the ledger gets a job.
	added chan struct{}
}

// caller waits for the result of a job's acceptance or cancellation.
type caller struct {
	done  chan struct{}
	event ledger.EventKind
	// forEnd: the caller waits for the job's end, not for its acceptance.
	forEnd bool
}

func newDurableJobs(self mesh.Peer, retention time.Duration) durableJobs {
	return durableJobs{
		ledger: ledger.New(ledger.Config{
			Owner: self.Incarnation, OwnershipID: fmt.Sprintf("%s-%x", self.Name, self.Incarnation), Retention: retention + stateMargin,
		}),
		waitingCallers: make(map[string][]*caller), states: newStates(), ownerWatch: newOwnerWatch(), unreported: newUnreportedJobs(),
		ownership: ownershipCheck{wake: make(chan struct{}, 1)}, added: make(chan struct{}, 1),
	}
}

// AcceptDurable implements Dispatcher.
func (n *Node) AcceptDurable(ctx context.Context, r Request) Acceptance {
	ctx, end := n.whileServing(ctx)
	defer end()
	ctx, cancel := context.WithTimeout(ctx, r.WaitLimit)
	defer cancel()
	var c *caller
	var a Acceptance
	n.update(func(now time.Duration) { c, a = n.addDurable(now, r) })
	if c != nil {
		a = acceptance(n.awaitEvent(ctx, r.ID, c))
	}
	if a.Verdict == NotAccepted {
		a = n.confirmRefusal(ctx, r.ID, a)
	}
	n.metrics.countDurableRequest(a.Verdict, a.Reason)
	n.logAcceptance(r, a)
	return a
}

// confirmRefusal checks that no other daemon accepted a job that this daemon refuses. The caller
// may have lost the other daemon's answer, and would learn wrongly that the job never runs. Owners
// report to each other which jobs they have stored. Only a peer that was lost recently may have
// failed to report a job; then, without an answer of the store, the result is uncertain.
func (n *Node) confirmRefusal(ctx context.Context, job string, refusal Acceptance) Acceptance {
	if refusal.Reason != coordinator.ReasonNoStore { // a store that fails would only make the caller wait
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		e, err := n.platform.Ledger.Get(ctx, ledger.Key{Kind: ledger.StateEntry, ID: job})
		switch {
		case err == nil && e.Revision > 0:
			return Acceptance{Verdict: Accepted}
		case err == nil:
			return refusal
		}
	}
	if n.peerLostRecently() {
		return Acceptance{Verdict: Uncertain, Reason: refusal.Reason}
	}
	return refusal
}

// peerLostRecently reports whether a peer was lost within resendPeriod.
func (n *Node) peerLostRecently() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock.now() < n.durable.ownership.verifyUntil-verifyPeriod+resendPeriod
}

func acceptance(k ledger.EventKind) Acceptance {
	switch k {
	case ledger.Stored, ledger.Duplicate, ledger.Ended, ledger.TakenOver:
		return Acceptance{Verdict: Accepted}
	case ledger.Rejected:
		return Acceptance{Verdict: NotAccepted, Reason: coordinator.ReasonNoStore, RetryAfter: time.Second}
	default:
		return Acceptance{Verdict: Uncertain}
	}
}

// addDurable adds a new job to the ledger and returns its waiting caller, or returns the result
// where it is known at once. The caller holds the lock.
func (n *Node) addDurable(now time.Duration, r Request) (*caller, Acceptance) {
	d := &n.durable
	if d.states.get(r.ID) != 0 || d.ledger.Accepted(r.ID) {
		return nil, Acceptance{Verdict: Accepted}
	}
	if d.ledger.Has(r.ID) {
		return n.addCaller(r.ID, false), Acceptance{}
	}
	refuse := func(why coordinator.Reason, after time.Duration) (*caller, Acceptance) {
		return nil, Acceptance{Verdict: NotAccepted, Reason: why, RetryAfter: after}
	}
	if n.closing.Load() {
		return refuse(coordinator.ReasonStopping, time.Second)
	}
	if n.storeFailing(now) {
		return refuse(coordinator.ReasonNoStore, time.Second)
	}
	j := coordinator.Job{
		ID: r.ID, Service: r.Route.Service, Queue: r.Route.Name, Payload: r.Payload, Steps: r.Steps, Attempts: r.Route.MaxAttempts,
		Priority: r.Route.Priority, Stretch: r.Route.Stretch, Target: r.Route.TargetLatency, Durable: true,
	}
	if reason, after := n.coordinator.CheckAdmission(now, j); reason != "" {
		return refuse(reason, after)
	}
	d.ledger.Add(now, ledger.Record{Job: j, Route: r.Route.Name})
	wake(d.added)
	n.markLedgerInUse()
	return n.addCaller(r.ID, false), Acceptance{}
}

// storeFailing reports whether the store is known not to answer. The time since its last answer
// alone doesn't show it: this process may have stood still itself, and would refuse jobs that the
// store can accept. The caller holds the lock.
func (n *Node) storeFailing(now time.Duration) bool {
	return n.configuration.storeUnreachable(now) && n.fleet.storeFailedAt > n.configuration.answeredAt
}

// markLedgerInUse notes that the fleet has durable jobs. The caller holds the lock.
func (n *Node) markLedgerInUse() {
	if !n.durable.inUse {
		n.durable.inUse = true
		n.wakeOwnerWatch()
	}
}

// addCaller registers a caller that waits for a job. The caller holds the lock.
func (n *Node) addCaller(id string, forEnd bool) *caller {
	c := &caller{done: make(chan struct{}), forEnd: forEnd}
	n.durable.waitingCallers[id] = append(n.durable.waitingCallers[id], c)
	return c
}

// awaitEvent waits for an event of a job; it returns 0 when ctx ends first.
func (n *Node) awaitEvent(ctx context.Context, id string, c *caller) ledger.EventKind {
	select {
	case <-c.done:
		return c.event
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.durable.waitingCallers[id]
	for i, other := range list {
		if other == c {
			n.durable.waitingCallers[id] = append(list[:i:i], list[i+1:]...)
		}
	}
	if len(n.durable.waitingCallers[id]) == 0 {
		delete(n.durable.waitingCallers, id)
	}
	return c.event
}

// notifyCallers passes an event to a job's callers. Callers that wait for the job's end don't get
// the event that it is stored.
func (n *Node) notifyCallers(id string, kind ledger.EventKind) {
	var rest []*caller
	for _, c := range n.durable.waitingCallers[id] {
		if kind == ledger.ProgressStored || c.forEnd && (kind == ledger.Stored || kind == ledger.TakenOver || kind == ledger.Uncertain) {
			rest = append(rest, c)
			continue
		}
		c.event = kind
		close(c.done)
	}
	if rest == nil {
		delete(n.durable.waitingCallers, id)
		return
	}
	n.durable.waitingCallers[id] = rest
}

// State implements Dispatcher.
func (n *Node) State(ctx context.Context, id string) (ledger.State, error) {
	ctx, end := n.whileServing(ctx)
	defer end()
	n.mu.Lock()
	state := n.localState(id)
	n.mu.Unlock()
	if state != 0 {
		return state, nil
	}
	e, err := n.platform.Ledger.Get(ctx, ledger.Key{Kind: ledger.StateEntry, ID: id})
	if err != nil || e.Revision == 0 {
		return 0, err
	}
	state, _, err = ledger.DecodeState(e.Value)
	if state == ledger.Queued {
		state = ledger.Running // only its owner knows whether it has started
	}
	return state, err
}

// localState returns the state of a job as far as this daemon knows; 0: unknown. The caller holds
// the lock.
func (n *Node) localState(id string) ledger.State {
	switch {
	case n.waiters[id] != nil || n.durable.ledger.Started(id):
		return ledger.Running
	case n.durable.ledger.Has(id):
		return ledger.Queued
	default:
		return n.durable.states.get(id)
	}
}

func (n *Node) logAcceptance(r Request, a Acceptance) {
	fields := logrus.Fields{"event": "job_accepted", "job": r.ID, "request": r.CallerID, "route": r.Route.Name, "verdict": a.Verdict}
	if a.Verdict == Accepted {
		n.log.WithFields(fields).Info()
		return
	}
	fields["reason"], fields["retry_after_ms"] = a.Reason, a.RetryAfter.Milliseconds()
	n.log.WithFields(fields).Warn()
}
