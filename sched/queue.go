package sched

import (
	"container/heap"
	"slices"
	"time"
)

// dueLevel holds the jobs that have waited for long: they go before all others, the
// earliest deadline first, so that an admitted job is not starved by later ones.
const (
	dueLevel = int(High) + 1
	levels   = dueLevel + 1
)

// level holds the waiting jobs of one urgency, by team.
type level struct {
	teams  map[string]*team
	active []*team
	// clock is the service that the team chosen last has received. A team that comes
	// back starts from here: it gets no credit for the time without jobs.
	clock float64
}

// team is one team's waiting jobs, by kind.
type team struct {
	level  *level
	weight float64
	// served is the slot time in seconds that the team has received, by its weight.
	served float64
	queues []*kindQueue
}

// kindQueue is a heap of one team's jobs of a kind, the next one first.
type kindQueue struct {
	team *team
	kind *kind
	jobs []*job
	// waiting counts the tasks.
	waiting int
	// blocked is the pass in which no slot was found for the first job.
	blocked uint64
}

func (q *kindQueue) Len() int { return len(q.jobs) }

func (q *kindQueue) Less(i, j int) bool { return q.jobs[i].order < q.jobs[j].order }

func (q *kindQueue) Swap(i, j int) {
	q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i]
	q.jobs[i].index, q.jobs[j].index = i, j
}

// Push implements heap.Interface.
func (q *kindQueue) Push(x any) {
	j := x.(*job)
	j.index = len(q.jobs)
	q.jobs = append(q.jobs, j)
}

// Pop implements heap.Interface.
func (q *kindQueue) Pop() any {
	last := q.jobs[len(q.jobs)-1]
	q.jobs[len(q.jobs)-1] = nil
	q.jobs = q.jobs[:len(q.jobs)-1]
	return last
}

// enqueue puts a job with waiting tasks into its queue.
func (s *Scheduler) enqueue(now time.Duration, j *job) {
	if j.queue != nil || len(j.waiting) == 0 {
		return
	}
	l, name := &s.levels[j.Urgency], j.Team
	if now >= j.promoteAt {
		l, name = &s.levels[dueLevel], ""
	}
	j.queue = l.queue(name, float64(max(j.Weight, 1)), j.kind)
	j.order = s.orderOf(j)
	heap.Push(j.queue, j)
	s.count(j, len(j.waiting))
}

// count adjusts the numbers of waiting tasks.
func (s *Scheduler) count(j *job, n int) {
	j.queue.waiting += n
	j.kind.waiting += n
	s.waiting += n
}

// dequeue takes a job out of its queue.
func (s *Scheduler) dequeue(j *job) {
	if j.queue == nil {
		return
	}
	q := j.queue
	s.count(j, -len(j.waiting))
	heap.Remove(q, j.index)
	j.queue = nil
	if len(q.jobs) == 0 {
		q.team.drop(q)
	}
}

// promote moves a job that still waits before all others.
func (s *Scheduler) promote(now time.Duration, j *job) {
	j.alarm = s.after(j.Deadline, func(time.Duration) { s.expire(j) })
	if j.queue != nil {
		s.dequeue(j)
		s.enqueue(now, j)
	}
}

// orderOf returns a job's place in its queue: when it is due. That is later after its
// submission the more work is left, so small jobs and jobs that are nearly done go
// first, but a job's turn comes however many small ones follow.
func (s *Scheduler) orderOf(j *job) time.Duration {
	if j.queue.team.level == &s.levels[dueLevel] {
		return j.Deadline
	}
	left := j.kind.times.mean * time.Duration(len(j.waiting))
	return j.submitted + time.Duration(s.config.WorkWeight*float64(left))
}

// queue returns the queue of a team's kind, in use from now on.
func (l *level) queue(name string, weight float64, k *kind) *kindQueue {
	t := l.teams[name]
	if t == nil {
		t = &team{level: l}
		l.teams[name] = t
	}
	t.weight = weight
	if len(t.queues) == 0 {
		t.served = max(t.served, l.clock)
		l.active = append(l.active, t)
	}
	for _, q := range t.queues {
		if q.kind == k {
			return q
		}
	}
	q := &kindQueue{team: t, kind: k}
	t.queues = append(t.queues, q)
	return q
}

// drop takes an empty queue out of use.
func (t *team) drop(q *kindQueue) {
	t.queues = slices.DeleteFunc(t.queues, func(o *kindQueue) bool { return o == q })
	if len(t.queues) == 0 {
		t.level.active = slices.DeleteFunc(t.level.active, func(o *team) bool { return o == t })
	}
}

// next returns the queue whose first job is next: by urgency, then of the team that
// has received least for its weight, then the job that is due first. Queues that are
// blocked in this pass are left out.
func (s *Scheduler) next(pass uint64) *kindQueue {
	for i := levels - 1; i >= 0; i-- {
		var best *kindQueue
		for _, t := range s.levels[i].active {
			if best != nil && t.served >= best.team.served {
				continue
			}
			if q := t.first(pass); q != nil {
				best = q
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// first returns the team's queue whose first job is due first.
func (t *team) first(pass uint64) *kindQueue {
	var best *kindQueue
	for _, q := range t.queues {
		if q.blocked != pass && (best == nil || q.jobs[0].order < best.jobs[0].order) {
			best = q
		}
	}
	return best
}

// charge counts a started task as service to its team.
func (t *team) charge(k *kind) {
	t.level.clock = max(t.level.clock, t.served)
	t.served += k.times.mean.Seconds() / t.weight
}
