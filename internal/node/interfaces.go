package node

import (
	"context"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
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
	Workers   Workers
	Feed      registry.Feed
	Registrar registry.Registrar
	// DecodeConfiguration and DecodeWorker decode entries of the feeds.
	DecodeConfiguration func(content []byte) (*routing.Table, error)
	DecodeWorker        func(id string, content []byte) (executor.WorkerInfo, error)
}

// Dispatcher runs callers' jobs; it is what a caller interface needs of the daemon.
type Dispatcher interface {
	// Table returns the configuration in force; nil before the first.
	Table() *routing.Table
	// Run brings a job to its answer. When ctx ends, the caller has gone and the job is
	// canceled.
	Run(ctx context.Context, r Request) coordinator.Answer
	// Cancel ends a job that runs here and reports whether there was one.
	Cancel(id string) bool
	// State returns the state of a job that runs here.
	State(id string) (running, known bool)
	// Refused counts a request that was turned away before it became a job.
	Refused(r Refusal)
}

// Request is a caller's request for a job.
type Request struct {
	// ID is the caller's identifier of the job; CallerID that of this request, for logs.
	ID, CallerID string
	Route        *routing.Route
	Payload      string
	Steps        []coordinator.Step
	// Patience is how long the caller waits.
	Patience time.Duration
}

// Refusal says why a request did not become a job.
type Refusal string

// Refusals.
const (
	RefusedNoConfiguration Refusal = "no_configuration"
	RefusedNoRoute         Refusal = "no_route"
	RefusedInvalid         Refusal = "invalid"
	RefusedUnsupported     Refusal = "unsupported"
)
