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
	committedShare = 0.87
	// impatientAt is the demand, as a part of the room, from which on surplus jobs don't wait for
	// room at all. Below it down to committedPart they may wait for ever more of their time. What
	// waits takes each free worker at once, and jobs within their shares would have to queue too.
	noWaitLoad = 1.1
	// divisionAge is for how long a division holds: demands come by heartbeats, not by jobs.
	divisionMaxAge = 20 * time.Millisecond
	// waitingTime is by how much work has to wait, on all of the room, for what is in use to be
	// all that can be used.
	saturatedBacklog = 5 * time.Millisecond
	// fillGain is the weight of one observation of the part of the room that can be used.
	fillSmoothing = 0.1
	// leastFill bounds what is learned of it: a moment in which executors tell of little use,
	// as after a loss, would else make shares that are too small for many seconds.
	minFill = 0.5
	// unusedFor is how long a queue by which no job comes is kept in mind. Longer than bursts
	// are apart, as a service that begins anew has to learn what is usual.
	queueRetention = 10 * time.Minute
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
type claimant struct{ queue, domain string }

// division is how a service's room was divided last.
type division struct {
	computedAt time.Duration
	// fill is the part of the room that can be used, as large tasks don't fill workers.
	fill float64
	// room is what can be used, in thousandths of a core.
	capacity float64
	// patience is the part of its spare time that a surplus job may wait.
	waitFraction float64
	learned      share.LearnedShares[claimant]
	// names are the claims, daemons is how many tell of each.
	claimants       []claimant
	demands, shares map[claimant]float64
	daemons         map[claimant]int
}

// standing is what became of a queue's jobs here.
type queueStats struct {
	// carried is the work within the share that whole jobs have not used yet.
	credit             float64
	overShare, refused uint64
	// used is when a job came last.
	lastUsed time.Duration
}

