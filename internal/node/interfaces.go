// Interfaces between the daemon, its platform and its callers.

package node

import (
	"context"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/ledger"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/routing"
)

// Workers sends orders to workers.
type Workers interface {
	// Do sends one order and returns what the answer proves. It returns within the order's own
	// time-out.
	Do(ctx context.Context, c executor.Call) executor.Answer
	// CloseConnections drops the state that it keeps for a worker that has left.
	CloseConnections(worker string)
}

// Platform holds the daemon's interfaces to the platform that it runs on.
type Platform struct {
	Workers Workers
	// Configuration is the feed of the operator's configuration, Fleet that of the entries of
	// workers and daemons.
	Configuration, Fleet registry.Feed
	// Daemons is the feed of the entries of daemons alone; the daemon reads it once, at its start.
	Daemons   registry.Feed
	Registrar registry.Registrar
	// Ledger stores accepted durable jobs.
	Ledger ledger.Store
	// Cancellations returns the feed of the notices to an owner that its durable jobs were canceled.
	Cancellations func(owner uint64) registry.Feed
	// DecodeConfiguration and DecodeWorker decode entries of the feeds.
	DecodeConfiguration func(content []byte) (*routing.Table, error)
	DecodeWorker        func(id string, content []byte) (executor.WorkerInfo, error)
	// DecodeRetirement validates the entry that retires a failure domain.
	DecodeRetirement func(domain string, content []byte) error
}

// Dispatcher runs callers' jobs. It is the part of the daemon that a caller interface uses.
type Dispatcher interface {
	// Table returns the configuration in force; nil before the first.
	Table() *routing.Table
	// AwaitTable returns the configuration in force. A process that has just started waits for its
	// first one until ctx ends; nil when none arrives in time.
	AwaitTable(ctx context.Context) *routing.Table
	// Run runs a job and returns its answer. When ctx ends, the caller has left and Run cancels the
	// job.
	Run(ctx context.Context, r Request) coordinator.Answer
	// AcceptDurable accepts a durable job: it is stored when AcceptDurable returns Accepted.
	AcceptDurable(ctx context.Context, r Request) Acceptance
	// Cancel ends a job, whichever daemon runs it.
	Cancel(ctx context.Context, id string) Cancellation
	// State returns the state of a durable job, or of a job that runs here. It is 0 when there is
	// no such job; an error means that the store did not answer.
	State(ctx context.Context, id string) (ledger.State, error)
	// PendingJobs returns the number of durable jobs of a queue that have not started, at all
	// daemons. Each daemon reports its own number in its heartbeats.
	PendingJobs(route string) int
	// CountRefusal counts a request that the caller interface refused before it became a job.
	CountRefusal(r Refusal)
}

// Request is a caller's request for a job.
type Request struct {
	// ID is the caller's identifier of the job, CallerID the identifier of this request, for logs.
	ID, CallerID string
	Route        *routing.Route
	Payload      string
	Steps        []coordinator.Step
	// WaitLimit is how long the caller waits.
	WaitLimit time.Duration
}

// Acceptance is the result of a request to accept a durable job.
type Acceptance struct {
	Verdict AcceptanceVerdict
	// Reason and RetryAfter are set with NotAccepted.
	Reason     coordinator.Reason
	RetryAfter time.Duration
}

// AcceptanceVerdict states whether a durable job is stored.
type AcceptanceVerdict uint8

// Verdicts on a durable job.
const (
	// Accepted: the job is stored. It will run or reach a final state.
	Accepted AcceptanceVerdict = iota + 1
	// NotAccepted: the job is not stored and will never run.
	NotAccepted
	// Uncertain: the job may be stored.
	Uncertain
)

// String returns the verdict's name in logs and metrics.
func (v AcceptanceVerdict) String() string {
	names := [...]string{"unknown", "accepted", "not_accepted", "uncertain"}
	if int(v) < len(names) {
		return names[v]
	}
	return names[0]
}

// Cancellation is the result of a request to cancel a job.
type Cancellation uint8

// Results of a cancellation.
const (
	// CancelDone: the job has ended, by this request or before it.
	CancelDone Cancellation = iota + 1
	// NoSuchJob: no job has this identifier.
	NoSuchJob
	// CancelUncertain: the store does not answer; the caller may retry.
	CancelUncertain
)

// String returns the result's name in logs and metrics.
func (c Cancellation) String() string {
	names := [...]string{"none", "done", "no_such_job", "uncertain"}
	if int(c) < len(names) {
		return names[c]
	}
	return names[0]
}

// Refusal states why a request did not become a job.
type Refusal string

// Refusals.
const (
	RefusedNoConfiguration Refusal = "no_configuration"
	RefusedNoRoute         Refusal = "no_route"
	RefusedInvalid         Refusal = "invalid"
	RefusedUnsupported     Refusal = "unsupported"
)
