package quota

import (
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// burstPeriod is the time for which a bucket saves up an unused share.
	burstPeriod = time.Second
	// maxRetryAfter bounds the Retry-After of a refusal.
	maxRetryAfter = 10 * time.Second
)

// Limiter limits teams to this entry's shares of their quotas. It is not safe for
// concurrent use.
type Limiter struct {
	teams map[string]*bucket
}

// bucket is the token bucket of one team, in task starts. It admits a job while the
// balance is above zero. The job may overdraw the balance, so that a job larger than the
// saved-up share is not refused forever. The refill pays off the debt before the bucket
// admits the next job.
type bucket struct {
	// rate is the share in task starts per second. limited is false without a quota.
	rate    float64
	limited bool
	balance float64
	// promisedStarts is the number of starts that refused callers will request again after
	// their Retry-After.
	promisedStarts float64
	refilledAt     time.Duration
	// demand is the number of starts requested since the last CollectDemand.
	demand float64
}

// NewLimiter returns a limiter without quotas.
func NewLimiter() *Limiter { return &Limiter{teams: make(map[string]*bucket)} }

// SetShares replaces the shares, in task starts per second by team. A team that is left
// out has no quota.
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

// bucket returns the bucket of a team. It creates a missing one, without a quota.
func (l *Limiter) bucket(now time.Duration, team string) *bucket {
	b := l.teams[team]
	if b == nil {
		b = &bucket{refilledAt: now}
		l.teams[team] = b
	}
	return b
}

// Admit admits a job with a number of task starts, or refuses it with a Retry-After.
// Refused jobs count as demand.
func (l *Limiter) Admit(now time.Duration, team string, starts int) *verdict.Failure {
	b := l.bucket(now, team)
	b.refill(now)
	b.demand += float64(starts)
	if !b.limited {
		return nil
	}
	if b.balance <= 0 {
		return verdict.New(verdict.NotRun, verdict.OverQuota,
			"team %s exceeds its quota: this entry's share is %.1f task starts per second", team, b.rate).WithRetryAfter(b.retryAfter(starts))
	}
	b.balance -= float64(starts)
	return nil
}

// Refund gives back the starts of an admitted job that was then refused for another
// reason.
func (l *Limiter) Refund(team string, starts int) {
	if b := l.teams[team]; b != nil {
		b.balance += float64(starts)
	}
}

// CollectDemand returns the task starts requested since the last call, by team, and
// resets them. It drops teams that requested nothing and have no quota.
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

// refill adds the share for the time since the last refill to the balance.
func (b *bucket) refill(now time.Duration) {
	gained := b.rate * (now - b.refilledAt).Seconds()
	b.refilledAt = now
	b.balance = min(b.balance+gained, max(1, b.rate*burstPeriod.Seconds()))
	b.promisedStarts = max(0, b.promisedStarts-gained)
}

// retryAfter returns the time until the debt and the starts promised to earlier refused
// callers are paid off. Counting the promised starts spreads the retries over time.
func (b *bucket) retryAfter(starts int) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration((1 - b.balance + b.promisedStarts) / b.rate * float64(time.Second))
	b.promisedStarts += float64(starts)
	return min(max(wait, time.Millisecond), maxRetryAfter)
}
