package executor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// modelIncarnation is one incarnation of a modeled worker. It behaves as the workers' interface
// promises.
type modelIncarnation struct {
	startedAt, clockZero time.Duration
	token                uint64
	running              map[task.ID]uint32
	completions          []Completion
	endedRuns            map[task.ID]uint32
	number               uint64
}

func newModelIncarnation(now time.Duration) *modelIncarnation {
	return &modelIncarnation{startedAt: now, clockZero: now, running: make(map[task.ID]uint32), endedRuns: make(map[task.ID]uint32)}
}

// restartModel runs one executor with workers that crash and restart under their IDs, while orders
// and answers are lost, late, and overtake each other.
type restartModel struct {
	t       *testing.T
	r       *rand.Rand
	seed    uint64
	now     time.Duration
	e       *Executor
	workers map[string]*modelIncarnation
	// deliveries are the orders and answers under way, in any order of emission.
	deliveries []delivery
	// runs is the latest run number of each task that is not done. done are the tasks reported as
	// done. completedRuns counts the runs of each task that succeeded on a worker.
	runs          map[task.ID]uint32
	done          map[task.ID]bool
	completedRuns map[task.ID]int
	stepsTaken    int
	violation     string
}

type delivery struct {
	at time.Duration
	do func()
}

func newRestartModel(t *testing.T, seed uint64) *restartModel {
	m := &restartModel{
		t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 1)), now: time.Second, workers: make(map[string]*modelIncarnation),
		runs: make(map[task.ID]uint32), done: make(map[task.ID]bool), completedRuns: make(map[task.ID]int),
	}
	token := uint64(0)
	m.e = New(Config{Lease: testLease, MaxLease: time.Second, StopTimeout: testStop, TokenSource: func() uint64 { token += 10; return token }})
	var infos []WorkerInfo
	for _, id := range []string{"u", "v"} {
		m.workers[id] = newModelIncarnation(m.now)
		infos = append(infos, withIncarnation(id, int64(m.now)))
	}
	m.e.SetWorkers(m.now, infos)
	return m
}

// later schedules f.
func (m *restartModel) later(d time.Duration, f func()) {
	m.deliveries = append(m.deliveries, delivery{m.now + d, f})
}

// send delivers an order to whatever incarnation its worker has when the order arrives.
func (m *restartModel) send(c Call) {
	lost := Answer{Verdict: Unknown}
	delay := time.Duration(1+m.r.IntN(3)) * time.Millisecond
	chance := m.r.IntN(100)
	answer := func(a Answer, after time.Duration) {
		m.later(after, func() { m.e.HandleAnswer(m.now, c, a) })
	}
	switch {
	case c.Kind == CallStart && chance < 25: // carried out late, and not answered
		m.later(time.Duration(m.r.IntN(600))*time.Millisecond, func() { m.obeyLate(c) })
		answer(lost, 40*time.Millisecond)
	case c.Kind == CallStart && chance < 40: // carried out, and the answer is lost
		m.later(delay, func() { m.obey(c) })
		answer(lost, 40*time.Millisecond)
	case c.Kind == CallStop && chance < 10:
		answer(lost, 40*time.Millisecond)
	default:
		m.later(delay, func() { answer(m.obey(c), delay) })
	}
}

// obeyLate carries out a delayed start. The start is lost if the old incarnation has decided its
// run and it reaches the new incarnation before the executor does: nothing could make the new one
// refuse it.
func (m *restartModel) obeyLate(c Call) {
	decided := m.runs[c.ID] > c.Run || m.done[c.ID]
	if decided && m.workers[c.Worker].token <= c.Token && int64(c.sentAt) < int64(m.workers[c.Worker].startedAt) {
		return
	}
	m.obey(c)
}

// obey carries out an order.
func (m *restartModel) obey(c Call) Answer {
	l := m.workers[c.Worker]
	clockMS := (m.now - l.clockZero).Milliseconds() + 1
	if c.Token < l.token {
		return Answer{Verdict: Fenced, Clock: clockMS}
	}
	l.token = c.Token
	a := Answer{Verdict: OK, Clock: clockMS}
	switch c.Kind {
	case CallStart:
		return m.begin(l, c, clockMS)
	case CallStop:
		if run, ok := l.running[c.ID]; ok && run <= c.Run {
			l.end(c.ID, "stopped")
		}
		l.endedRuns[c.ID] = max(l.endedRuns[c.ID], c.Run)
	case CallPoll:
		l.completions = slices.DeleteFunc(l.completions, func(e Completion) bool { return e.Number <= c.Acknowledge })
		a.Incarnation, a.Completions = int64(l.startedAt), slices.Clone(l.completions)
		for id, run := range l.running {
			a.Running = append(a.Running, ListedRun{RunningTask: task.RunningTask{ID: id, Run: run}})
		}
	}
	return a
}

