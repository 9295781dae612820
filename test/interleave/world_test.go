package interleave

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// settled is when all daemons are linked and hold their workers.
	settledAt = 300 * time.Millisecond
	// arrival is when the job comes; faults are told relative to it.
	arrival = 1700 * time.Millisecond
	// patience is how long its caller waits.
	waitLimit = 3500 * time.Millisecond
	// retransmit is after how long a caller without an answer comes again.
	retryDelay = 1300 * time.Millisecond
	filler     = "fill"
)

// world is one play.
type world struct {
	scenario   scenario
	faults     []fault
	now        time.Duration
	queue      events
	seq        int
	daemons    []*daemon
	workers    map[string]*worker
	workerList []*worker
	checker    checker
	// tries counts the calls for the job; done is set when none is to come.
	attempts         int
	done, callerLeft bool
	endedJobs        map[string]bool
	tracing          bool
	trace            []string
}

// perform plays a play.
func runScenario(p scenario, tracing bool) *world {
	w := &world{scenario: p, faults: slices.Concat(p.base.faults, p.faults), workers: make(map[string]*worker), endedJobs: make(map[string]bool), tracing: tracing}
	w.checker.w = w
	for i := range p.base.preferences[0] {
		w.daemons = append(w.daemons, newDaemon(w, i))
	}
	for i := range p.base.preferences {
		k := &worker{w: w, id: workerName(i), running: make(map[task.ID]*run), endedRuns: make(map[task.ID]uint32)}
		w.workers[k.id] = k
		w.workerList = append(w.workerList, k)
	}
	for _, d := range w.daemons {
		for _, p := range w.daemons {
			if p != d {
				d.links[p] = &linkEnd{self: d, peer: p, session: 1}
			}
		}
		w.at(time.Duration(d.self.Incarnation)*7*time.Millisecond, d, d.tick)
	}
	for _, f := range w.faults {
		f.schedule(w)
	}
	w.schedule(arrival-p.base.fillBefore, nil, w.submitFiller)
	w.schedule(arrival, nil, func() { w.submit(w.daemons[0]) })
	w.run(arrival + p.base.watchTime())
	return w
}

func daemonName(i int) string { return string(rune('A' + i)) }

func workerName(i int) string { return fmt.Sprintf("w%d", i+1) }

// over reports whether nothing that counts can happen any more.
func (w *world) finished() bool {
	if len(w.checker.violations) > 0 {
		return true
	}
	if !w.done || w.now < arrival+time.Second {
		return false
	}
	for _, k := range w.workerList {
		if len(k.running) > 0 {
			return false
		}
	}
	return !w.scenario.base.durable
}

// fill gives all workers something to do before the job comes.
func (w *world) submitFiller() {
	if w.scenario.base.fillBefore == 0 {
		return
	}
	d := w.daemons[0]
	d.step(func() {
		d.coordinator.Submit(w.now, w.newJob(filler, len(w.workerList), w.scenario.base.fillWork, false))
	})
}

func (w *world) newJob(id string, count int, expected time.Duration, kept bool) coordinator.Job {
	return coordinator.Job{
		ID: id, Service: "s", Attempts: 3, Stretch: 4, Target: time.Second, Deadline: w.now + waitLimit, Durable: kept,
		Steps: []coordinator.Step{{Count: count, Demand: capacity.Vector{MilliCPU: 1000, MemoryMB: 100}, ExpectedRunTime: expected}},
	}
}

// call is the caller's request at a daemon.
func (w *world) submit(d *daemon) {
	w.attempts++
	w.tracef("the caller asks %s", d.name)
	w.at(w.now, d, func() {
		d.step(func() {
			d.requestStart(w.newJob(w.scenario.base.jobID(), w.scenario.base.taskCount(), w.scenario.base.work, w.scenario.base.durable))
		})
	})
}

// hangUp has the caller leave, which is read a while later, and come again elsewhere.
func (w *world) callerHangUp(noticeDelay time.Duration) {
	if w.done || w.attempts > 1 || w.callerLeft {
		return
	}
	w.callerLeft = true
	d := w.daemons[0]
	w.tracef("the caller leaves %s", d.name)
	w.at(w.now+noticeDelay, d, func() { d.step(func() { d.abandonJob(w.scenario.base.jobID()) }) })
	w.after(retryDelay, func() { w.submit(w.daemons[2]) })
}

func (w *world) handleAnswer(d *daemon, a coordinator.Answer) {
	w.tracef("%s answers %s: %s %s", d.name, a.Job, a.Status, a.Reason)
	if w.scenario.base.durable {
		w.at(w.now+storeWriteTime/10, d, func() {
			w.endedJobs[a.Job] = true
			d.step(func() { d.coordinator.HandlePersisted(a.Job, 1<<40, true) })
		})
	}
	if a.Job != w.scenario.base.jobID() || w.callerLeft && d == w.daemons[0] {
		return
	}
	if a.Status == coordinator.GivenUp && w.scenario.base.callerRetries && w.attempts < 2 {
		w.after(retryDelay, func() { w.submit(w.daemons[2]) })
		return
	}
	w.done = true
}

// stateOf is what the store shows of a job.
func (w *world) storedState(job string) executor.JobState {
	switch {
	case !w.scenario.base.durable || job == filler:
		return executor.JobNotDurable
	case w.endedJobs[job]:
		return executor.JobEnded
	default:
		return executor.JobOpen
	}
}

// processes are all daemons, in a repeatable order.
func (w *world) processes() (list []member.Process) {
	for _, d := range w.daemons {
		list = append(list, d.self)
	}
	return list
}

func (w *world) daemonOf(p member.Process) *daemon { return w.daemons[p.Incarnation-1] }

func (w *world) workerInfo(k *worker) executor.WorkerInfo {
	return executor.WorkerInfo{
		ID: k.id, Address: k.id, Service: "s", Domain: "a", Capacity: capacity.Vector{MilliCPU: 1000, MemoryMB: 1000}, Draining: k.draining,
	}
}

// holderOf is the daemon that a view gives the worker to.
func (w *world) assignedDaemon(view *daemon, k *worker, members map[*daemon]bool) *daemon {
	for _, f := range w.faults {
		if f.kind == reassigned && f.node == k.id && f.active(w.now-viewDelay(view)) {
			if d := w.daemonNamed(f.target); members[d] {
				return d
			}
		}
	}
	for _, name := range w.scenario.base.preferences[slices.Index(w.workerList, k)] {
		if d := w.daemonNamed(string(name)); members[d] {
			return d
		}
	}
	return nil
}

// viewLag is how much later than the first a daemon learns of what changes who holds what.
func viewDelay(d *daemon) time.Duration {
	return time.Duration(d.self.Incarnation-1) * 30 * time.Millisecond
}

func (w *world) daemonNamed(name string) *daemon { return w.daemons[name[0]-'A'] }

func (w *world) tracef(format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%7.1f ms  ", float64(w.now-arrival)/float64(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}
