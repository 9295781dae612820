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

// singleStateStore is a store that has the state of one job, or returns an error.
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

// unresponsiveStore is a store that never answers.
type unresponsiveStore struct{ ledger.Store }

func (unresponsiveStore) Get(ctx context.Context, _ ledger.Key) (ledger.Entry, error) {
	<-ctx.Done()
	return ledger.Entry{}, ledger.ErrOutcomeUnknown
}

func (unresponsiveStore) Write(ctx context.Context, _ ledger.Change) (ledger.Result, error) {
	<-ctx.Done()
	return ledger.Result{}, ledger.ErrOutcomeUnknown
}

// The daemon stops while the store does not answer. Callers that query or cancel a job must be
// answered then, and not delay the stop until their own wait limit.
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

// A job arrives on an open connection when a stopping daemon has answered its last jobs. It must be
// refused as not run, not cut off when the process ends.
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

// A caller lost the answer of a daemon that accepted its job, and sends the job again to a daemon
// that is about to stop and accepts none. "Not accepted" would be wrong.
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
	assert.Equal(t, ask("new"), NotAccepted, "all owners have reported what they stored")
	n.ownerUnreachable(n.clock.now(), peer(3))
	assert.Equal(t, ask("new"), Uncertain, "a lost owner may not have reported a job")
	n.platform.Ledger = unresponsiveStore{}
	began := time.Now()
	assert.Equal(t, ask("new"), Uncertain)
	assert.Assert(t, time.Since(began) < 5*confirmTimeout, "a refusal is sent at once")
}

// A VM stood still with a request in its socket. The caller has hung up and sent the job to another
// daemon when the process reads the request: the job must not start here too. A caller that is
// still connected must be served.
func TestRequestOfDepartedCallerIsNotStartedAfterStandstill(t *testing.T) {
	n := newTestNode(t)
	n.serving, n.stopServing = context.WithCancel(context.Background())
	r := Request{ID: "a", Route: &routing.Route{Name: "r", Service: "s"}, Steps: []coordinator.Step{{Count: 1}}, WaitLimit: time.Minute}
	n.clock.suspended.Store(int64(time.Minute))
	n.lastUpdateAt = n.clock.now() - 2*standstillLimit(n.fleet.interval)
	departed, hangUp := context.WithCancel(context.Background())
	time.AfterFunc(resumeWait/10, hangUp)
	a := n.Run(departed, r)
	assert.Equal(t, a.Reason, coordinator.ReasonCanceled)
	assert.Equal(t, n.jobCount(), 0)
	assert.Assert(t, !n.coordinator.Has("a"))

	go n.Run(context.Background(), r)
	for began := time.Now(); n.jobCount() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 5*time.Second)
	}
}

// endedJobsStore is a store in which all durable jobs have ended.
type endedJobsStore struct {
	ledger.Store
	states []string
}

func (s endedJobsStore) List(_ context.Context, k ledger.EntryKind) (list []ledger.Entry, err error) {
	if k == ledger.StateEntry {
		for _, id := range s.states {
			list = append(list, ledger.Entry{Key: ledger.Key{Kind: k, ID: id}, Revision: 3})
		}
	}
	return list, nil
}

// A new process takes ended durable jobs for jobs that never were durable.
func TestNewProcessFindsEndedDurableJobs(t *testing.T) {
	n := newTestNode(t)
	n.platform.Ledger = endedJobsStore{states: []string{"kept"}}
	states, err := n.readJobStates([]string{"kept", "other"}, n.durable.inUse)
	assert.NilError(t, err)
	assert.Equal(t, states["kept"], executor.JobEnded)
	assert.Equal(t, states["other"], executor.JobNotDurable)
}
