package coordinator

import "time"

// lastTask is by how many times the last of a job's tasks is foreseen to wait as long as the
// work before it lasts. Of several tasks one waits longer than the others, more urgent ones
// come after it, and the sizes of tasks leave a part of the room unused.
const lastTaskFactor = 1.5

// pressure is what a coordinator has done about the load on a service.
type retrySchedule struct {
	// returning is when the last refused caller was told to come back.
	lastRetry time.Duration
}

// band names the jobs of a service within their shares, or those beyond. The latter wait behind
// the former, so the callers of either are told apart when to come back.
type band struct {
	service   string
	overShare bool
}

func (c *Coordinator) retrySchedule(service string, overShare bool) *retrySchedule {
	b := band{service, overShare}
	s := c.retrySchedules[b]
	if s == nil {
		s = new(retrySchedule)
		c.retrySchedules[b] = s
	}
	return s
}

// judgement is whether a job is taken: the zero value is.
type admission struct {
	reason Reason
	// late is by how much it would be late.
	lateBy time.Duration
}

// judge decides whether a job can't be served in time. While there is room for its first
// tasks it is never refused.
func (c *Coordinator) checkCapacity(now time.Duration, j *job) admission {
	wait, ok := c.queueWait(now, j)
	if !ok && c.executors.allRetired(now, j.Service) && !c.awaitingWorkers(now) {
		return admission{reason: ReasonDomainsRetired}
	}
	if !ok {
		return admission{reason: ReasonNoWorkers}
	}
	if late := time.Duration(lastTaskFactor*float64(wait)) - c.slack(now, j); late > 0 {
		return admission{ReasonNoCapacity, late}
	}
	return admission{}
}

// retryAfter is when the caller of a job that is refused may come back.
func (c *Coordinator) retryAfter(now time.Duration, j *job, v admission) time.Duration {
	switch v.reason {
	case ReasonDomainsRetired:
		return retiredRetryAfter
	case ReasonNoCapacity:
		return c.scheduleRetry(now, j, max(v.lateBy, minRetryAfter))
	default:
		return minRetryAfter
	}
}

// wideShare is the part of a service's room above which a step counts as wide: it can't
// run at once, and its own work is no reason to refuse it.
const wideFraction = 4

// wait is the longest time for which one of the job's first tasks has to wait for room; ok
// is false when there is a task that no worker may run. The job's other tasks count as work
// before it, unless the job is kept or wide.
func (c *Coordinator) queueWait(now time.Duration, j *job) (worst time.Duration, ok bool) {
	if !j.Durable && c.executors.fitsAll(now, j.readyTasks()) {
		return 0, true // most jobs; the copy below is what costs
	}
	trial := &c.trial
	c.executors.copyTo(trial)
	for _, t := range j.tasks {
		if !j.ready(t.ID.Step) || !j.Durable && trial.place(now, &t.Task) != nil {
			continue
		}
		wait, count := trial.sharedWait(now, &t.Task)
		if count == 0 {
			return 0, false
		}
		if !j.Durable && j.Steps[t.ID.Step].Count <= count/wideFraction {
			trial.chooseQueue(now, &t.Task).addBacklog(now, &t.Task)
		}
		worst = max(worst, wait)
	}
	return worst, true
}

const (
	// returnShare is the part of its room that a daemon counts on for callers that come back.
	// New callers take the rest: with more of it some that come back would be refused again, with
	// less they would wait for longer than they have to.
	retryShare = 0.25
	// maxRetryAfter bounds the time after which a refused caller is told to come back.
	maxRetryAfter = 5 * time.Second
)

// comeBack is when a refused caller may come back: after those that were refused before it.
// Were all of a burst told the same time, they would be the next burst.
func (c *Coordinator) scheduleRetry(now time.Duration, j *job, minimum time.Duration) time.Duration {
	var work int64
	for _, s := range j.Steps {
		work += int64(s.Count) * s.Demand.MilliCPU * s.ExpectedRunTime.Milliseconds() / 1000
	}
	s := c.retrySchedule(j.Service, j.overShare)
	s.lastRetry = max(s.lastRetry, now+minimum)
	after := s.lastRetry - now
	if cores := c.executors.daemonShare(now, j.Service); cores > 0 {
		s.lastRetry += time.Duration(float64(work)/(retryShare*cores)) * time.Millisecond
	}
	s.lastRetry = min(s.lastRetry, now+maxRetryAfter)
	return after
}

// beganToRun notes that a task has found room.
func (c *Coordinator) taskStarted(t *jobTask) {
	t.waiting = false
	c.unreserve(t)
}

// assembledShare is the part of the workers, in quarters, that has to be known before jobs
// are judged by what is known.
const knownQuarters = 3

// ExpectWorkers tells how many workers executors are about to tell of, after a start; 0: all that
// there are have been told of. Until most are known, jobs without room are not refused but
// parked for a moment: after a loss of power of all daemons workers are taken over one by
// one, within some hundred milliseconds, and the first few would be all the room there is
// for callers who come back all at once.
func (c *Coordinator) ExpectWorkers(workers int) { c.expectedWorkers = workers }

func (c *Coordinator) awaitingWorkers(now time.Duration) bool {
	return c.expectedWorkers > 0 && 4*c.executors.usableWorkers(now) < knownQuarters*c.expectedWorkers
}
