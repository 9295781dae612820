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

// Workers carries out orders.
type Workers interface {
	// Do sends one order and tells what the answer proves. It returns within the order's
	// own time limit.
	Do(ctx context.Context, c executor.Call) executor.Answer
	// Forget drops what is kept for a worker that has left.
	Forget(worker string)
}

// Platform is what the daemon needs of the platform it runs on.
type Platform struct {
	Workers Workers
	// Configuration and Fleet are feeds of the operator's configuration and of the entries
	// of workers and daemons.
	Configuration, Fleet registry.Feed
	// Daemons are the entries of daemons alone, read once at the start.
	Daemons   registry.Feed
	Registrar registry.Registrar
	// Ledger is where accepted jobs are kept.
	Ledger ledger.Store
	// DecodeConfiguration and DecodeWorker decode entries of the feeds.
	DecodeConfiguration func(content []byte) (*routing.Table, error)
	DecodeWorker        func(id string, content []byte) (executor.WorkerInfo, error)
	// DecodeRetirement checks the entry that retires a failure domain.
	DecodeRetirement func(domain string, content []byte) error
}

// Dispatcher runs callers' jobs; it is what a caller interface needs of the daemon.
type Dispatcher interface {
	// Table returns the configuration in force; nil before the first.
	Table() *routing.Table
	// AwaitTable returns it too, but waits for the first while the process has just started,
	// unless ctx ends; nil when it doesn't come in time.
	AwaitTable(ctx context.Context) *routing.Table
	// Run brings a job to its answer. When ctx ends, the caller has gone and the job is
	// canceled.
	Run(ctx context.Context, r Request) coordinator.Answer
	// AcceptDurable accepts a job that is to be kept: it is stored when AcceptDurable returns Accepted.
	AcceptDurable(ctx context.Context, r Request) Acceptance
	// Cancel ends a job, whichever daemon it is at.
	Cancel(ctx context.Context, id string) Cancellation
	// State returns the state of a kept job, or of one that runs here. It is 0 when there
	// is no such job; an error tells that the store didn't answer.
	State(ctx context.Context, id string) (ledger.State, error)
	// PendingJobs returns how many kept jobs of a queue have not begun, at all daemons; each
	// tells its own in its heartbeats.
	PendingJobs(route string) int
	// CountRefusal counts a request that was turned away before it became a job.
	CountRefusal(r Refusal)
}

// Request is a caller's request for a job.
type Request struct {
	// ID is the caller's identifier of the job; CallerID that of this request, for logs.
	ID, CallerID string
	Route        *routing.Route
	Payload      string
	Steps        []coordinator.Step
	// WaitLimit is how long the caller waits.
	WaitLimit time.Duration
}

// Acceptance is what became of a job that is to be kept.
type Acceptance struct {
	Verdict AcceptanceVerdict
	// Reason and RetryAfter go with Refused.
	Reason     coordinator.Reason
	RetryAfter time.Duration
}

// AcceptanceVerdict says whether a job is kept.
type AcceptanceVerdict uint8

// Verdicts on a job that is to be kept.
const (
	// Accepted: it is stored, and will be run or have a clear end.
	Accepted AcceptanceVerdict = iota + 1
	// NotAccepted: it is not stored and will never run.
	NotAccepted
	// Uncertain: it may be stored.
	Uncertain
)

// String returns the verdict's name in logs and counters.
func (v AcceptanceVerdict) String() string {
	names := [...]string{"unknown", "accepted", "not_accepted", "uncertain"}
	if int(v) < len(names) {
		return names[v]
	}
	return names[0]
}

// Cancellation is what became of the request to cancel a job.
type Cancellation uint8

// Outcomes of a cancellation.
const (
	// CancelDone: the job has ended, by this or before.
	CancelDone Cancellation = iota + 1
	// NoSuchJob: there is none.
	NoSuchJob
	// CancelUncertain: the store doesn't answer; the caller may ask again.
	CancelUncertain
)

// Refusal says why a request did not become a job.
type Refusal string

// Refusals.
const (
	RefusedNoConfiguration Refusal = "no_configuration"
	RefusedNoRoute         Refusal = "no_route"
	RefusedInvalid         Refusal = "invalid"
	RefusedUnsupported     Refusal = "unsupported"
)
