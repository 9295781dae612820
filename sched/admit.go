package sched

// This file implements admission control: which jobs the scheduler refuses at submission,
// and the Retry-After of a refusal.

import (
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// noWorkersRetryAfter is the Retry-After of a refusal while no worker is available.
	noWorkersRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After computed from the backlog.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// capacityMaxAge is the age from which the scheduler recounts the capacity.
	capacityMaxAge = 10 * time.Millisecond
)

// admit refuses a job that cannot complete before its deadline. It refuses the whole
// job at submission; no task of a refused job starts.
func (s *Scheduler) admit(now time.Duration, j *Job, k *kind) *verdict.Failure {
	fits, usable := s.fits(j)
	switch {
	case !fits && len(s.workerList) > 0:
		return verdict.New(verdict.NotRun, verdict.CannotRun, "no worker has %d CPUs, %d MB of memory and %d accelerators in the failure domains where kind %q may run", j.Needs.CPUs, j.Needs.MemoryMB, j.Needs.Accelerators, j.Kind)
	case !usable:
		return verdict.New(verdict.NotRun, verdict.NoWorkers, "no worker is available now").WithRetryAfter(noWorkersRetryAfter)
	case now >= j.Deadline:
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline passed %s before the job was submitted", (now - j.Deadline).Round(time.Millisecond))
	case k.times.learned() && k.times.mean > j.Deadline-now:
		return verdict.New(verdict.NotRun, verdict.DeadlineTooShort, "tasks of kind %q take %s on average, but the deadline is in %s; allow more time", j.Kind, k.times.mean.Round(time.Millisecond), (j.Deadline - now).Round(time.Millisecond))
	}
	if late := s.lateBy(now, j, k); late > 0 {
		after := min(max(late, minRetryAfter), maxRetryAfter)
		return verdict.New(verdict.NotRun, verdict.Overloaded, "the jobs ahead take %s too long for this job's deadline", late.Round(time.Millisecond)).WithRetryAfter(after)
	}
	return nil
}

// fits reports whether any listed worker can ever run the job, and whether one is
// usable now, either through this entry's share or through a loan.
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

// borrowable reports whether the entry may use slots of a worker on which it has no
// share.
func (s *Scheduler) borrowable(w *worker) bool {
	if s.baseline() || len(w.borrowed) > 0 {
		return true
	}
	return s.config.Policy == Shares && s.hasPeer(w.Domain)
}

// lateBy returns by how much the expected wait exceeds the time that the job can wait.
// It returns 0 or less when the scheduler can admit the job.
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

// slotSeconds returns the expected slot time of a number of tasks of a kind, in seconds.
func slotSeconds(k *kind, tasks int) float64 { return float64(tasks) * k.times.mean.Seconds() }

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// workAhead returns the slot time, in seconds, that the scheduler starts before the job: all
// waiting work of higher urgency, and the work of the same urgency that the weighted
// sharing between teams puts before the job.
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

// waitingWork returns the slot time of all waiting tasks that compete with the job, in
// seconds.
func (s *Scheduler) waitingWork(j *Job) float64 {
	sum := 0.0
	for i := range s.levels {
		sum += s.levels[i].competingWork(j)
	}
	return sum
}

// competingWork returns the slot time, in seconds, of the level's waiting tasks that may
// run in one of the job's failure domains.
func (l *level) competingWork(j *Job) float64 {
	sum := 0.0
	for _, t := range l.active {
		sum += t.competingWork(j)
	}
	return sum
}

// competingWork does the same for one team.
func (t *team) competingWork(j *Job) float64 {
	sum := 0.0
	for _, q := range t.queues {
		if overlap(q.kind.domains, j.Domains) {
			sum += slotSeconds(q.kind, q.waiting)
		}
	}
	return sum
}

// capacity is the number of slots that serve a backlog, now and after the slots lent to
// peers have returned. An entry with waiting tasks lends no slots and recalls the loans that
// it extends, so the lent slots are expected back after one loan term.
type capacity struct {
	now   int
	later int
	// laterIn is the time until the later number applies.
	laterIn time.Duration
}

// drainTime returns how long the slots need for an amount of work, given in slot seconds.
func (c capacity) drainTime(work float64) time.Duration {
	d := duration(work / float64(max(c.now, 1)))
	if d <= c.laterIn || c.later <= c.now {
		return d
	}
	left := work - c.laterIn.Seconds()*float64(c.now)
	return c.laterIn + duration(left/float64(c.later))
}

// capacities caches the count of slots in use or free, by failure domain.
type capacities struct {
	countedAt time.Duration
	stale     bool
	// total is the sum of the current slots of all domains.
	total    int
	byDomain map[string]capacity
}

// capacity returns the number of slots that serve the backlog of jobs like this one:
// own slots, borrowed slots and the free slots reported by peers.
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

// countCapacity recounts the cached slots.
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

// divideAmong estimates this entry's part of all slots as an equal part. Only the
// baseline policies use it: under them every entry uses all workers.
func (c *capacities) divideAmong(entries int) {
	c.total /= entries
	for d, inDomain := range c.byDomain {
		c.byDomain[d] = capacity{now: inDomain.now / entries, later: inDomain.later / entries}
	}
}
