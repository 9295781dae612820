package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/ledger"
	"github.com/lavendercleat/lavendercleat/routing"
)

// oneState is a store that knows of one job, or doesn't answer.
type singleStateStore struct {
	ledger.Store
	known string
	err   error
}

func (s singleStateStore) Get(_ context.Context, k ledger.Key) (ledger.Entry, error) {
	if k.Kind == ledger.StateEntry && k.ID == s.known {
		return ledger.Entry{Key: k, Value: ledger.EncodeState(ledger.Queued, 9, time.Time{}), Revision: 3}, s.err
	}
	return ledger.Entry{Key: k}, s.err
}

// silent is a store that answers nothing.
type unresponsiveStore struct{ ledger.Store }

func (unresponsiveStore) Get(ctx context.Context, _ ledger.Key) (ledger.Entry, error) {
	<-ctx.Done()
	return ledger.Entry{}, ledger.ErrOutcomeUnknown
}

// The daemon stops while the store is silent: callers that ask for a job or cancel one are
// answered then, and don't hold the stop up until their own patience ends.
func TestStopAnswersCallersThatWaitForStore(t *testing.T) {
	n := newTestNode(t)
	n.serving, n.stopServing = context.WithCancel(context.Background())
	n.platform.Ledger = unresponsiveStore{}
	done := make(chan error, 2)
	go func() { _, err := n.State(context.Background(), "a"); done <- err }()
	go func() { n.Cancel(context.Background(), "a"); done <- nil }()
	n.stopServing()
	for range 2 {
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("a caller still waits")
		}
	}
}

// A job comes on an open connection when a stopping daemon has answered its last jobs: it
// is refused, as not run, and not cut off with the process.
func TestJobAfterStopIsRefused(t *testing.T) {
	n := newTestNode(t)
	r := Request{ID: "a", Route: &routing.Route{Name: "r", Service: "s"}, Steps: []coordinator.Step{{Count: 1}}, WaitLimit: time.Minute}
	answers := make(chan coordinator.Answer, 1)
	go func() { answers <- n.Run(context.Background(), r) }()
	for n.jobCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	n.stopServing()
	n.answerAll()
	assert.Equal(t, (<-answers).Reason, coordinator.ReasonStopping)
	r.ID = "b"
	a := n.Run(context.Background(), r)
	assert.Equal(t, a.Status, coordinator.Refused)
	assert.Equal(t, a.Reason, coordinator.ReasonStopping)
}

// A caller has lost the answer of a daemon that accepted its job, and sends it again to
// one that is about to stop and takes none. "Not accepted" would be untrue.
func TestRefusalIsCheckedAgainstStore(t *testing.T) {
	n := newTestNode(t)
	n.closing.Store(true)
	ask := func(id string) AcceptanceVerdict {
		return n.AcceptDurable(context.Background(), Request{
			ID: id, Route: &routing.Route{Name: "r", Service: "s"}, Steps: []coordinator.Step{{Count: 1}}, WaitLimit: time.Second,
		}).Verdict
	}
	n.platform.Ledger = singleStateStore{known: "accepted"}
	assert.Equal(t, ask("accepted"), Accepted)
	assert.Equal(t, ask("new"), NotAccepted)
	n.platform.Ledger = singleStateStore{err: ledger.ErrOutcomeUnknown}
	assert.Equal(t, ask("new"), NotAccepted, "all owners have told what they stored")
	n.ownerUnreachable(n.clock.now(), peer(3))
	assert.Equal(t, ask("new"), Uncertain, "but one that is lost may not have")
	n.platform.Ledger = unresponsiveStore{}
	began := time.Now()
	assert.Equal(t, ask("new"), Uncertain)
	assert.Assert(t, time.Since(began) < 5*confirmTimeout, "a refusal is told at once")
}

// A machine stood still with a request in its socket. Its caller has hung up and sent the
// job to another daemon by the time the request is read: it is not started here too. A
// caller that is still there is served.
func TestRequestOfDepartedCallerIsNotStartedAfterStandstill(t *testing.T) {
	n := newTestNode(t)
	n.serving, n.stopServing = context.WithCancel(context.Background())
	r := Request{ID: "a", Route: &routing.Route{Name: "r", Service: "s"}, Steps: []coordinator.Step{{Count: 1}}, WaitLimit: time.Minute}
	n.clock.suspended.Store(int64(time.Minute))
	n.lastUpdateAt = n.clock.now() - 2*standstillLimit(n.fleet.interval)
	gone, hangUp := context.WithCancel(context.Background())
	time.AfterFunc(resumeWait/10, hangUp)
	a := n.Run(gone, r)
	assert.Equal(t, a.Reason, coordinator.ReasonCanceled)
	assert.Equal(t, n.jobCount(), 0)
	assert.Assert(t, !n.coordinator.Has("a"))

	go n.Run(context.Background(), r)
	for began := time.Now(); n.jobCount() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 5*time.Second)
	}
}

// endedJobs is a store in which all kept jobs have ended.
type endedJobsStore struct {
	ledger.Store
	states []string
}

func (s endedJobsStore) List(_ context.Context, k ledger.Kind) (list []ledger.Entry, err error) {
	if k == ledger.StateEntry {
		for _, id := range s.states {
			list = append(list, ledger.Entry{Key: ledger.Key{Kind: k, ID: id}, Revision: 3})
		}
	}
	return list, nil
}

// A new process would take ends of kept jobs that have ended for those of jobs that were never kept.
func TestNewProcessFindsEndedDurableJobs(t *testing.T) {
	n := newTestNode(t)
	n.platform.Ledger = endedJobsStore{states: []string{"kept"}}
	states, err := n.readJobStates([]string{"kept", "other"}, n.durable.inUse)
	assert.NilError(t, err)
	assert.Equal(t, states["kept"], executor.JobEnded)
	assert.Equal(t, states["other"], executor.JobNotDurable)
}
