package quota

import (
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// burst is the time for which an unused share is saved up.
	burstPeriod = time.Second
	// longestWait bounds the time after which a refused caller is told to come back.
	maxRetryAfter = 10 * time.Second
)

// Limiter holds teams to this entry's shares of their quotas. It is not safe for
// concurrent use.
type Limiter struct {
	teams map[string]*bucket
}

// bucket is one team's balance of task starts. A job is admitted while the balance is
// above zero and may overdraw it, so that a job larger than the saved-up share is not
// refused for ever; the debt is paid off before the next one.
type bucket struct {
	// rate is the share in task starts per second; limited is false without a quota.
	rate    float64
	limited bool
	balance float64
	// promised are the starts of refused callers who were told when to come back.
	promisedStarts float64
	refilledAt     time.Duration
	// offered counts the starts asked for since the last period.
	demand float64
}

// NewLimiter returns a limiter without quotas.
func NewLimiter() *Limiter { return &Limiter{teams: make(map[string]*bucket)} }

// SetShares replaces the shares, in task starts per second by team. A team that is
// left out has no quota.
func (l *Limiter) SetShares(now time.Duration, shares map[string]float64) {
	for team, b := range l.teams {
		b.refill(now)
		if _, ok := shares[team]; !ok {
			b.limited = false
		}
	}
	for team, rate := range shares {
		b := l.bucket(now, team)
		if !b.limited {
			b.balance = max(1, rate*burstPeriod.Seconds())
		}
		b.limited, b.rate = true, rate
	}
}

func (l *Limiter) bucket(now time.Duration, team string) *bucket {
	b := l.teams[team]
	if b == nil {
		b = &bucket{refilledAt: now}
		l.teams[team] = b
	}
	return b
}

// Admit admits a job of a number of task starts, or refuses it with the time to come
// back. Refused jobs count as demand.
func (l *Limiter) Admit(now time.Duration, team string, starts int) *verdict.Failure {
	b := l.bucket(now, team)
	b.refill(now)
	b.demand += float64(starts)
	if !b.limited {
		return nil
	}
	if b.balance <= 0 {
		return verdict.New(verdict.NotRun, verdict.OverQuota,
			"team %s is over its quota of task starts per second", team).After(b.retryAfter(starts))
	}
	b.balance -= float64(starts)
	return nil
}

// Refund gives back the starts of a job that was refused for another reason.
func (l *Limiter) Refund(team string, starts int) {
	if b := l.teams[team]; b != nil {
		b.balance += float64(starts)
	}
}

// CollectDemand returns the task starts asked for since the last call, by team, and forgets
// the teams without any that have no quota.
func (l *Limiter) CollectDemand() map[string]float64 {
	out := make(map[string]float64, len(l.teams))
	for team, b := range l.teams {
		out[team] = b.demand
		if b.demand == 0 && !b.limited {
			delete(l.teams, team)
		}
		b.demand = 0
	}
	return out
}

func (b *bucket) refill(now time.Duration) {
	gained := b.rate * (now - b.refilledAt).Seconds()
	b.refilledAt = now
	b.balance = min(b.balance+gained, max(1, b.rate*burstPeriod.Seconds()))
	b.promisedStarts = max(0, b.promisedStarts-gained)
}

// promise returns the time after which the debt and the starts promised to earlier
// refused callers are paid off, so that not all come back at the same moment.
func (b *bucket) retryAfter(starts int) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration((1 - b.balance + b.promisedStarts) / b.rate * float64(time.Second))
	b.promisedStarts += float64(starts)
	return min(max(wait, time.Millisecond), maxRetryAfter)
}
