// The workload of a test, and the simulation of its fleet and callers.

package policy

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/fleet"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// localLatency and remoteLatency are the one-way times of a message within a failure domain and
	// between two.
	localLatency  = 100 * time.Microsecond
	remoteLatency = 900 * time.Microsecond
	// defaultHeartbeatInterval and tickInterval are the intervals of the daemon.
	defaultHeartbeatInterval = 100 * time.Millisecond
	tickInterval             = 25 * time.Millisecond
	// warmUp is the time of the first jobs: the daemons have taken over the workers by then.
	warmUp  = 3 * time.Second
	service = "quotes"
	// A job with widestTenthFactor times the usual number of tasks of its kind is of the widest tenth.
	widestTenthFactor = 1.5
	// longFactor is how many times as long as usual the tasks of the few long jobs run.
	longFactor = 7
)

// kind is a kind of jobs with the means of its properties.
type kind struct {
	name      string
	perSecond float64
	tasks     float64
	runTime   time.Duration
	milliCPU  float64
	priority  int
	// credit is what a job on time is worth; a late one is worth a fifth of it.
	credit float64
}

// workload is a fleet and a pattern of load. A nil function stands for no deviation.
type workload struct {
	domains, daemonsPerDomain, workersPerDomain int
	// callerDomains is the number of failure domains that callers are in, daemonsPerCallerDomain the
	// number of daemons in each: those of the fleet, or of the fleet that a single queue replaces. 0
	// stands for domains and daemonsPerDomain.
	callerDomains, daemonsPerCallerDomain int
	// strongDaemons is how many daemons of each failure domain have four times the processor of the
	// others; 0: the processors are unknown.
	strongDaemons int
	kinds         []kind
	// rateFactor multiplies the arrivals at a time, kindRateFactor those of one kind, domainRateFactor
	// those of one failure domain's callers.
	rateFactor       func(at time.Duration) float64
	kindRateFactor   func(kind string, at time.Duration) float64
	domainRateFactor func(domain string, at time.Duration) float64
	// callerShare is a daemon's share of its failure domain's callers, compared with a mean of 1; nil:
	// all daemons get the same share.
	callerShare func(entry int) float64
	// slowdown is the factor by which a worker is slower at a time, also for tasks that already run
	// there; 1 is as usual.
	slowdown func(worker int, at time.Duration) float64
	// longShare is the share of jobs whose tasks run longFactor times as long as others, but are declared
	// as others.
	longShare float64
	// draining reports whether a worker is draining at a time.
	draining func(worker int, at time.Duration) bool
	// isolated reports whether a failure domain is cut off from the others at a time.
	isolated func(domain string, at time.Duration) bool
	// retired reports whether the operator has retired a failure domain at a time.
	retired func(domain string, at time.Duration) bool
	// unansweredShare is the share of starts and stops that a worker doesn't answer, and executes
	// lateExecutionDelay later.
	unansweredShare float64
	// maxSubmissions is how often a caller submits its job at most: a refused caller submits it again
	// after the time in the refusal, in whole seconds as the callers' API gives it. 0 stands for 1.
	maxSubmissions int
	// duration is how long jobs arrive.
	duration time.Duration
	// synchronizedHeartbeats: all daemons send their heartbeats at the same time. The links of the
	// product spread them over the interval.
	synchronizedHeartbeats bool
	// heartbeatInterval is the time between a daemon's heartbeats, which grows with the number of
	// daemons; 0 stands for defaultHeartbeatInterval.
	heartbeatInterval time.Duration
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// model simulates a fleet and its callers in simulated time.
type model struct {
	workload workload
	// arrivalRand draws the jobs and their arrivals, so that each seed gives the same ones to every
	// fleet. otherRand draws everything else.
	arrivalRand, otherRand                *rand.Rand
	now                                   time.Duration
	events                                events
	eventCount                            int
	daemons                               []*daemon
	workers                               map[string]*worker
	jobs                                  map[string]*job
	returnedTasks, taskCount, submissions int
	// totalWork is the core time in ms of all runs, usefulWork of those whose jobs earned credit.
	totalWork, usefulWork float64
}

type job struct {
	kind           *kind
	domain         string
	arrivedAt      time.Duration
	dueAt, endedAt time.Duration
	// runTimes are the tasks' real run times.
	runTimes []time.Duration
	status   coordinator.Status
	reason   coordinator.Reason
	// submissions counts how often the caller submitted the job; submit submits it again.
	submissions int
	submit      func()
	workDone    float64
	// demand is the processor that each task needs. refusedAtOnce: the refusal came without a wait;
	// hadFreeCapacity: all tasks would have fitted on workers then.
	demand                         int64
	refusedAtOnce, hadFreeCapacity bool
}

func newModel(l workload, seed uint64) *model {
	l.heartbeatInterval = cmp.Or(l.heartbeatInterval, defaultHeartbeatInterval)
	if l.callerDomains == 0 {
		l.callerDomains, l.daemonsPerCallerDomain = l.domains, l.daemonsPerDomain
	}
	m := &model{workload: l, arrivalRand: rand.New(rand.NewPCG(seed, 7)), otherRand: rand.New(rand.NewPCG(seed, 8)), now: time.Second, workers: make(map[string]*worker), jobs: make(map[string]*job)}
	var members []fleet.Member
	var infos []executor.WorkerInfo
	for z := range l.domains {
		domain := domainName(z)
		for i := range l.daemonsPerDomain {
			m.addDaemon(domain, z, i)
			if l.strongDaemons > 0 {
				m.daemons[len(m.daemons)-1].weight = processorCores(i < l.strongDaemons)
			}
		}
		for i := range l.workersPerDomain {
			n := z*l.workersPerDomain + i
			cpu := int64(32000)
			if i%3 == 2 {
				cpu = 48000
			}
			w := &worker{m: m, number: n, running: make(map[task.ID]executor.Call), startedAt: make(map[task.ID]time.Duration), stoppedRuns: make(map[task.ID]uint32), info: executor.WorkerInfo{
				ID: fmt.Sprintf("w%03d", n), Address: fmt.Sprintf("w%03d:80", n), Service: service, Domain: domain,
				Capacity: capacity.Vector{MilliCPU: cpu, MemoryMB: 65536},
			}}
			m.workers[w.info.ID] = w
			infos = append(infos, w.info)
		}
	}
	for _, d := range m.daemons {
		members = append(members, fleet.Member{Process: d.self, Domain: d.domain, Weight: d.weight})
	}
	holders := fleet.Assign(infos, members)
	for _, d := range m.daemons {
		var own []executor.WorkerInfo
		for _, i := range infos {
			if holders[i.ID] == d.self {
				own = append(own, i)
			}
		}
		d.step(func() { d.executor.SetWorkers(m.now, own) })
	}
	return m
}

// processorCores is the processor in cores of a strong daemon, or of another one.
func processorCores(strong bool) float64 {
	if strong {
		return 0.8
	}
	return 0.2
}

func (m *model) addDaemon(domain string, z, i int) {
	d := &daemon{m: m, domain: domain, lastHeartbeat: make(map[member.Process]time.Duration), self: member.Process{
		Address: netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:80", z, i+1)), Incarnation: uint64(len(m.daemons) + 1),
	}}
	token := uint64(0)
	d.executor = executor.New(executor.Config{Lease: 800 * time.Millisecond, StopTimeout: 50 * time.Millisecond, TokenSource: func() uint64 { token++; return token }})
	d.coordinator = coordinator.New(d.self)
	m.daemons = append(m.daemons, d)
	m.at(m.now+time.Duration(m.otherRand.Int64N(int64(tickInterval))), d.tick)
	phase := time.Duration(0)
	if !m.workload.synchronizedHeartbeats {
		phase = time.Duration(m.otherRand.Int64N(int64(m.workload.heartbeatInterval)))
	}
	m.at(m.now+phase, d.sendHeartbeats)
}

func (m *model) at(t time.Duration, do func()) {
	m.eventCount++
	heap.Push(&m.events, event{t, m.eventCount, do})
}

func (m *model) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	m.now = until
}

