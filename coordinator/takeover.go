package coordinator

import (
	"fmt"
	"maps"
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// takeover is the takeover of a worker by an executor, with what the worker listed.
type takeover struct {
	successor  member.Process
	receivedAt time.Duration
	// running holds the numbers of the runs that the worker listed at the takeover, by task.
	running map[task.ID]uint32
	// token is the fencing token of the holding epoch; 0: not reported. reconciled: the list answers a
	// reconciliation and is later than the beginning of the epoch.
	token      uint64
	reconciled bool
	// incomplete: the worker may have ended runs that the list does not show yet.
	incomplete bool
}

// laterThan reports whether the list is later than all starts in the holding epoch of the given fencing
// token: a worker refuses such starts once it has listed its runs under a higher token. Daemons of earlier
// versions report no tokens; their takeovers count for takeoverRetention.
func (s takeover) laterThan(now time.Duration, token uint64) bool {
	if s.token == 0 || token == 0 {
		return s.receivedAt > 0 && now-s.receivedAt <= takeoverRetention
	}
	return s.token > token || s.reconciled && s.token == token
}

// earlierThan reports whether the list is earlier than the holding epoch of the given fencing token.
func (s takeover) earlierThan(token uint64) bool { return s.token > 0 && s.token < token }

// claimFromSuccessor claims a task from a successor whose takeover was handled before the report that
// the task had run on the worker. The successor may have stopped the run as unclaimed meanwhile; then it
// reports the run's end. The executor that reports the loss is not asked, in case it is the
// successor and has lost the worker again: it would report "moved" again and again.
func (c *Coordinator) claimFromSuccessor(now time.Duration, from member.Process, t *jobTask) {
	s := c.latestTakeovers[t.worker]
	if s.successor == from || !s.laterThan(now, t.token) || c.executors.get(s.successor) == nil {
		return
	}
	t.state, t.holder, t.token, t.MaxEpoch = offered, s.successor, s.token, c.executors.maxEpoch(s.successor)
	c.event("task_claimed", t, "late")
	c.out.Messages = append(c.out.Messages, Message{To: s.successor, Claims: &executor.Claims{
		Owner: c.self, Worker: t.worker, Tasks: []task.Task{t.Task},
	}})
}

// HandleExecutorLost handles the loss of an executor that left or is unreachable. It claims the
// executor's runs from the successors that took its workers over.
func (c *Coordinator) HandleExecutorLost(now time.Duration, p member.Process) {
	tokens := c.workersOf(p)
	workers := maps.Clone(tokens)
	maps.DeleteFunc(workers, func(w string, token uint64) bool {
		s := c.latestTakeovers[w]
		return s.successor != p && !s.incomplete && s.laterThan(now, token)
	})
	if h := c.executors.get(p); h != nil {
		c.executors.slowdowns.retain(now, h)
	}
	c.executors.remove(p)
	c.startStopTimeout(now, p)
	affected := 0
	for _, j := range c.sortedJobs() {
		for _, t := range j.tasks {
			if t.state == offered && t.holder == p {
				affected++
				c.markLost(now, t)
				c.findSuccessor(now, p, t, tokens)
			}
		}
	}
	if affected > 0 {
		c.out.Events = append(c.out.Events, executor.Event{
			Name: "executor_lost", Detail: fmt.Sprintf("address=%s tasks=%d workers=%d", p.Address, affected, len(workers)),
		})
		c.awaitingTakeover[p] = workers
		c.resolveLostExecutor(now, p)
	}
}

// workersOf returns the workers on which an executor may run what it was offered, with the fencing
// tokens of its holding epochs.
func (c *Coordinator) workersOf(p member.Process) map[string]uint64 {
	workers := make(map[string]uint64)
	if h := c.executors.get(p); h != nil {
		for _, r := range h.Workers {
			workers[r.Worker] = r.Token
		}
	}
	for w, s := range c.latestTakeovers {
		if s.successor == p {
			workers[w] = max(workers[w], s.token) // it may have taken the worker over since its last heartbeat
		}
	}
	return workers
}

// dropOldTakeovers drops takeovers that are no longer needed, because heartbeats have reported the holders
// of the workers since then.
func (c *Coordinator) dropOldTakeovers(now time.Duration) {
	for w, s := range c.latestTakeovers {
		if now-s.receivedAt > 5*takeoverRetention {
			delete(c.latestTakeovers, w)
		}
	}
}

// findSuccessor claims a lost task from a daemon that noticed the loss earlier.
func (c *Coordinator) findSuccessor(now time.Duration, lostHolder member.Process, t *jobTask, tokens map[string]uint64) {
	if t.worker == "" {
		for w, s := range c.latestTakeovers {
			if run, ok := s.running[t.ID]; ok && run == t.Run && s.successor != lostHolder && s.laterThan(now, tokens[w]) {
				t.worker, t.token = w, tokens[w]
			}
		}
	}
	c.claimFromSuccessor(now, lostHolder, t)
}

// HandleTakeover handles the takeover of a worker. It answers with claims, at once or when the runs
// that the worker lists are known.
func (c *Coordinator) HandleTakeover(now time.Duration, from member.Process, t executor.Takeover) {
	c.dropOldTakeovers(now)
	c.executors.addEpoch(from, t)
	if s := newTakeover(now, from, t); !s.earlierThan(c.latestTakeovers[t.Worker].token) {
		c.latestTakeovers[t.Worker] = s
	}
	if c.hasUnconfirmedRun(t) {
		c.pendingTakeovers = append(c.pendingTakeovers, pendingTakeover{from, t, now})
		return
	}
	c.answerTakeover(now, from, t)
}

func newTakeover(now time.Duration, from member.Process, t executor.Takeover) takeover {
	running := make(map[task.ID]uint32)
	for _, r := range t.Running {
		running[r.ID] = r.Run
	}
	return takeover{from, now, running, t.Token, t.Reconciliation, t.Incomplete}
}

// answerTakeover claims this coordinator's runs that the worker lists, and restarts its tasks that the
// worker does not list any more.
func (c *Coordinator) answerTakeover(now time.Duration, from member.Process, t executor.Takeover) {
	s := newTakeover(now, from, t)
	claims := executor.Claims{Owner: c.self, Worker: t.Worker}
	for _, r := range t.Running {
		if jt := c.lookup(r.ID); jt != nil && jt.Run <= r.Run && c.mayBeListedRun(s, t.Worker, jt) {
			c.markStarted(c.jobs[r.ID.Job])
			jt.Run, jt.state, jt.holder, jt.worker, jt.unknownRuns = r.Run, offered, from, t.Worker, false
			jt.token = t.Token
			jt.MaxEpoch = c.executors.maxEpoch(from)
			claims.Tasks = append(claims.Tasks, jt.Task)
			c.event("task_claimed", jt, "running")
		}
	}
	for _, r := range t.Completed {
		c.handleEarlierCompletion(now, s, t.Worker, r)
	}
	if s.incomplete {
		c.awaitRestOfList(now, t.Worker)
	} else {
		for _, j := range c.sortedJobs() {
			c.restartUnlisted(now, j, t.Worker, s)
		}
		c.resolveLostExecutors(now, t.Worker, s)
	}
	c.out.Messages = append(c.out.Messages, Message{To: from, Claims: &claims})
}

// awaitRestOfList keeps lost durable tasks that may have ended on a worker from being restarted: its list is
// incomplete. The executor sends another one, and answers each reconciliation meanwhile.
func (c *Coordinator) awaitRestOfList(now time.Duration, workerID string) {
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if t.Durable && t.state == lost && (t.worker == "" || t.worker == workerID) {
				t.lostDeadline = max(t.lostDeadline, now+resumeWait)
			}
		}
	}
}

