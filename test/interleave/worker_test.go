// The simulated worker: it runs tasks under leases and fencing tokens, and answers starts, stops and polls.

package interleave

import (
	"maps"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/task"
)

const (
	// stopDuration is how long a worker takes to stop a run, maxLease the longest lease that it grants.
	stopDuration = 48 * time.Millisecond
	maxLease     = time.Second
	// pollTimeout is how long after the wait of a poll the poll times out, as in package platform.
	pollTimeout = 150 * time.Millisecond
	// clockStart is the time in milliseconds that a worker's clock shows at the start.
	clockStart = 1_000_000
)

// worker simulates one worker. It carries out only orders with the highest fencing token that it has seen.
type worker struct {
	w        *world
	id       string
	token    uint64
	deadline time.Duration
	running  map[task.ID]*run
	// endedRuns is the highest run number of each task that the worker has stopped or completed.
	endedRuns      map[task.ID]uint32
	completions    []completion
	lastCompletion uint64
	polls          []*pendingPoll
	// leaseLapses counts the leases that have lapsed.
	leaseLapses int
	lapsed      bool
	draining    bool
}

type run struct {
	id        task.ID
	num       uint32
	startedAt time.Duration
	stopping  bool
}

// completion is a completion record with the worker's number of lapsed leases at that time.
type completion struct {
	executor.Completion
	leaseLapses int
}

// pendingPoll is a poll that waits for a run to end.
type pendingPoll struct {
	call   executor.Call
	answer func(executor.Answer)
}

func (k *worker) clock() int64 { return clockStart + k.w.now.Milliseconds() }

// sendOrder sends a daemon's order to the worker, and the worker's answer to the daemon.
func (w *world) sendOrder(d *daemon, c executor.Call) {
	k := w.workers[c.Worker]
	timeout := c.Timeout
	if c.Kind == executor.CallPoll {
		timeout = c.Wait + pollTimeout
	}
	answered := false
	answer := func(a executor.Answer) {
		if answered {
			return
		}
		answered = true
		w.at(w.now, d, func() { d.step(func() { d.executor.HandleAnswer(w.now, c, a) }) })
	}
	back := func(a executor.Answer) {
		if w.blocked(k.id, d.name) {
			return
		}
		w.after(workerLatency+w.delay(k.id, lostAnswers), func() { answer(a) })
	}
	w.after(timeout, func() { answer(executor.Answer{Verdict: executor.Unknown}) })
	if w.blocked(d.name, k.id) {
		return
	}
	w.after(workerLatency, func() {
		if late := w.delay(k.id, lateOrders); late > 0 && c.Kind != executor.CallPoll {
			w.tracef("%s carries out an order of %s %v later", k.id, d.name, late)
			w.after(late, func() { k.execute(c, func(executor.Answer) {}) })
			return
		}
		k.execute(c, back)
	})
}

// execute carries out an order, unless its fencing token is outdated.
func (k *worker) execute(c executor.Call, back func(executor.Answer)) {
	if c.Token < k.token {
		back(executor.Answer{Verdict: executor.Fenced, Clock: k.clock()})
		return
	}
	if c.Token > k.token {
		k.w.tracef("%s accepts the higher token of %d", k.id, c.Token&(1<<tokenBits-1))
	}
	k.token = c.Token
	k.extendLease(c.Deadline)
	switch c.Kind {
	case executor.CallStart:
		back(executor.Answer{Verdict: k.start(c), Clock: k.clock()})
	case executor.CallStop:
		k.stop(c)
		back(executor.Answer{Verdict: executor.OK, Clock: k.clock()})
	case executor.CallPoll:
		k.poll(c, back)
	}
}

// extendLease extends the lease up to a deadline. It never shortens it.
func (k *worker) extendLease(deadlineMS int64) {
	until := min(time.Duration(deadlineMS-clockStart)*time.Millisecond, k.w.now+maxLease)
	if until <= k.deadline {
		return
	}
	k.deadline, k.lapsed = until, false
	k.w.schedule(until, nil, k.expireLease)
}

