package coordinator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/share"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// committedPart is the part of the room that is divided among claims. Were all of it
	// promised, those within their shares would wait as long as in any full fleet.
	committedPart = 0.87
	// impatientAt is the demand, as a part of the room, from which on surplus jobs don't wait for
	// room at all. Below it down to committedPart they may wait for ever more of their time. What
	// waits takes each free worker at once, and jobs within their shares would have to queue too.
	impatientAt = 1.1
	// divisionAge is for how long a division holds: demands come by heartbeats, not by jobs.
	divisionAge = 20 * time.Millisecond
	// waitingTime is by how much work has to wait, on all of the room, for what is in use to be
	// all that can be used.
	waitingTime = 5 * time.Millisecond
	// fillGain is the weight of one observation of the part of the room that can be used.
	fillGain = 0.1
	// leastFill bounds what is learned of it: a moment in which executors tell of little use,
	// as after a loss, would else make shares that are too small for many seconds.
	leastFill = 0.5
	// unusedFor is how long a queue by which no job comes is kept in mind. Longer than bursts
	// are apart, as a service that begins anew has to learn what is usual.
	unusedFor = 10 * time.Minute
)

// EventOverShare names the decision that a job is beyond its claim's share.
const EventOverShare = "job_surplus"

// Demand is what the callers of a daemon ask of a queue.
type Demand struct {
	Service, Queue string
	// MilliCPU is the processor that would be busy with it.
	MilliCPU int64
}

// ShareState is what a queue's callers in this daemon's failure domain ask for and may have.
type ShareState struct {
	Service, Queue string
	// OwnDemand is what this daemon's callers ask for, in thousandths of a core.
	OwnDemand int64
	// Demand and Share are in thousandths of a core, over all daemons of the failure domain.
	Demand, Share float64
	// OverShare counts this daemon's jobs beyond the share, Refused those of them that were refused.
	OverShare, Refused uint64
}

// queueName names a queue of a service.
type queueName struct{ service, queue string }

// claimName names who claims room of a service: a queue's callers in one failure domain.
type claimName struct{ queue, domain string }

// division is how a service's room was divided last.
type division struct {
	at time.Duration
	// fill is the part of the room that can be used, as large tasks don't fill workers.
	fill float64
	// room is what can be used, in thousandths of a core.
	room float64
	// patience is the part of its spare time that a surplus job may wait.
	patience float64
	usual    share.LearnedShares[claimName]
	// names are the claims, daemons is how many tell of each.
	names           []claimName
	demands, shares map[claimName]float64
	daemons         map[claimName]int
}

// standing is what became of a queue's jobs here.
type standing struct {
	// carried is the work within the share that whole jobs have not used yet.
	carried          float64
	surplus, refused uint64
	// used is when a job came last.
	used time.Duration
}

// shares divides room among claims. Its zero value is ready for use.
type shares struct {
	meter     share.Meter[queueName]
	divisions map[string]*division
	standings map[queueName]*standing
}

// Demands is what this daemon's callers ask for, for its heartbeats.
func (c *Coordinator) Demands(now time.Duration) []Demand {
	var list []Demand
	for q, rate := range c.shares.meter.Rates(now) {
		if rate >= 1 {
			list = append(list, Demand{Service: q.service, Queue: q.queue, MilliCPU: int64(rate)})
		}
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Queue, b.Queue))
	})
	return list
}

// ShareStates tells of the queues that jobs came by here, and forgets those that are no longer used.
func (c *Coordinator) ShareStates(now time.Duration) []ShareState {
	c.shares.forget(now)
	list := make([]ShareState, 0, len(c.shares.standings))
	for q, st := range c.shares.standings {
		claim, d := claimName{q.queue, c.ownDomain()}, c.divide(now, q.service)
		list = append(list, ShareState{
			Service: q.service, Queue: q.queue, OwnDemand: int64(c.shares.meter.Rate(now, q)), Demand: d.demands[claim], Share: d.shares[claim],
			OverShare: st.surplus, Refused: st.refused,
		})
	}
	slices.SortFunc(list, func(a, b ShareState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Queue, b.Queue))
	})
	return list
}

// forget drops queues that are no longer used, and the divisions of services without any. Else each
// name that a configuration ever had would stay as long as the process.
func (s *shares) forget(now time.Duration) {
	used := make(map[string]bool, len(s.divisions))
	for q, st := range s.standings {
		if now-st.used > unusedFor {
			delete(s.standings, q)
			continue
		}
		used[q.service] = true
	}
	maps.DeleteFunc(s.divisions, func(service string, _ *division) bool { return !used[service] })
}

// work is what the job asks for, in thousandths of a core and seconds.
func (j *Job) work() (sum float64) {
	for _, s := range j.Steps {
		sum += float64(s.Count) * float64(s.Demand.MilliCPU) * s.ExpectedRunTime.Seconds()
	}
	return sum
}

