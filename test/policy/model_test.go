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
	// nearHop and farHop are one way within a failure domain and beyond it.
	localLatency  = 100 * time.Microsecond
	remoteLatency = 900 * time.Microsecond
	// usualHeartbeat and tick are those of the daemon.
	defaultHeartbeatInterval = 100 * time.Millisecond
	tickInterval             = 25 * time.Millisecond
	// warmUp is when the first jobs come: workers are taken over by then.
	warmUp  = 3 * time.Second
	service = "quotes"
	// wideTenth is how many times as many tasks as usual a job of the widest tenth has.
	widestTenthFactor = 1.5
	// longTimes is how many times as long as usual a job of the few long ones takes.
	longFactor = 7
)

// kind is one kind of jobs.
type kind struct {
	name      string
	perSecond float64
	tasks     float64
	runTime   time.Duration
	milliCPU  float64
	priority  int
	// credit is what a job that is on time is worth; a late one is worth a fifth of it.
	credit float64
}

// load is a pattern of load.
type workload struct {
	domains, daemonsPerDomain, workersPerDomain int
	// places and perPlace are the failure domains that callers come from and the daemons in each:
	// those of the fleet, also where one queue takes its place. 0: domains and daemonsEach.
	callerDomains, daemonsPerCallerDomain int
	// strong is how many daemons of each failure domain have four times the processor of the
	// others; 0: it is not known.
	strongDaemons int
	kinds         []kind
	// rate multiplies the arrivals at a time, kindRate those of one kind, domainRate those of one
	// failure domain's callers.
	rateFactor       func(at time.Duration) float64
	kindRateFactor   func(kind string, at time.Duration) float64
	domainRateFactor func(domain string, at time.Duration) float64
	// share is the part of its failure domain's callers that an entry gets, compared with the
	// domain's other entries; nil: all get as many.
	callerShare func(entry int) float64
	// slow gives the factor by which a worker is slower at a time, for what runs there too; 1 as usual.
	slowdown func(worker int, at time.Duration) float64
	// long is the share of jobs whose tasks take longTimes as long as others; they are declared as others.
	longShare float64
	// gone tells which workers are draining at a time.
	draining func(worker int, at time.Duration) bool
	// cut tells whether a failure domain is cut off from the others at a time.
	isolated func(domain string, at time.Duration) bool
	// retired tells whether the operator has retired a failure domain at a time.
	retired func(domain string, at time.Duration) bool
	// unanswered is the share of starts and stops that a worker leaves unanswered, and carries
	// out lateBy later.
	unansweredShare float64
	// visits is how often a caller comes at most: one that is refused comes back when it was
	// told to, in whole seconds, as callers are told. 0: once.
	maxSubmissions int
	// length is how long jobs arrive.
	duration time.Duration
	// spread heartbeats over their interval, as the links do.
	synchronizedHeartbeats bool
	// heartbeat is the time between a daemon's heartbeats, which grows with their number; 0:
	// usualHeartbeat.
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

// model is a fleet in simulated time.
type model struct {
	workload workload
	// rng draws jobs and their arrivals; each seed gives the same to every fleet. phases
	// draws the rest.
	arrivalRand, otherRand                *rand.Rand
	now                                   time.Duration
	events                                events
	eventCount                            int
	daemons                               []*daemon
	workers                               map[string]*worker
	jobs                                  map[string]*job
	returnedTasks, taskCount, submissions int
	// work and useful count core-ms of all runs and of those of completed jobs.
	totalWork, usefulWork float64
}

type job struct {
	kind           *kind
	domain         string
	arrivedAt      time.Duration
	dueAt, endedAt time.Duration
	// work is each task's true time.
	runTimes []time.Duration
	status   coordinator.Status
	reason   coordinator.Reason
	// visits counts the times it came; at returns it comes again.
	submissions int
	submit      func()
	workDone    float64
	// demand is each task's processor; the others tell of a refusal.
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

// weightOf is the processor of a strong daemon, or of another, in cores.
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

// play runs the load and returns its figures.
func runLoad(l workload, seed uint64) results { return runModel(l, seed).results() }

// played runs the load and returns the model at its end.
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

// retire tells all daemons which failure domains are retired now.
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

// drainAt lets a worker drain, and come back, at its times.
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