// expireLease ends all runs when the lease has lapsed.
func (k *worker) expireLease() {
	if k.w.now < k.deadline || k.lapsed {
		return
	}
	k.lapsed = true
	k.leaseLapses++
	for _, id := range k.runningIDs() {
		k.end(k.running[id], "lapsed")
	}
}

func (k *worker) start(c executor.Call) executor.Verdict {
	if r := k.running[c.ID]; r != nil && r.num == c.Run {
		return executor.OK
	}
	switch {
	case c.Deadline < k.clock():
		return executor.Late
	case c.Run <= k.endedRuns[c.ID] || k.running[c.ID] != nil:
		return executor.Outdated
	case len(k.running) > 0:
		return executor.Full
	}
	r := &run{id: c.ID, num: c.Run, startedAt: k.w.now}
	k.running[c.ID] = r
	k.w.checker.recordStart(k, r)
	k.w.after(k.w.scenario.base.runTime(c.ID), func() { k.end(r, "done") })
	return executor.OK
}

func (k *worker) stop(c executor.Call) {
	k.endedRuns[c.ID] = max(k.endedRuns[c.ID], c.Run)
	if r := k.running[c.ID]; r != nil && r.num <= c.Run && !r.stopping {
		r.stopping = true
		k.w.tracef("%s gets a stop of %s run %d", k.id, c.ID, r.num)
		k.w.after(stopDuration, func() { k.end(r, "stopped") })
	}
}

func (k *worker) end(r *run, how string) {
	if k.running[r.id] != r {
		return
	}
	delete(k.running, r.id)
	k.w.checker.recordEnd(k, r, how)
	k.endedRuns[r.id] = max(k.endedRuns[r.id], r.num)
	k.lastCompletion++
	k.completions = append(k.completions, completion{executor.Completion{
		Number: k.lastCompletion, RunningTask: task.RunningTask{ID: r.id, Run: r.num, Done: how == "done"}, Result: how,
	}, k.leaseLapses})
	waiting := k.polls
	k.polls = nil
	for _, p := range waiting {
		k.poll(p.call, p.answer)
	}
}

// poll drops the completions that the executor acknowledges. It answers with the remaining ones and
// the running tasks: at once if there are any completions, else when a run ends or the wait is over.
func (k *worker) poll(c executor.Call, back func(executor.Answer)) {
	for len(k.completions) > 0 && k.completions[0].Number <= c.Acknowledge {
		if e := k.completions[0]; e.Done && e.leaseLapses == k.leaseLapses {
			k.w.checker.recordAcknowledged(k, e.ID)
		}
		k.completions = k.completions[1:]
	}
	if len(k.completions) > 0 || c.Wait == 0 {
		back(k.pollAnswer())
		return
	}
	p := &pendingPoll{c, back}
	k.polls = append(k.polls, p)
	k.w.after(c.Wait, func() {
		if i := slices.Index(k.polls, p); i >= 0 {
			k.polls = slices.Delete(k.polls, i, i+1)
			if c.Token < k.token {
				back(executor.Answer{Verdict: executor.Fenced, Clock: k.clock()})
				return
			}
			back(k.pollAnswer())
		}
	})
}

func (k *worker) pollAnswer() executor.Answer {
	a := executor.Answer{Verdict: executor.OK, Clock: k.clock()}
	for _, e := range k.completions {
		a.Completions = append(a.Completions, e.Completion)
	}
	for _, id := range k.runningIDs() {
		r := k.running[id]
		percent := int(100 * (k.w.now - r.startedAt) / k.w.scenario.base.runTime(id))
		a.Running = append(a.Running, executor.ListedRun{RunningTask: task.RunningTask{ID: id, Run: r.num}, Percent: percent})
	}
	return a
}

func (k *worker) runningIDs() []task.ID {
	return slices.SortedFunc(maps.Keys(k.running), compareIDs)
}