// judgeShare decides whether the job is beyond the share of its claim: of a claim that asks for
// more, as much of the work as the share allows is within it, in whole jobs. Kept jobs are not
// metered: they take hours, and a rate says nothing of them.
func (c *Coordinator) judgeShare(now time.Duration, j *job) {
	work := j.work()
	if j.Durable || work <= 0 {
		return
	}
	q := queueName{j.Service, j.Queue}
	c.shares.meter.Add(now, q, work, longestChain(j.Steps))
	d := c.divide(now, j.Service)
	part := c.allowedPart(now, d, q)
	st := c.standing(q)
	st.used = now
	if part >= 1 {
		st.carried = 0
		return
	}
	if st.carried += part * work; st.carried >= work/2 {
		st.carried -= work
		return
	}
	st.surplus++
	for _, t := range j.tasks {
		t.OverShare = true
	}
	j.surplus = true
	claim := claimName{j.Queue, c.ownDomain()}
	c.out.Events = append(c.out.Events, executor.Event{Name: EventOverShare, ID: task.ID{Job: j.ID}, Detail: fmt.Sprintf(
		"queue=%s demand_milli_cpu=%.0f share_milli_cpu=%.0f room_milli_cpu=%.0f", j.Queue, d.demands[claim], d.shares[claim], d.room)})
}

func (c *Coordinator) standing(q queueName) *standing {
	st := c.shares.standings[q]
	if st == nil {
		if c.shares.standings == nil {
			c.shares.standings = make(map[queueName]*standing)
		}
		st = new(standing)
		c.shares.standings[q] = st
	}
	return st
}

// allowedPart is the part of the queue's work here that is within the claim's share: as much as
// of the whole claim, but at least as much as half of an equal part among the claim's daemons
// allows. One that tells an absurd demand would else take all of its claim from the others.
func (c *Coordinator) allowedPart(now time.Duration, d *division, q queueName) float64 {
	claim := claimName{q.queue, c.ownDomain()}
	demand, part := d.demands[claim], d.shares[claim]
	if demand <= part {
		return 1
	}
	equal := part / float64(2*d.daemons[claim]) / c.shares.meter.Rate(now, q)
	return max(part/demand, min(1, equal))
}

// divide returns how the service's room is divided now.
func (c *Coordinator) divide(now time.Duration, service string) *division {
	d := c.shares.divisions[service]
	if d != nil && now-d.at < divisionAge && now >= d.at {
		return d
	}
	if d == nil {
		if c.shares.divisions == nil {
			c.shares.divisions = make(map[string]*division)
		}
		d = &division{fill: 1}
		c.shares.divisions[service] = d
	}
	d.at = now
	d.measure(c.rooms.use(now, service))
	c.collect(now, service, d)
	sum := 0.0
	for _, n := range d.names {
		sum += d.demands[n]
	}
	d.patience = min(max((impatientAt*d.room-sum)/max((impatientAt-committedPart)*d.room, 1), 0), 1)
	d.shares = d.usual.Divide(now, committedPart*d.room, d.names, d.demands)
	return d
}

// measure learns which part of the room can be used, from moments in which work waits.
func (d *division) measure(total, used, waiting float64) {
	if total > 0 && waiting > total*waitingTime.Seconds() {
		d.fill += fillGain * (min(max(used/total, leastFill), 1) - d.fill)
	}
	d.room = d.fill * total
}

// collect adds up what this daemon and those in touch are asked for.
func (c *Coordinator) collect(now time.Duration, service string, d *division) {
	d.names, d.demands, d.daemons = d.names[:0], make(map[claimName]float64), make(map[claimName]int)
	add := func(queue, domain string, milliCPU float64) {
		n := claimName{queue, domain}
		if d.daemons[n] == 0 {
			d.names = append(d.names, n)
		}
		d.demands[n] += milliCPU
		d.daemons[n]++
	}
	for _, own := range c.Demands(now) {
		if own.Service == service {
			add(own.Queue, c.ownDomain(), float64(own.MilliCPU))
		}
	}
	for _, h := range c.rooms.holders {
		if h.Process == c.self || !h.offerable(now) {
			continue
		}
		for _, told := range h.Demands {
			if told.Service == service {
				// A wrong word of a peer counts as all of the room at most.
				add(told.Queue, h.Domain, min(max(float64(told.MilliCPU), 0), d.room))
			}
		}
	}
}

func (c *Coordinator) ownDomain() string {
	if h := c.rooms.get(c.self); h != nil {
		return h.Domain
	}
	return ""
}

// use returns the service's room and what of it is in use, in thousandths of a core, and the
// work that waits for it, in thousandths of a core and seconds. Demand is told by declared times,
// so a worker counts for the declared work that it does.
func (r *rooms) use(now time.Duration, service string) (total, used, waiting float64) {
	usual := r.usualRatio(now, service)
	for _, h := range r.holders {
		if !h.offerable(now) {
			continue
		}
		for i := range h.Workers {
			if w := &h.Workers[i]; w.Usable && w.Service == service {
				speed := usual.speed(w)
				total += speed * float64(w.Total.MilliCPU)
				used += speed * float64(w.Total.MilliCPU-w.Free.MilliCPU)
			}
		}
		for _, work := range h.Backlog[service] {
			waiting += float64(work) // core-ms, which is the same
		}
	}
	return total, used, waiting
}

// slack is for how long the job may wait and be taken.
func (c *Coordinator) slack(now time.Duration, j *job) time.Duration {
	s := max(j.due-now-longestChain(j.Steps), 0)
	if !j.surplus {
		return s
	}
	return time.Duration(float64(s) * c.divide(now, j.Service).patience)
}

// refusedFor names what limits a job that is refused, and counts it.
func (c *Coordinator) refusedFor(j *job, why Reason) Reason {
	if !j.surplus || why != ReasonNoCapacity {
		return why
	}
	c.standing(queueName{j.Service, j.Queue}).refused++
	return ReasonOverShare
}
