package sched

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Policy selects how the scheduler chooses workers. All policies but Shares are baselines
// for measurements; the daemon's settings do not offer them.
type Policy uint8

// Policies.
const (
	// Shares uses this entry's shares and slots borrowed from peers.
	Shares Policy = iota
	// StaticShares uses this entry's shares only.
	StaticShares
	// RandomWorker sends each task to a random worker of all domains.
	RandomWorker
	// TwoChoices sends each task to the one of two random workers that runs fewer
	// tasks of this entry.
	TwoChoices
)

// policyNames maps the name of each policy to the policy.
var policyNames = map[string]Policy{
	"default":     Shares,
	"static":      StaticShares,
	"random":      RandomWorker,
	"two-choices": TwoChoices,
}

// ParsePolicy returns the policy with the given name.
func ParsePolicy(name string) (Policy, error) {
	p, ok := policyNames[name]
	if !ok {
		return Shares, errors.Newf("policy %q is unknown; accepted are default, static, random and two-choices", name)
	}
	return p, nil
}

// Config holds the settings of a scheduler.
type Config struct {
	Policy Policy
	// Seed makes random choices repeatable.
	Seed uint64
	// Domain is this entry's failure domain. The entry borrows from peers of this domain
	// first.
	Domain string
	// MaxAttempts bounds the starts of one task, including starts that the worker refused.
	MaxAttempts int
	// DefaultRunTime is the expected run time of a task whose kind declares none.
	DefaultRunTime time.Duration
	// AbortReleaseDelay is how long the slot of an aborted task still counts as busy
	// after the entry stopped waiting for it. The worker notices the closed connection a
	// little later and would refuse a task that arrived before that.
	AbortReleaseDelay time.Duration

	// LoanTerm is the usual term of a loan. A kind with long tasks gets a longer term, up
	// to MaxLoanTerm.
	LoanTerm    time.Duration
	MaxLoanTerm time.Duration
	// ReturnIdleAfter is how long a borrowed slot stays idle before the entry returns it.
	ReturnIdleAfter time.Duration
	// LendReserveFraction is the fraction of its own slots that an entry never lends.
	LendReserveFraction float64

	// MaxWaitFraction is, by urgency, the fraction of the time to its deadline that a job's
	// expected wait may take. The scheduler refuses a job that would wait longer.
	MaxWaitFraction [High + 1]float64
	// MaxBacklogFraction is the same limit for the wait behind all waiting jobs together.
	MaxBacklogFraction float64
	// PromoteAfterFraction is the fraction of the time to its deadline after which the
	// scheduler promotes a waiting job. Promoted jobs start before all others, the
	// earliest deadline first.
	PromoteAfterFraction float64
	// RemainingWorkWeight orders the jobs of a team. A job is due at its submission time
	// plus RemainingWorkWeight times its remaining slot time. 0 means first come, first
	// served.
	RemainingWorkWeight float64

	// RefusalBackoff is the first backoff of a worker that refused a task, DialBackoff
	// that of a worker to which no connection could be made. Each further failure in a
	// row doubles the backoff, up to MaxBackoff.
	RefusalBackoff time.Duration
	DialBackoff    time.Duration
	MaxBackoff     time.Duration
	// EjectAfterFailures is the number of failures in a row after which the scheduler
	// ejects a worker. The first ejection lasts EjectDuration; each further one lasts twice as
	// long, up to MaxEjectDuration.
	EjectAfterFailures int
	EjectDuration      time.Duration
	MaxEjectDuration   time.Duration
	// StragglerSlowdown is the run time relative to other workers from which a worker
	// counts as a straggler.
	StragglerSlowdown float64
	// RetryRatio bounds the retries to a fraction of the first starts.
	RetryRatio float64
	// RetryBurst is the number of retries that may happen at once.
	RetryBurst float64
	// RetryDelay is the delay of a retry that exceeds the retry budget.
	RetryDelay time.Duration
}

// DefaultConfig returns the settings for tasks that run for 50 ms to 1 s.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:          8,
		DefaultRunTime:       200 * time.Millisecond,
		AbortReleaseDelay:    25 * time.Millisecond,
		LoanTerm:             2 * time.Second,
		MaxLoanTerm:          30 * time.Second,
		ReturnIdleAfter:      50 * time.Millisecond,
		LendReserveFraction:  0,
		MaxWaitFraction:      [High + 1]float64{Low: 0.4, Normal: 0.5, High: 0.6},
		MaxBacklogFraction:   0.7,
		PromoteAfterFraction: 0.5,
		RemainingWorkWeight:  1,
		RefusalBackoff:       20 * time.Millisecond,
		DialBackoff:          500 * time.Millisecond,
		MaxBackoff:           15 * time.Second,
		EjectAfterFailures:   3,
		EjectDuration:        5 * time.Second,
		MaxEjectDuration:     time.Minute,
		StragglerSlowdown:    2,
		RetryRatio:           0.1,
		RetryBurst:           100,
		RetryDelay:           50 * time.Millisecond,
	}
}