// shares divides room among claims. Its zero value is ready for use.
type shares struct {
	meter     share.Meter[queueName]
	divisions map[string]*division
	queues    map[queueName]*queueStats
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
	list := make([]ShareState, 0, len(c.shares.queues))
	for q, st := range c.shares.queues {
		key, d := claimant{q.queue, c.ownDomain()}, c.divide(now, q.service)
		list = append(list, ShareState{
			Service: q.service, Queue: q.queue, OwnDemand: int64(c.shares.meter.Rate(now, q)), Demand: d.demands[key], Share: d.shares[key],
			OverShare: st.overShare, Refused: st.refused,
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
	for q, st := range s.queues {
		if now-st.lastUsed > queueRetention {
			delete(s.queues, q)
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
func (c *Coordinator) checkShare(now time.Duration, j *job) {
	work := j.work()
	if j.Durable || work <= 0 {
		return
	}
	q := queueName{j.Service, j.Queue}
	c.shares.meter.Add(now, q, work, longestChain(j.Steps))
	d := c.divide(now, j.Service)
	fraction := c.allowedFraction(now, d, q)
	st := c.queueStats(q)
	st.lastUsed = now
	if fraction >= 1 {
		st.credit = 0
		return
	}
	if st.credit += fraction * work; st.credit >= work/2 {
		st.credit -= work
		return
	}
	st.overShare++
	for _, t := range j.tasks {
		t.OverShare = true
	}
	j.overShare = true
	key := claimant{j.Queue, c.ownDomain()}
	c.out.Events = append(c.out.Events, executor.Event{Name: EventOverShare, ID: task.ID{Job: j.ID}, Detail: fmt.Sprintf(
		"queue=%s demand_milli_cpu=%.0f share_milli_cpu=%.0f room_milli_cpu=%.0f", j.Queue, d.demands[key], d.shares[key], d.capacity)})
}

func (c *Coordinator) queueStats(q queueName) *queueStats {
	st := c.shares.queues[q]
	if st == nil {
		if c.shares.queues == nil {
			c.shares.queues = make(map[queueName]*queueStats)
		}
		st = new(queueStats)
		c.shares.queues[q] = st
	}
	return st
}

// allowedPart is the part of the queue's work here that is within the claim's share: as much as
// of the whole claim, but at least as much as half of an equal part among the claim's daemons
// allows. One that tells an absurd demand would else take all of its claim from the others.
func (c *Coordinator) allowedFraction(now time.Duration, d *division, q queueName) float64 {
	key := claimant{q.queue, c.ownDomain()}
	demand, granted := d.demands[key], d.shares[key]
	if demand <= granted {
		return 1
	}
	equal := granted / float64(2*d.daemons[key]) / c.shares.meter.Rate(now, q)
	return max(granted/demand, min(1, equal))
}

// divide returns how the service's room is divided now.
func (c *Coordinator) divide(now time.Duration, service string) *division {
	d := c.shares.divisions[service]
	if d != nil && now-d.computedAt < divisionMaxAge && now >= d.computedAt {
		return d
	}
	if d == nil {
		if c.shares.divisions == nil {
			c.shares.divisions = make(map[string]*division)
		}
		d = &division{fill: 1}
		c.shares.divisions[service] = d
	}
	d.computedAt = now
	d.updateFill(c.executors.usage(now, service))
	c.collectDemands(now, service, d)
	sum := 0.0
	for _, n := range d.claimants {
		sum += d.demands[n]
	}
	d.waitFraction = min(max((noWaitLoad*d.capacity-sum)/max((noWaitLoad-committedShare)*d.capacity, 1), 0), 1)
	d.shares = d.learned.Divide(now, committedShare*d.capacity, d.claimants, d.demands)
	return d
}

// measure learns which part of the room can be used, from moments in which work waits.
func (d *division) updateFill(total, used, queued float64) {
	if total > 0 && queued > total*saturatedBacklog.Seconds() {
		d.fill += fillSmoothing * (min(max(used/total, minFill), 1) - d.fill)
	}
	d.capacity = d.fill * total
}

// collect adds up what this daemon and those in touch are asked for.
func (c *Coordinator) collectDemands(now time.Duration, service string, d *division) {
	d.claimants, d.demands, d.daemons = d.claimants[:0], make(map[claimant]float64), make(map[claimant]int)
	add := func(queue, domain string, milliCPU float64) {
		n := claimant{queue, domain}
		if d.daemons[n] == 0 {
			d.claimants = append(d.claimants, n)
		}
		d.demands[n] += milliCPU
		d.daemons[n]++
	}
	for _, own := range c.Demands(now) {
		if own.Service == service {
			add(own.Queue, c.ownDomain(), float64(own.MilliCPU))
		}
	}
	for _, h := range c.executors.list {
		if h.Process == c.self || !h.offerable(now) {
			continue
		}
		for _, peerDemand := range h.Demands {
			if peerDemand.Service == service {
				// A wrong word of a peer counts as all of the room at most.
				add(peerDemand.Queue, h.Domain, min(max(float64(peerDemand.MilliCPU), 0), d.capacity))
			}
		}
	}
}

func (c *Coordinator) ownDomain() string {
	if h := c.executors.get(c.self); h != nil {
		return h.Domain
	}
	return ""
}

// use returns the service's room and what of it is in use, in thousandths of a core, and the
// work that waits for it, in thousandths of a core and seconds. Demand is told by declared times,
// so a worker counts for the declared work that it does.
func (r *executors) usage(now time.Duration, service string) (total, used, queued float64) {
	median := r.medianSlowdown(now, service)
	for _, h := range r.list {
		if !h.offerable(now) {
			continue
		}
		for i := range h.Workers {
			if w := &h.Workers[i]; w.Usable && w.Service == service {
				speed := median.speed(w)
				total += speed * float64(w.Total.MilliCPU)
				used += speed * float64(w.Total.MilliCPU-w.Free.MilliCPU)
			}
		}
		for _, work := range h.Backlog[service] {
			queued += float64(work) // core-ms, which is the same
		}
	}
	return total, used, queued
}

// slack is for how long the job may wait and be taken.
func (c *Coordinator) slack(now time.Duration, j *job) time.Duration {
	s := max(j.due-now-longestChain(j.Steps), 0)
	if !j.overShare {
		return s
	}
	return time.Duration(float64(s) * c.divide(now, j.Service).waitFraction)
}

// refusedFor names what limits a job that is refused, and counts it.
func (c *Coordinator) refusalReason(j *job, reason Reason) Reason {
	if !j.overShare || reason != ReasonNoCapacity {
		return reason
	}
	c.queueStats(queueName{j.Service, j.Queue}).refused++
	return ReasonOverShare
}
