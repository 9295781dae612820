package coordinator

import (
	"math"
	"time"
)

const (
	// excessGain is the weight of one observed wait. The larger it is, the sooner a burst is
	// answered by refusals, and the more a single slow worker brings about: 0.1 to 0.3 made no
	// difference of more than 0.01 of the credit at 100% load, 0.03 at 125%.
	excessGain = 0.2
	// excessMemory is the time in which the excess falls to a third without observations. A
	// fleet that refuses most jobs observes little, and has to try again soon.
	excessMemory = 500 * time.Millisecond
	// maxExcess bounds one observation: a task may wait seconds for a worker that has died.
	maxExcess = 300 * time.Millisecond
)

// excess is by how much tasks that find no room wait longer than is foreseen from what
// executors told of their backlogs. What they told is up to a heartbeat old, and does not
// show slow workers. In overload all coordinators would go on taking jobs that end too late
// to be of use, and late jobs take the room of others. The zero value is ready for use.
type excess struct {
	mean time.Duration
	at   time.Duration
}

func (e *excess) now(now time.Duration) time.Duration {
	return time.Duration(float64(e.mean) * math.Exp(-float64(now-e.at)/float64(excessMemory)))
}

func (e *excess) observe(now, foreseen, waited time.Duration) {
	mean := e.now(now)
	mean += time.Duration(excessGain * float64(min(waited-foreseen, maxExcess)-mean))
	e.mean, e.at = max(mean, 0), now
}

// pressure is what a coordinator has observed of the load on a service.
type pressure struct {
	excess excess
	// returning is when the last refused caller was told to come back.
	returning time.Duration
}

// band names the jobs of a service within their shares, or those beyond: the latter wait behind
// the former, and what either observes says nothing of the other.
type band struct {
	service string
	surplus bool
}

func (c *Coordinator) pressure(service string, surplus bool) *pressure {
	b := band{service, surplus}
	p := c.pressures[b]
	if p == nil {
		p = new(pressure)
		c.pressures[b] = p
	}
	return p
}

// refusal decides whether a job can't be served in time. While there is room for its first
// tasks it is never refused.
func (c *Coordinator) refusal(now time.Duration, j *job) (Reason, time.Duration) {
	worst, ok := c.wait(now, j)
	if !ok && c.rooms.allRetired(now, j.Service) && !c.assembling(now) {
		return ReasonRetired, retiredRetryAfter
	}
	if !ok {
		return ReasonNoWorkers, minRetryAfter
	}
	if worst > 0 {
		worst += c.pressure(j.Service, j.surplus).excess.now(now)
	}
	if slack := c.slack(now, j); worst > slack {
		return ReasonNoRoom, c.comeBack(now, j, max(worst-slack, minRetryAfter))
	}
	return "", 0
}

// wideShare is the part of a service's room above which a step counts as wide: it can't
// run at once, and its own work is no reason to refuse it.
const wideShare = 4

// wait is the longest time for which one of the job's first tasks has to wait for room; ok
// is false when there is a task that no worker may run. The job's other tasks count as work
// before it, unless the job is kept or wide.
func (c *Coordinator) wait(now time.Duration, j *job) (worst time.Duration, ok bool) {
	if !j.Kept && c.rooms.fit(now, j.firstTasks()) {
		return 0, true // most jobs; the copy below is what costs
	}
	plan := c.rooms.clone()
	for _, t := range j.tasks {
		if !j.ready(t.ID.Step) || !j.Kept && plan.take(now, &t.Task) != nil {
			continue
		}
		wait, copies := plan.wait(now, &t.Task)
		if copies == 0 {
			return 0, false
		}
		if !j.Kept && j.Steps[t.ID.Step].Count <= copies/wideShare {
			plan.queue(now, &t.Task).charge(now, &t.Task)
		}
		worst = max(worst, wait)
	}
	return worst, true
}

const (
	// returnShare is the part of its room that a daemon counts on for callers that come back.
	// With 0.25, 0.5 and 1 of it nearly all, 99% and 95% of a burst's callers were served at
	// 75% load; less makes them wait for longer than they have to.
	returnShare = 0.25
	// maxRetryAfter bounds the time after which a refused caller is told to come back.
	maxRetryAfter = 5 * time.Second
)

// comeBack is when a refused caller may come back: after those that were refused before it.
// Were all of a burst told the same time, they would be the next burst.
func (c *Coordinator) comeBack(now time.Duration, j *job, least time.Duration) time.Duration {
	var work int64
	for _, s := range j.Steps {
		work += int64(s.Count) * s.Demand.MilliCPU * s.Expected.Milliseconds() / 1000
	}
	p := c.pressure(j.Service, j.surplus)
	p.returning = max(p.returning, now+least)
	after := p.returning - now
	if cores := c.rooms.share(now, j.Service); cores > 0 {
		p.returning += time.Duration(float64(work)/(returnShare*cores)) * time.Millisecond
	}
	p.returning = min(p.returning, now+maxRetryAfter)
	return after
}

// noteWait notes when a task was offered first, and how long it was to wait.
func (c *Coordinator) noteWait(now time.Duration, t *jobTask, hasRoom bool) {
	if t.offers == 0 {
		t.offeredAt = now
		t.foreseen, _ = c.rooms.wait(now, &t.Task)
	}
	t.waiting, t.reclaiming = !hasRoom, false
}

// beganToRun compares the wait of a task that found no room with what was foreseen.
func (c *Coordinator) beganToRun(now time.Duration, t *jobTask) {
	if t.waiting {
		c.pressure(t.Service, t.Surplus).excess.observe(now, t.foreseen, now-t.offeredAt)
	}
	t.waiting = false
	c.unreserve(t)
}

// assembledShare is the part of the workers, in quarters, that has to be known before jobs
// are judged by what is known.
const assembledShare = 3

// Expect tells how many workers executors are about to tell of, after a start; 0: all that
// there are have been told of. Until most are known, jobs without room are not refused but
// parked for a moment: after a loss of power of all daemons workers are taken over one by
// one, within some hundred milliseconds, and the first few would be all the room there is
// for callers who come back all at once.
func (c *Coordinator) Expect(workers int) { c.expected = workers }

func (c *Coordinator) assembling(now time.Duration) bool {
	return c.expected > 0 && 4*c.rooms.usable(now) < assembledShare*c.expected
}
