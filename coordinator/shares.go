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
	// committedShare is the part of the capacity that is divided among claimants. If all of it were
	// promised, jobs within their shares would wait as long as in any saturated fleet.
	committedShare = 0.87
	// noWaitLoad is the demand, as a part of the capacity, from which on jobs over their share do not
	// wait for capacity at all. Between committedShare and noWaitLoad they may wait for a part of their
	// spare time, the smaller the higher the demand. Queued tasks take each worker as soon as it is
	// free, so jobs within their shares would have to queue too.
	noWaitLoad = 1.1
	// divisionMaxAge is how long a division is used. Demands change with heartbeats, not with jobs.
	divisionMaxAge = 20 * time.Millisecond
	// saturatedBacklog is the queued work, in time on the whole capacity, from which on the capacity in
	// use is taken as all that can be used.
	saturatedBacklog = 5 * time.Millisecond
	// fillSmoothing is the weight of one sample of the usable part of the capacity.
	fillSmoothing = 0.1
	// minFill bounds the samples from below. Otherwise a moment in which executors report little use,
	// as after a loss, would make shares too small for many seconds.
	minFill = 0.5
	// queueRetention is how long a queue without new jobs is remembered. It is longer than the time
	// between bursts, because the usual demand of a service has to be measured again once its queues are dropped.
	queueRetention = 10 * time.Minute
)

// EventOverShare is the name of the event that a job exceeds the share of its claimant.
const EventOverShare = "job_surplus"

// Demand is the processor time that the callers of one daemon ask of a queue.
type Demand struct {
	Service, Queue string
	// MilliCPU is how much processor the demand would keep busy, in thousandths of a core.
	MilliCPU int64
}

// ShareState is the demand and the share of the callers of one queue in this daemon's failure domain.
type ShareState struct {
	Service, Queue string
	// OwnDemand is the demand of this daemon's callers, in thousandths of a core.
	OwnDemand int64
	// Demand and Share are in thousandths of a core, over all daemons of the failure domain.
	Demand, Share float64
	// OverShare counts this daemon's jobs over the share, Refused those of them that were refused.
	OverShare, Refused uint64
}

// queueName identifies a queue of a service.
type queueName struct{ service, queue string }

// claimant identifies who demands capacity of a service: the callers of a queue in one failure domain.
type claimant struct{ queue, domain string }

// division is the latest division of a service's capacity among its claimants.
type division struct {
	computedAt time.Duration
	// fill is the part of the capacity that can be used, as large tasks leave parts of workers unused.
	fill float64
	// capacity is the usable capacity, in thousandths of a core.
	capacity float64
	// waitFraction is the part of its spare time that a job over its share may wait.
	waitFraction float64
	learned      share.LearnedShares[claimant]
	// claimants are those with demand; daemons counts the daemons that report demand of each.
	claimants       []claimant
	demands, shares map[claimant]float64
	daemons         map[claimant]int
}

// queueStats is the accounting of a queue's jobs at this daemon.
type queueStats struct {
	// credit is work within the share that has not been used by a whole job yet.
	credit             float64
	overShare, refused uint64
	// lastUsed is when the latest job was submitted.
	lastUsed time.Duration
}

// shares divides capacity among claimants. Its zero value is ready for use.
type shares struct {
	meter     share.Meter[queueName]
	divisions map[string]*division
	queues    map[queueName]*queueStats
}

// Demands returns the demand of this daemon's callers by queue, for its heartbeats.
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

// ShareStates returns the queues that jobs were submitted to here, and forgets those that are no
// longer used.
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

// forget drops unused queues, and the divisions of services without any queue. Otherwise every name
// that a configuration ever had would stay in memory as long as the process.
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

// work returns the work that the job asks for, in thousandths of a core times seconds.
func (j *Job) work() (sum float64) {
	for _, s := range j.Steps {
		sum += float64(s.Count) * float64(s.Demand.MilliCPU) * s.ExpectedRunTime.Seconds()
	}
	return sum
}

// checkShare decides whether the job is over the share of its claimant. If the demand exceeds the
// share, as much work as the share allows is within it, in whole jobs. Durable jobs are not metered:
// they take hours, and a rate says nothing about them.
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

// allowedFraction returns the part of the queue's work here that is within the claimant's share. It is
// the same part as of the claimant's whole demand, but at least what half of an equal part per daemon
// allows. Otherwise one daemon that reports an absurd demand would take the whole share from the
// claimant's other daemons.
func (c *Coordinator) allowedFraction(now time.Duration, d *division, q queueName) float64 {
	key := claimant{q.queue, c.ownDomain()}
	demand, granted := d.demands[key], d.shares[key]
	if demand <= granted {
		return 1
	}
	equal := granted / float64(2*d.daemons[key]) / c.shares.meter.Rate(now, q)
	return max(granted/demand, min(1, equal))
}

// divide returns the current division of the service's capacity.
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

// updateFill learns which part of the capacity can be used, from moments in which work is queued.
func (d *division) updateFill(total, used, queued float64) {
	if total > 0 && queued > total*saturatedBacklog.Seconds() {
		d.fill += fillSmoothing * (min(max(used/total, minFill), 1) - d.fill)
	}
	d.capacity = d.fill * total
}

// collectDemands sums up the demands of this daemon's callers and of those of reachable peers.
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
				// A wrong demand from a peer counts as the whole capacity at most.
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

// usage returns the service's capacity and the part in use, in thousandths of a core, and the work that
// is queued for it, in thousandths of a core times seconds. Callers state demands in declared run
// times, so a worker counts with the declared work that it does per unit of time.
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
			queued += float64(work) // core-ms equal thousandths of a core times seconds
		}
	}
	return total, used, queued
}

// slack returns how long the job may wait and still be admitted.
func (c *Coordinator) slack(now time.Duration, j *job) time.Duration {
	s := max(j.due-now-longestChain(j.Steps), 0)
	if !j.overShare {
		return s
	}
	return time.Duration(float64(s) * c.divide(now, j.Service).waitFraction)
}

// refusalReason returns the reason for refusing a job, and counts refusals of jobs over their share.
func (c *Coordinator) refusalReason(j *job, reason Reason) Reason {
	if !j.overShare || reason != ReasonNoCapacity {
		return reason
	}
	c.queueStats(queueName{j.Service, j.Queue}).refused++
	return ReasonOverShare
}
