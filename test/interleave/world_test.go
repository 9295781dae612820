// The simulation of one scenario: its daemons, workers and caller.

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
	// settledAt is when all daemons are linked and each holds its workers.
	settledAt = 300 * time.Millisecond
	// arrival is when the caller submits the job; the times of faults are relative to it.
	arrival = 1700 * time.Millisecond
	// waitLimit is how long the caller waits for the answer.
	waitLimit = 3500 * time.Millisecond
	// retryDelay is how long after it left, or got no result, the caller submits the job again.
	retryDelay = 1300 * time.Millisecond
	// filler is the job that keeps the workers busy before the job arrives.
	filler = "fill"
)

// world is the state of one simulated scenario.
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
	// attempts counts the submissions of the job; done is set when the caller submits it no more.
	attempts         int
	done, callerLeft bool
	endedJobs        map[string]bool
	tracing          bool
	trace            []string
}

// runScenario simulates a scenario up to its end.
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

// finished reports whether a violation is found or no further one can occur.
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

// submitFiller submits a job that occupies all workers before the caller's job arrives.
func (w *world) submitFiller() {
	if w.scenario.base.fillBefore == 0 {
		return
	}
	d := w.daemons[0]
	d.step(func() {
		d.coordinator.Submit(w.now, w.newJob(filler, len(w.workerList), w.scenario.base.fillWork, false))
	})
}

func (w *world) newJob(id string, count int, expected time.Duration, durable bool) coordinator.Job {
	return coordinator.Job{
		ID: id, Service: "s", Attempts: 3, Stretch: 4, Target: time.Second, Deadline: w.now + waitLimit, Durable: durable,
		Steps: []coordinator.Step{{Count: count, Demand: capacity.Vector{MilliCPU: 1000, MemoryMB: 100}, ExpectedRunTime: expected}},
	}
}

// submit submits the caller's job to a daemon.
func (w *world) submit(d *daemon) {
	w.attempts++
	w.tracef("the caller submits the job to %s", d.name)
	w.at(w.now, d, func() {
		d.step(func() {
			d.requestStart(w.newJob(w.scenario.base.jobID(), w.scenario.base.taskCount(), w.scenario.base.work, w.scenario.base.durable))
		})
	})
}

// callerHangUp closes the caller's connection, which the daemon reads after noticeDelay. The caller
// submits the job again to another daemon.
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

// handleAnswer records a daemon's answer for a job; the caller may submit the job again.
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

// storedState is a job's state in the store.
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

// processes returns all daemons, in the same order each time.
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

// assignedDaemon is the daemon that holds the worker in the view of one daemon.
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

// viewDelay is how much later than the first daemon a daemon learns of a change of who holds which worker.
func viewDelay(d *daemon) time.Duration {
	return time.Duration(d.self.Incarnation-1) * 30 * time.Millisecond
}

func (w *world) daemonNamed(name string) *daemon { return w.daemons[name[0]-'A'] }

func (w *world) tracef(format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%7.1f ms  ", float64(w.now-arrival)/float64(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}