// mayBeListedRun reports whether a listed run under the task's number may be a run of the task.
func (c *Coordinator) mayBeListedRun(s takeover, workerID string, t *jobTask) bool {
	switch {
	case t.worker == workerID:
		return (t.state == lost || t.state == offered) && !s.earlierThan(t.token)
	case t.worker == "":
		return t.state == lost && !s.earlierThan(c.awaitingTakeover[t.holder][workerID])
	default:
		return t.state == lost
	}
}

// handleEarlierCompletion handles a completion that the worker recorded for an earlier holder.
func (c *Coordinator) handleEarlierCompletion(now time.Duration, s takeover, workerID string, r task.RunningTask) {
	t := c.lookup(r.ID)
	if t != nil && t.Durable {
		c.handleDurableCompletion(now, s.successor, t, workerID, r)
		return
	}
	if t == nil || t.Run != r.Run || t.state != lost && (t.state != offered || t.worker != workerID) {
		return
	}
	// A run that is not known to have been on the worker at that time may belong to an earlier attempt
	// of the caller, under the same number. Its completion proves that the work is done, but its
	// failure or end does not prove that our run is over.
	if !r.Done && (t.worker != workerID || !s.laterThan(now, t.token)) {
		return
	}
	j := c.jobs[r.ID.Job]
	report := task.Report{ID: r.ID, Run: r.Run, Worker: workerID, Outcome: task.Terminated, Reason: "ended_before_takeover"}
	switch {
	case r.Done:
		c.taskDone(now, j, t)
	case r.Failed:
		c.taskFailed(now, j, t, report)
	default:
		c.restart(now, j, t, report)
	}
}

// restartUnlisted restarts lost tasks that ran on the worker and are missing from its later list.
func (c *Coordinator) restartUnlisted(now time.Duration, j *job, workerID string, s takeover) {
	for _, t := range j.tasks {
		if j.ended {
			return
		}
		if _, ok := s.running[t.ID]; ok || t.worker != workerID || t.state != lost || !s.laterThan(now, t.token) {
			continue
		}
		c.restart(now, j, t, task.Report{ID: t.ID, Run: t.Run, Worker: workerID, Outcome: task.Terminated, Reason: "not_listed_at_takeover"})
	}
}

// resolveLostExecutors removes a worker from those that await takeover, and restarts what was queued at
// a lost executor once all its workers were taken over and none of them lists the task.
func (c *Coordinator) resolveLostExecutors(now time.Duration, workerID string, s takeover) {
	for p, workers := range c.awaitingTakeover {
		if token, ok := workers[workerID]; ok && s.laterThan(now, token) {
			delete(workers, workerID)
		}
		c.resolveLostExecutor(now, p)
	}
}

// resolveLostExecutor restarts what was queued at one lost executor, once all its workers were taken
// over and none of them lists the task.
func (c *Coordinator) resolveLostExecutor(now time.Duration, p member.Process) {
	if workers, ok := c.awaitingTakeover[p]; !ok || len(workers) > 0 {
		return
	}
	delete(c.awaitingTakeover, p)
	for _, j := range c.sortedJobs() {
		for _, t := range j.tasks {
			if !j.ended && t.state == lost && t.holder == p && t.worker == "" {
				c.restart(now, j, t, task.Report{ID: t.ID, Run: t.Run, Outcome: task.Terminated, Reason: "holder_succeeded"})
			}
		}
	}
}
