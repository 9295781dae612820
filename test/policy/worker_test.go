// The simulated worker: it runs tasks at a speed that the workload sets, and answers starts, stops and polls.

package policy

import (
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/task"
)

// worker simulates one backend server.
type worker struct {
	m         *model
	number    int
	info      executor.WorkerInfo
	used      int64
	running   map[task.ID]executor.Call
	startedAt map[task.ID]time.Duration
	// stoppedRuns is the highest stopped run number of each task: the worker doesn't start such a run
	// later.
	stoppedRuns    map[task.ID]uint32
	completions    []executor.Completion
	poll           *pendingPoll
	lastCompletion uint64
}

// pendingPoll is a poll that waits for a run to end.
type pendingPoll struct {
	from *daemon
	call executor.Call
}

// lateExecutionDelay is how much later the worker executes an order that it doesn't answer.
const lateExecutionDelay = 3 * time.Second

// handleOrder executes an order and answers it, or leaves it unanswered and executes it later.
func (w *worker) handleOrder(from *daemon, c executor.Call) {
	if c.Kind != executor.CallPoll && w.m.otherRand.Float64() < w.m.workload.unansweredShare {
		w.m.at(w.m.now+lateExecutionDelay, func() { w.execute(c) })
		w.m.at(w.m.now+c.Timeout, func() {
			from.step(func() { from.executor.HandleAnswer(w.m.now, c, executor.Answer{Verdict: executor.Unknown}) })
		})
		return
	}
	if c.Kind == executor.CallPoll {
		w.handlePoll(from, c)
		return
	}
	w.answer(from, c, w.execute(c))
}

// execute executes a start or a stop.
func (w *worker) execute(c executor.Call) executor.Answer {
	a := executor.Answer{Verdict: executor.OK, Clock: w.clock()}
	switch c.Kind {
	case executor.CallStart:
		switch {
		case w.stoppedRuns[c.ID] >= c.Run:
			a.Verdict = executor.Outdated
		case w.used+c.Task.Demand.MilliCPU > w.info.Capacity.MilliCPU:
			a.Verdict = executor.Full
		default:
			w.start(c)
		}
	case executor.CallStop:
		w.stoppedRuns[c.ID] = max(w.stoppedRuns[c.ID], c.Run)
		if r, ok := w.running[c.ID]; ok && r.Run == c.Run {
			w.m.at(w.m.now+5*time.Millisecond, func() { w.end(c.ID, c.Run, false) })
		}
	}
	return a
}

func (w *worker) clock() int64 { return 1_000_000 + w.m.now.Milliseconds() }

func (w *worker) answer(to *daemon, c executor.Call, a executor.Answer) {
	w.m.at(w.m.now+latency(w.info.Domain, to.domain), func() { to.step(func() { to.executor.HandleAnswer(w.m.now, c, a) }) })
}

func (w *worker) start(c executor.Call) {
	w.running[c.ID], w.startedAt[c.ID] = c, w.m.now
	w.used += c.Task.Demand.MilliCPU
	w.m.at(w.endTime(w.m.now, w.m.jobs[c.ID.Job].runTimes[c.ID.Index]), func() { w.end(c.ID, c.Run, true) })
}

// speedStep is the time step within which a worker's speed is constant.
const speedStep = 10 * time.Millisecond

// endTime is when a run that starts now ends, at the worker's slowdown in the workload.
func (w *worker) endTime(now, work time.Duration) time.Duration {
	if w.m.workload.slowdown == nil {
		return now + work
	}
	for {
		slow := w.m.workload.slowdown(w.number, now-warmUp)
		done := time.Duration(float64(speedStep) / slow)
		if done >= work {
			return now + time.Duration(float64(work)*slow)
		}
		work, now = work-done, now+speedStep
	}
}

// percent is how much of a run is complete.
func (w *worker) percent(id task.ID) int {
	work, began := w.m.jobs[id.Job].runTimes[id.Index], w.startedAt[id]
	if w.m.workload.slowdown == nil {
		return int(100 * (w.m.now - began) / work)
	}
	done := 0.0
	for at := began; at < w.m.now; at += speedStep {
		done += float64(min(speedStep, w.m.now-at)) / w.m.workload.slowdown(w.number, at-warmUp)
	}
	return min(int(100*done/float64(work)), 99)
}

func (w *worker) end(id task.ID, run uint32, done bool) {
	c, ok := w.running[id]
	if !ok || c.Run != run {
		return
	}
	delete(w.running, id)
	delete(w.startedAt, id)
	w.used -= c.Task.Demand.MilliCPU
	j := w.m.jobs[id.Job]
	spent := float64(c.Task.Demand.MilliCPU) / 1000 * float64(j.runTimes[id.Index].Milliseconds())
	w.m.totalWork += spent
	j.workDone += spent
	w.lastCompletion++
	how := "stopped"
	if done {
		how = "done"
	}
	w.completions = append(w.completions, executor.Completion{Number: w.lastCompletion, RunningTask: task.RunningTask{ID: id, Run: run, Done: done}, Result: how})
	if p := w.poll; p != nil {
		w.poll = nil
		w.answerPoll(p.from, p.call)
	}
}

func (w *worker) handlePoll(from *daemon, c executor.Call) {
	for len(w.completions) > 0 && w.completions[0].Number <= c.Acknowledge {
		w.completions = w.completions[1:]
	}
	if len(w.completions) > 0 || c.Wait == 0 {
		w.answerPoll(from, c)
		return
	}
	p := &pendingPoll{from, c}
	w.poll = p
	w.m.at(w.m.now+c.Wait, func() {
		if w.poll == p {
			w.poll = nil
			w.answerPoll(from, c)
		}
	})
}

func (w *worker) answerPoll(to *daemon, c executor.Call) {
	a := executor.Answer{Verdict: executor.OK, Clock: w.clock(), Completions: append([]executor.Completion(nil), w.completions...)}
	for id, r := range w.running {
		a.Running = append(a.Running, executor.ListedRun{RunningTask: task.RunningTask{ID: id, Run: r.Run}, Percent: w.percent(id)})
	}
	w.answer(to, c, a)
}
