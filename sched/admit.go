package sched

import (
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// noWorkersRetry is the advice while no worker is available.
	noWorkersRetry = time.Second
	// minRetryAfter and maxRetryAfter bound the advice worked out from the backlog.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// capacityAge is how long a count of the slots is used.
	capacityAge = 10 * time.Millisecond
)

// admit refuses a job that can't run in time, at once and whole.
func (s *Scheduler) admit(now time.Duration, j *Job, k *kind) *verdict.Failure {
	fits, usable := s.fits(j)
	switch {
	case !fits && len(s.list) > 0:
		return verdict.New(verdict.NotRun, verdict.CannotRun, "no worker fits what kind %q needs and where it may run", j.Kind)
	case !usable:
		return verdict.New(verdict.NotRun, verdict.NoWorkers, "no worker is available now").After(noWorkersRetry)
	case now >= j.Deadline:
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline has passed")
	case k.times.learned() && k.times.mean > j.Deadline-now:
		return verdict.New(verdict.NotRun, verdict.DeadlineTooShort, "tasks of kind %q take %s on average; allow more time", j.Kind, k.times.mean.Round(time.Millisecond))
	}
	if late := s.lateBy(now, j, k); late > 0 {
		after := min(max(late, minRetryAfter), maxRetryAfter)
		return verdict.New(verdict.NotRun, verdict.Overloaded, "the jobs ahead leave no time for this one before its deadline").After(after)
	}
	return nil
}

// fits tells whether any worker can ever run the job, and whether one may now: by a
// share of this entry or by a loan.
func (s *Scheduler) fits(j *Job) (fits, usable bool) {
	for _, w := range s.list {
		if !w.own.suits(j.Needs, j.Domains) {
			continue
		}
		fits = true
		if w.usable() && (w.Slots > 0 || s.reachable(w)) {
			return true, true
		}
	}
	return fits, false
}

// reachable tells whether slots of a worker outside the shares may be used.
func (s *Scheduler) reachable(w *worker) bool {
	if s.baseline() || len(w.borrowed) > 0 {
		return true
	}
	return s.config.Policy == Shares && s.hasPeer(w.Domain)
}

// lateBy returns by how much the backlog is too long for the job; 0 when it is not.
func (s *Scheduler) lateBy(now time.Duration, j *Job, k *kind) time.Duration {
	left := max(j.Deadline-now-k.times.longest(j.Tasks), 0)
	c := s.capacity(now, j)
	own := max(j.Tasks-s.index[ownClass].free-s.index[borrowedClass].free, 0)
	mine := seconds(k, own)
	wait := c.drain(s.ahead(j, mine) + mine)
	if k.limit >= 0 {
		wait = max(wait, duration(seconds(k, k.waiting+max(j.Tasks-max(k.limit-k.running, 0), 0))/float64(max(k.limit, 1))))
	}
	all := c.drain(s.allAhead(j) + mine)
	late := max(
		wait-time.Duration(s.config.WaitShare[j.Urgency]*float64(left)),
		all-time.Duration(s.config.BacklogShare*float64(left)),
	)
	if wait <= 0 && all <= 0 {
		return 0
	}
	return late
}

func seconds(k *kind, tasks int) float64 { return float64(tasks) * k.times.mean.Seconds() }

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// ahead returns the slot time in seconds that goes before a job: all of higher
// urgency, and of its own what its team has to wait for by its weight.
func (s *Scheduler) ahead(j *Job, mine float64) float64 {
	higher := 0.0
	for i := int(j.Urgency) + 1; i < levels; i++ {
		higher += s.levels[i].work(j)
	}
	l := &s.levels[j.Urgency]
	same := l.work(j)
	weight := float64(max(j.Weight, 1))
	share, weights := mine, weight
	for _, t := range l.active {
		if t == l.teams[j.Team] {
			share += t.work(j)
			continue
		}
		weights += t.weight
	}
	return higher + min(same, share*weights/weight)
}

// allAhead returns the slot time of everything that waits.
func (s *Scheduler) allAhead(j *Job) float64 {
	sum := 0.0
	for i := range s.levels {
		sum += s.levels[i].work(j)
	}
	return sum
}

// work adds up the waiting slot time that competes with a job.
func (l *level) work(j *Job) float64 {
	sum := 0.0
	for _, t := range l.active {
		sum += t.work(j)
	}
	return sum
}

func (t *team) work(j *Job) float64 {
	sum := 0.0
	for _, q := range t.queues {
		if overlap(q.kind.domains, j.Domains) {
			sum += seconds(q.kind, q.waiting)
		}
	}
	return sum
}

// capacity is the number of slots that work on a backlog: now, and later when loans to
// peers have come back. An entry whose tasks wait extends no loan, so that is after a
// term.
type capacity struct {
	now   int
	later int
	// change is the time until then.
	change time.Duration
}

// drain returns how long the slots take for work of so many seconds.
func (c capacity) drain(work float64) time.Duration {
	d := duration(work / float64(max(c.now, 1)))
	if d <= c.change || c.later <= c.now {
		return d
	}
	left := work - c.change.Seconds()*float64(c.now)
	return c.change + duration(left/float64(c.later))
}

// capacities counts the slots in use or free, by failure domain.
type capacities struct {
	at    time.Duration
	stale bool
	// own counts the slots of all domains.
	own    int
	domain map[string]capacity
}

// capacity returns the number of slots that work on the backlog of jobs like this:
// own and borrowed ones, and what peers have free.
func (s *Scheduler) capacity(now time.Duration, j *Job) capacity {
	c := &s.capacities
	if c.stale || c.domain == nil || now-c.at > capacityAge {
		s.countCapacity(now)
	}
	sum := capacity{change: s.config.LoanTerm}
	for domain, part := range c.domain {
		if j.mayRunIn(domain) {
			sum.add(part.now, part.later)
		}
	}
	for _, p := range s.peers {
		if j.mayRunIn(p.Domain) && s.config.Policy == Shares {
			sum.add(p.free, p.free)
		}
	}
	return sum
}

func (c *capacity) add(now, later int) {
	c.now += now
	c.later += later
}

func (s *Scheduler) countCapacity(now time.Duration) {
	c := &s.capacities
	c.at, c.stale, c.own = now, false, 0
	c.domain = make(map[string]capacity)
	for _, w := range s.list {
		if !w.usable() || w.ejected {
			continue
		}
		at := c.domain[w.Domain]
		if s.baseline() {
			at.add(w.Total, w.Total)
		} else {
			at.add(max(w.own.slots-w.own.lent, 0), w.own.slots)
		}
		for _, g := range w.borrowed {
			if !g.ended() {
				at.add(g.slots, g.slots)
			}
		}
		c.domain[w.Domain] = at
	}
	for _, at := range c.domain {
		c.own += at.now
	}
	if s.baseline() {
		c.divide(len(s.peers) + 1)
	}
}

// divide is the baselines' guess of this entry's part.
func (c *capacities) divide(entries int) {
	c.own /= entries
	for d, at := range c.domain {
		c.domain[d] = capacity{now: at.now / entries, later: at.later / entries}
	}
}
