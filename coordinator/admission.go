package coordinator

import "time"

// lastTaskFactor is the factor from the mean wait, the time that the work ahead takes, to the
// predicted wait of a job's last task. One of several tasks waits longer than the others, more
// urgent tasks are queued after it, and the sizes of tasks leave a part of the capacity unused.
const lastTaskFactor = 1.5

// retrySchedule spreads out the retries of the refused callers of a service.
type retrySchedule struct {
	// nextRetry is the earliest time at which the caller that is refused next may retry.
	nextRetry time.Duration
}

// band is the jobs of a service that are within their shares, or those over their shares. Tasks of
// the latter queue behind tasks of the former, so the callers of each band get retry times of their own.
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

// admission is the decision on a job. The zero value admits it.
type admission struct {
	reason Reason
	// lateBy is by how much the job would miss its time.
	lateBy time.Duration
}

// checkCapacity decides whether the job can be served in time. It never refuses a job while there is
// free capacity for its ready tasks.
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

// retryAfter returns the time after which the caller of a refused job may retry.
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

// wideFraction defines a wide step: one with more tasks than a quarter (1/wideFraction) of those
// that the service's workers can run at a time. A wide step cannot run at once, and its own work is
// no reason to refuse it.
const wideFraction = 4

// queueWait returns the longest time that one of the job's ready tasks has to wait for capacity. It
// returns false when no worker may run one of the tasks. The other ready tasks of the job count as
// work ahead, unless the job is durable or the step is wide.
func (c *Coordinator) queueWait(now time.Duration, j *job) (worst time.Duration, ok bool) {
	if !j.Durable && c.executors.fitsAll(now, j.readyTasks()) {
		return 0, true // the case of most jobs; it avoids the cost of the copy below
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
	// retryShare is the part of a daemon's share of the capacity that is planned for retries of
	// refused callers. New callers take the rest. With a higher value some retries would be
	// refused again; with a lower one callers would wait longer than they have to.
	retryShare = 0.25
	// maxRetryAfter is the longest time after which a refused caller may retry (its Retry-After).
	maxRetryAfter = 5 * time.Second
)

// scheduleRetry returns the time after which a refused caller may retry: after the callers that were
// refused before it. If all callers of a burst got the same time, their retries would be the next burst.
func (c *Coordinator) scheduleRetry(now time.Duration, j *job, minimum time.Duration) time.Duration {
	var work int64
	for _, s := range j.Steps {
		work += int64(s.Count) * s.Demand.MilliCPU * s.ExpectedRunTime.Milliseconds() / 1000
	}
	s := c.retrySchedule(j.Service, j.overShare)
	s.nextRetry = max(s.nextRetry, now+minimum)
	after := s.nextRetry - now
	if cores := c.executors.daemonShare(now, j.Service); cores > 0 {
		s.nextRetry += time.Duration(float64(work)/(retryShare*cores)) * time.Millisecond
	}
	s.nextRetry = min(s.nextRetry, now+maxRetryAfter)
	return after
}

// taskStarted notes that a task runs and needs no reserved capacity any more.
func (c *Coordinator) taskStarted(t *jobTask) {
	t.queued = false
	c.unreserve(t)
}

// knownQuarters is the part of the expected workers, in quarters, that executors have to report
// before jobs are refused for want of capacity.
const knownQuarters = 3

// ExpectWorkers sets how many workers executors will report after a start; 0: they have reported all
// workers. Until most workers are known, jobs without capacity are parked for a moment and not
// refused: after a power loss of all daemons, the workers are taken over one by one within some
// hundred milliseconds, while all callers retry at once. Judged by the first few workers alone,
// most of these callers would be refused.
func (c *Coordinator) ExpectWorkers(workers int) { c.expectedWorkers = workers }

func (c *Coordinator) awaitingWorkers(now time.Duration) bool {
	return c.expectedWorkers > 0 && 4*c.executors.usableWorkers(now) < knownQuarters*c.expectedWorkers
}