// begin starts a run, and notes a violation if its task runs elsewhere or was done before.
func (m *restartModel) begin(l *modelIncarnation, c Call, clockMS int64) Answer {
	if run, ok := l.running[c.ID]; ok && run == c.Run {
		return Answer{Verdict: OK, Clock: clockMS}
	}
	if _, ok := l.running[c.ID]; ok || c.Run <= l.endedRuns[c.ID] {
		return Answer{Verdict: Outdated, Clock: clockMS}
	}
	if c.Deadline < clockMS {
		return Answer{Verdict: Late, Clock: clockMS}
	}
	for id, other := range m.workers {
		if _, ok := other.running[c.ID]; ok {
			m.fail("task %s run %d begins on %s while it runs on %s", c.ID, c.Run, c.Worker, id)
		}
	}
	if m.completedRuns[c.ID] > 0 {
		m.fail("task %s begins again after it was done", c.ID)
	}
	l.running[c.ID] = c.Run
	m.later(time.Duration(20+m.r.IntN(300))*time.Millisecond, func() {
		if run, ok := l.running[c.ID]; ok && run == c.Run && m.workers[c.Worker] == l {
			m.completedRuns[c.ID]++
			l.end(c.ID, "done")
		}
	})
	return Answer{Verdict: OK, Clock: clockMS}
}

func (l *modelIncarnation) end(id task.ID, result string) {
	l.number++
	l.completions = append(l.completions, completionOf(l.number, id, l.running[id], result))
	l.endedRuns[id] = max(l.endedRuns[id], l.running[id])
	delete(l.running, id)
}

// fail notes the first violation.
func (m *restartModel) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("seed %d at %s: ", m.seed, m.now) + fmt.Sprintf(format, args...)
	}
}

// crash replaces a worker's incarnation. Completions that the executor has not read are lost, and their tasks
// may run again. The registry entry shows the new incarnation sooner or later than lists do.
func (m *restartModel) crash(id string) {
	l := m.workers[id]
	for _, e := range l.completions {
		if e.Done && !m.done[e.ID] {
			m.completedRuns[e.ID]--
		}
	}
	m.workers[id] = newModelIncarnation(m.now)
	info := withIncarnation(id, int64(m.now))
	m.later(time.Duration(m.r.IntN(400))*time.Millisecond, func() { m.e.Update(m.now, info) })
}

// step advances the time by a millisecond.
func (m *restartModel) step() {
	m.now += time.Millisecond
	m.stepsTaken++
	for i := 0; i < len(m.deliveries); i++ {
		if d := m.deliveries[i]; d.at <= m.now {
			m.deliveries = slices.Delete(m.deliveries, i, i+1)
			d.do()
			i = -1
		}
	}
	if m.stepsTaken%25 == 0 {
		m.e.Tick(m.now)
	}
	o := m.e.Drain()
	for _, report := range o.Reports {
		m.handleReport(report.Report)
	}
	for _, t := range o.Takeovers {
		m.claim(t)
	}
	for _, c := range o.Calls {
		m.send(c)
	}
}

// claim answers a takeover for the only coordinator.
func (m *restartModel) claim(t Takeover) {
	m.e.ExpectClaims(m.now, t.Worker, []member.Process{ownerA})
	c := Claims{Owner: ownerA, Worker: t.Worker}
	for _, r := range t.Running {
		if m.runs[r.ID] == r.Run && !m.done[r.ID] {
			one := testTask(r.ID.Job, r.ID.Index)
			one.Run = r.Run
			c.Tasks = append(c.Tasks, one)
		}
	}
	m.e.HandleClaims(m.now, c)
}

func (m *restartModel) handleReport(r task.Report) {
	if r.Run < m.runs[r.ID] || m.done[r.ID] {
		return
	}
	m.runs[r.ID] = r.Run
	switch r.Outcome {
	case task.Done:
		m.done[r.ID] = true
	case task.Terminated, task.NotRun, task.Failed, task.Moved:
		m.offer(r.ID)
	}
}

func (m *restartModel) offer(id task.ID) {
	one := testTask(id.Job, id.Index)
	m.runs[id]++
	one.Run = m.runs[id]
	m.e.Offer(m.now, ownerA, []task.Task{one})
}

// Workers crash and restart under their IDs at any moment between an order and its effect, a
// completion and its acknowledgement, a list and an entry. No task may run twice at a time or start
// again after its completion was listed, and each task has to be done in the end.
func TestIncarnationsUnderOneID(t *testing.T) {
	for seed := range uint64(400) {
		m := newRestartModel(t, seed)
		for n := range 4 {
			m.offer(task.ID{Job: fmt.Sprint("job", n)})
		}
		for m.now < 5*time.Second {
			if m.now < 3*time.Second && m.r.IntN(400) == 0 {
				m.crash([]string{"u", "v"}[m.r.IntN(2)])
			}
			m.step()
		}
		assert.Equal(t, m.violation, "")
		assert.Equal(t, len(m.done), 4, "seed %d: tasks are lost", seed)
	}
}
