package sched

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Policy says how workers are chosen. All but Shares are baselines for measurements;
// the daemon's settings don't offer them.
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

// policies names them.
var policyNames = map[string]Policy{
	"default":     Shares,
	"static":      StaticShares,
	"random":      RandomWorker,
	"two-choices": TwoChoices,
}

// ParsePolicy returns the policy of a name.
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
	// Domain is this entry's failure domain: its peers are asked for slots first.
	Domain string
	// MaxAttempts bounds the starts of one task, refused ones included.
	MaxAttempts int
	// DefaultRunTime is the expected run time of a task whose kind declares none.
	DefaultRunTime time.Duration
	// Linger is how long the slot of an aborted task counts as busy after the entry
	// stopped waiting: the worker notices a closed connection a little later, and
	// would refuse a task that came before.
	AbortReleaseDelay time.Duration

	// LoanTerm is the usual term of a loan. A kind with long tasks gets a longer one,
	// up to MaxLoanTerm.
	LoanTerm    time.Duration
	MaxLoanTerm time.Duration
	// ReturnAfter is how long a borrowed slot stays idle before it is given back.
	ReturnIdleAfter time.Duration
	// LendReserve is the part of its own slots that an entry keeps for itself.
	LendReserveFraction float64

	// WaitShare is the part of the time to the deadline that a job of each urgency may
	// be expected to wait; a job that would wait longer is refused.
	MaxWaitFraction [High + 1]float64
	// BacklogShare is the same for all waiting jobs together.
	MaxBacklogFraction float64
	// PromoteShare is the part of the time to the deadline after which a waiting job
	// goes before all others, earliest deadline first.
	PromoteAfterFraction float64
	// WorkWeight orders the jobs of a team: a job is due this many times its remaining
	// slot time after its submission. 0 is first come, first served.
	RemainingWorkWeight float64

	// RefusalPause is the first pause of a worker that refused a task, DialPause that
	// of one that could not be connected to. Each further one in a row doubles it, up
	// to MaxPause.
	RefusalBackoff time.Duration
	DialBackoff    time.Duration
	MaxBackoff     time.Duration
	// EjectAfter is the number of failures in a row after which a worker is ejected,
	// for EjectFor the first time and twice as long each further time, up to MaxEject.
	EjectAfterFailures int
	EjectDuration      time.Duration
	MaxEjectDuration   time.Duration
	// SlowFactor is the run time, relative to other workers, from which a worker
	// counts as a straggler.
	StragglerSlowdown float64
	// RetryRatio bounds the retries to a part of the first starts.
	RetryRatio float64
	// RetryBurst is the number of retries that may come at once.
	RetryBurst float64
	// RetryDelay is how long a retry beyond the budget is put off.
	RetryDelay time.Duration
}

// DefaultConfig returns the settings for tasks of 50 ms to a second.
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
