package sched

import (
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// noWorkersRetry is the advice while no worker is available.
	noWorkersRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter bound the advice worked out from the backlog.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// capacityAge is how long a count of the slots is used.
	capacityMaxAge = 10 * time.Millisecond
)

// admit refuses a job that can't run in time, at once and whole.
func (s *Scheduler) admit(now time.Duration, j *Job, k *kind) *verdict.Failure {
	fits, usable := s.fits(j)
	switch {
	case !fits && len(s.workerList) > 0:
		return verdict.New(verdict.NotRun, verdict.CannotRun, "no worker fits what kind %q needs and where it may run", j.Kind)
	case !usable:
		return verdict.New(verdict.NotRun, verdict.NoWorkers, "no worker is available now").After(noWorkersRetryAfter)
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
	for _, w := range s.workerList {
		if !w.own.suits(j.Needs, j.Domains) {
			continue
		}
		fits = true
		if w.usable() && (w.Slots > 0 || s.borrowable(w)) {
			return true, true
		}
	}
	return fits, false
}

// reachable tells whether slots of a worker outside the shares may be used.
func (s *Scheduler) borrowable(w *worker) bool {
	if s.baseline() || len(w.borrowed) > 0 {
		return true
	}
	return s.config.Policy == Shares && s.hasPeer(w.Domain)
}

// lateBy returns by how much the backlog is too long for the job; 0 when it is not.
func (s *Scheduler) lateBy(now time.Duration, j *Job, k *kind) time.Duration {
	remaining := max(j.Deadline-now-k.times.longestOf(j.Tasks), 0)
	c := s.capacity(now, j)
	slotsNeeded := max(j.Tasks-s.index[ownClass].free-s.index[borrowedClass].free, 0)
	jobWork := slotSeconds(k, slotsNeeded)
	wait := c.drainTime(s.workAhead(j, jobWork) + jobWork)
	if k.limit >= 0 {
		wait = max(wait, duration(slotSeconds(k, k.waiting+max(j.Tasks-max(k.limit-k.running, 0), 0))/float64(max(k.limit, 1))))
	}
	all := c.drainTime(s.waitingWork(j) + jobWork)
	late := max(
		wait-time.Duration(s.config.MaxWaitFraction[j.Urgency]*float64(remaining)),
		all-time.Duration(s.config.MaxBacklogFraction*float64(remaining)),
	)
	if wait <= 0 && all <= 0 {
		return 0
	}
	return late
}

func slotSeconds(k *kind, tasks int) float64 { return float64(tasks) * k.times.mean.Seconds() }

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// ahead returns the slot time in seconds that goes before a job: all of higher
// urgency, and of its own what its team has to wait for by its weight.
func (s *Scheduler) workAhead(j *Job, jobWork float64) float64 {
	higher := 0.0
	for i := int(j.Urgency) + 1; i < levels; i++ {
		higher += s.levels[i].competingWork(j)
	}
	l := &s.levels[j.Urgency]
	same := l.competingWork(j)
	weight := float64(max(j.Weight, 1))
	share, weights := jobWork, weight
	for _, t := range l.active {
		if t == l.teams[j.Team] {
			share += t.competingWork(j)
			continue
		}
		weights += t.weight
	}
	return higher + min(same, share*weights/weight)
}

// allAhead returns the slot time of everything that waits.
func (s *Scheduler) waitingWork(j *Job) float64 {
	sum := 0.0
	for i := range s.levels {
		sum += s.levels[i].competingWork(j)
	}
	return sum
}

// work adds up the waiting slot time that competes with a job.
func (l *level) competingWork(j *Job) float64 {
	sum := 0.0
	for _, t := range l.active {
		sum += t.competingWork(j)
	}
	return sum
}

func (t *team) competingWork(j *Job) float64 {
	sum := 0.0
	for _, q := range t.queues {
		if overlap(q.kind.domains, j.Domains) {
			sum += slotSeconds(q.kind, q.waiting)
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
	laterIn time.Duration
}

// drain returns how long the slots take for work of so many seconds.
func (c capacity) drainTime(work float64) time.Duration {
	d := duration(work / float64(max(c.now, 1)))
	if d <= c.laterIn || c.later <= c.now {
		return d
	}
	left := work - c.laterIn.Seconds()*float64(c.now)
	return c.laterIn + duration(left/float64(c.later))
}

// capacities counts the slots in use or free, by failure domain.
type capacities struct {
	countedAt time.Duration
	stale     bool
	// own counts the slots of all domains.
	total    int
	byDomain map[string]capacity
}

// capacity returns the number of slots that work on the backlog of jobs like this:
// own and borrowed ones, and what peers have free.
func (s *Scheduler) capacity(now time.Duration, j *Job) capacity {
	c := &s.capacities
	if c.stale || c.byDomain == nil || now-c.countedAt > capacityMaxAge {
		s.countCapacity(now)
	}
	sum := capacity{laterIn: s.config.LoanTerm}
	for domain, inDomain := range c.byDomain {
		if j.mayRunIn(domain) {
			sum.add(inDomain.now, inDomain.later)
		}
	}
	for _, p := range s.peers {
		if j.mayRunIn(p.Domain) && s.config.Policy == Shares {
			sum.add(p.lendable, p.lendable)
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
	c.countedAt, c.stale, c.total = now, false, 0
	c.byDomain = make(map[string]capacity)
	for _, w := range s.workerList {
		if !w.usable() || w.ejected {
			continue
		}
		inDomain := c.byDomain[w.Domain]
		if s.baseline() {
			inDomain.add(w.Total, w.Total)
		} else {
			inDomain.add(max(w.own.slots-w.own.lent, 0), w.own.slots)
		}
		for _, g := range w.borrowed {
			if !g.ended() {
				inDomain.add(g.slots, g.slots)
			}
		}
		c.byDomain[w.Domain] = inDomain
	}
	for _, inDomain := range c.byDomain {
		c.total += inDomain.now
	}
	if s.baseline() {
		c.divideAmong(len(s.peers) + 1)
	}
}

// divide is the baselines' guess of this entry's part.
func (c *capacities) divideAmong(entries int) {
	c.total /= entries
	for d, inDomain := range c.byDomain {
		c.byDomain[d] = capacity{now: inDomain.now / entries, later: inDomain.later / entries}
	}
}
