package sched

// This file implements the queues of waiting jobs, by urgency, team and kind, and the order
// in which they start.

import (
	"container/heap"
	"slices"
	"time"
)

// promotedLevel holds the promoted jobs, which have waited for long. They start before
// all others, the earliest deadline first, so that later jobs cannot starve an admitted
// job.
const (
	promotedLevel = int(High) + 1
	levels        = promotedLevel + 1
)

// level holds the waiting jobs of one urgency, by team. Teams share a level by weighted
// fair queueing.
type level struct {
	teams  map[string]*team
	active []*team
	// virtualTime is the service of the team that the scheduler chose last. A team without waiting
	// jobs restarts from here, so that it gets no credit for the time without jobs.
	virtualTime float64
}

// team holds the waiting jobs of one team, by kind.
type team struct {
	level  *level
	weight float64
	// service is the slot time in seconds that the team has received, divided by its
	// weight.
	service float64
	queues  []*kindQueue
}

// kindQueue is a heap of the jobs of one team and kind, the next one first.
type kindQueue struct {
	team *team
	kind *kind
	jobs []*job
	// waiting is the number of waiting tasks of these jobs.
	waiting int
	// blockedInPass is the latest scheduling pass that found no slot for the first job.
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

// enqueue puts a job with waiting tasks into the queue of its team and kind.
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

// addWaiting adds n to the counts of waiting tasks that include the job.
func (s *Scheduler) addWaiting(j *job, n int) {
	j.queue.waiting += n
	j.kind.waiting += n
	s.waiting += n
}

// dequeue removes a job from its queue.
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

// promote moves a job that still waits to the promoted level and sets the timer for its
// deadline.
func (s *Scheduler) promote(now time.Duration, j *job) {
	j.timer = s.setTimer(j.Deadline, func(time.Duration) { s.expire(j) })
	if j.queue != nil {
		s.dequeue(j)
		s.enqueue(now, j)
	}
}

// dueTime returns the time that orders a job in its queue. A job is due later after its
// submission the more work it has left, so small and nearly completed jobs start first.
// Since the time counts from the submission, later small jobs cannot starve a large job.
func (s *Scheduler) dueTime(j *job) time.Duration {
	if j.queue.team.level == &s.levels[promotedLevel] {
		return j.Deadline
	}
	left := j.kind.times.mean * time.Duration(len(j.waiting))
	return j.submittedAt + time.Duration(s.config.RemainingWorkWeight*float64(left))
}

// queue returns the queue of a team and kind. It creates the queue if needed and makes
// the team active.
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

// removeQueue removes an empty queue from its team.
func (t *team) removeQueue(q *kindQueue) {
	t.queues = slices.DeleteFunc(t.queues, func(o *kindQueue) bool { return o == q })
	if len(t.queues) == 0 {
		t.level.active = slices.DeleteFunc(t.level.active, func(o *team) bool { return o == t })
	}
}

// nextQueue returns the queue whose first job starts next: the highest urgency first,
// then the team with the least service, then the job that is due first. It skips queues
// that are blocked in this pass.
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

// firstQueue returns the team's queue whose first job is due first.
func (t *team) firstQueue(pass uint64) *kindQueue {
	var best *kindQueue
	for _, q := range t.queues {
		if q.blockedInPass != pass && (best == nil || q.jobs[0].dueAt < best.jobs[0].dueAt) {
			best = q
		}
	}
	return best
}

// charge adds a started task to the service of its team.
func (t *team) charge(k *kind) {
	t.level.virtualTime = max(t.level.virtualTime, t.service)
	t.service += k.times.mean.Seconds() / t.weight
}
