package sched

import (
	"container/heap"
	"slices"
	"time"
)

// dueLevel holds the jobs that have waited for long: they go before all others, the
// earliest deadline first, so that an admitted job is not starved by later ones.
const (
	promotedLevel = int(High) + 1
	levels        = promotedLevel + 1
)

// level holds the waiting jobs of one urgency, by team.
type level struct {
	teams  map[string]*team
	active []*team
	// clock is the service that the team chosen last has received. A team that comes
	// back starts from here: it gets no credit for the time without jobs.
	virtualTime float64
}

// team is one team's waiting jobs, by kind.
type team struct {
	level  *level
	weight float64
	// served is the slot time in seconds that the team has received, by its weight.
	service float64
	queues  []*kindQueue
}

// kindQueue is a heap of one team's jobs of a kind, the next one first.
type kindQueue struct {
	team *team
	kind *kind
	jobs []*job
	// waiting counts the tasks.
	waiting int
	// blocked is the pass in which no slot was found for the first job.
	blockedInPass uint64
}

func (q *kindQueue) Len() int { return len(q.jobs) }

func (q *kindQueue) Less(i, j int) bool { return q.jobs[i].dueAt < q.jobs[j].dueAt }

func (q *kindQueue) Swap(i, j int) {
	q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i]
	q.jobs[i].heapIndex, q.jobs[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *kindQueue) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(q.jobs)
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
		l, name = &s.levels[promotedLevel], ""
	}
	j.queue = l.queue(name, float64(max(j.Weight, 1)), j.kind)
	j.dueAt = s.dueTime(j)
	heap.Push(j.queue, j)
	s.addWaiting(j, len(j.waiting))
}

// count adjusts the numbers of waiting tasks.
func (s *Scheduler) addWaiting(j *job, n int) {
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
	s.addWaiting(j, -len(j.waiting))
	heap.Remove(q, j.heapIndex)
	j.queue = nil
	if len(q.jobs) == 0 {
		q.team.removeQueue(q)
	}
}

// promote moves a job that still waits before all others.
func (s *Scheduler) promote(now time.Duration, j *job) {
	j.timer = s.setTimer(j.Deadline, func(time.Duration) { s.expire(j) })
	if j.queue != nil {
		s.dequeue(j)
		s.enqueue(now, j)
	}
}

// orderOf returns a job's place in its queue: when it is due. That is later after its
// submission the more work is left, so small jobs and jobs that are nearly done go
// first, but a job's turn comes however many small ones follow.
func (s *Scheduler) dueTime(j *job) time.Duration {
	if j.queue.team.level == &s.levels[promotedLevel] {
		return j.Deadline
	}
	left := j.kind.times.mean * time.Duration(len(j.waiting))
	return j.submitted + time.Duration(s.config.RemainingWorkWeight*float64(left))
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
		t.service = max(t.service, l.virtualTime)
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
func (t *team) removeQueue(q *kindQueue) {
	t.queues = slices.DeleteFunc(t.queues, func(o *kindQueue) bool { return o == q })
	if len(t.queues) == 0 {
		t.level.active = slices.DeleteFunc(t.level.active, func(o *team) bool { return o == t })
	}
}

// next returns the queue whose first job is next: by urgency, then of the team that
// has received least for its weight, then the job that is due first. Queues that are
// blocked in this pass are left out.
func (s *Scheduler) nextQueue(pass uint64) *kindQueue {
	for i := levels - 1; i >= 0; i-- {
		var best *kindQueue
		for _, t := range s.levels[i].active {
			if best != nil && t.service >= best.team.service {
				continue
			}
			if q := t.firstQueue(pass); q != nil {
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
func (t *team) firstQueue(pass uint64) *kindQueue {
	var best *kindQueue
	for _, q := range t.queues {
		if q.blockedInPass != pass && (best == nil || q.jobs[0].dueAt < best.jobs[0].dueAt) {
			best = q
		}
	}
	return best
}

// charge counts a started task as service to its team.
func (t *team) charge(k *kind) {
	t.level.virtualTime = max(t.level.virtualTime, t.service)
	t.service += k.times.mean.Seconds() / t.weight
}