func latency(a, b string) time.Duration {
	if a == b {
		return localLatency
	}
	return remoteLatency
}

func (m *model) handleAnswer(a coordinator.Answer) {
	j := m.jobs[a.Job]
	j.status, j.endedAt, j.reason = a.Status, m.now, a.Reason
	if a.Status == coordinator.Refused {
		m.recordRefusal(j, a)
	}
	if a.Status == coordinator.Refused && j.submissions < m.workload.maxSubmissions {
		m.at(m.now+(a.RetryAfter+time.Second-1).Truncate(time.Second), j.submit)
	}
}

// runLoad simulates the workload and returns its results.
func runLoad(l workload, seed uint64) results { return runModel(l, seed).results() }

// runModel simulates the workload and returns the model at its end.
func runModel(l workload, seed uint64) *model {
	m := newModel(l, seed)
	for i := range l.kinds {
		m.scheduleArrivals(&l.kinds[i])
	}
	for i := range l.workersPerDomain * l.domains {
		m.scheduleDraining(i)
	}
	if l.retired != nil {
		for at := time.Duration(0); at < l.duration; at += 100 * time.Millisecond {
			m.at(warmUp+at, m.retire)
		}
	}
	m.run(warmUp + l.duration + 8*time.Second)
	return m
}

// retire sends the currently retired failure domains to all daemons.
func (m *model) retire() {
	domains := make(map[string]bool)
	for z := range m.workload.domains {
		if d := domainName(z); m.workload.retired(d, m.now-warmUp) {
			domains[d] = true
		}
	}
	for _, d := range m.daemons {
		d.step(func() {
			d.coordinator.SetRetiredDomains(domains)
			d.executor.RetireDomains(m.now, domains)
		})
	}
}

// scheduleDraining schedules the times at which a worker starts and ends draining.
func (m *model) scheduleDraining(n int) {
	if m.workload.draining == nil {
		return
	}
	w := m.workers[fmt.Sprintf("w%03d", n)]
	wasDraining := false
	for at := time.Duration(0); at < m.workload.duration; at += 100 * time.Millisecond {
		draining := m.workload.draining(n, at)
		if draining == wasDraining {
			continue
		}
		wasDraining = draining
		m.at(warmUp+at, func() {
			w.info.Draining = draining
			for _, d := range m.daemons {
				d.step(func() { d.executor.Update(m.now, w.info) })
			}
		})
	}
}
