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

// modelCompletion is a completion in the list of a modeled worker.
type modelCompletion struct {
	Completion
	// leaseExpiries is how often the worker's lease had expired when the run ended.
	leaseExpiries int
}

// completionModel runs one executor that holds a worker. Other holders take the worker, and
// coordinators are lost, return and confirm what they have stored.
type completionModel struct {
	*rig
	r             *rand.Rand
	seed          uint64
	token         uint64
	heldByOther   bool  // another daemon holds it
	lease         int64 // its end, on the worker's clock
	leaseExpiries int
	leaseExpired  bool
	number        uint64
	jobs          int
	running       []ListedRun
	completions   []modelCompletion
	stored        map[task.RunRef]bool
	// endedJobs are the jobs that the store shows as ended.
	endedJobs           map[string]bool
	acknowledgedInLease int
}

func ref(e Completion) task.RunRef { return task.RunRef{ID: e.ID, Run: e.Run} }

// obey carries out an order and checks the completions that it acknowledges.
func (m *completionModel) obey(c Call) Answer {
	m.expireLease()
	if c.Token < m.token {
		return Answer{Verdict: Fenced, Clock: m.clock()}
	}
	m.token, m.lease, m.heldByOther = c.Token, max(m.lease, c.Deadline), false
	a := Answer{Verdict: OK, Clock: m.clock()}
	switch c.Kind {
	case CallStart:
		m.running = append(m.running, listing(c.ID, c.Run)...)
	case CallStop:
		m.end(c.ID, "stopped")
	case CallPoll:
		for len(m.completions) > 0 && m.completions[0].Number <= c.Acknowledge {
			m.checkAcknowledged(m.completions[0])
			m.completions = m.completions[1:]
		}
		a.Running = slices.Clone(m.running)
		for _, e := range m.completions {
			a.Completions = append(a.Completions, e.Completion)
		}
	}
	return a
}

// checkAcknowledged checks an acknowledgement: within the lease only a stored completion may get one.
func (m *completionModel) checkAcknowledged(e modelCompletion) {
	if !e.Done || e.leaseExpiries != m.leaseExpiries {
		return
	}
	m.acknowledgedInLease++
	assert.Assert(m.t, m.stored[ref(e.Completion)], "seed %d at %s: the completion of %s is acknowledged and not stored", m.seed, m.now, e.ID)
}

// expireLease ends the worker's runs if its lease has expired.
func (m *completionModel) expireLease() {
	over := m.clock() > m.lease
	if over && !m.leaseExpired {
		m.leaseExpiries++
		for len(m.running) > 0 {
			m.end(m.running[0].ID, "lapsed")
		}
	}
	m.leaseExpired = over
}

func (m *completionModel) end(id task.ID, result string) {
	at := slices.IndexFunc(m.running, func(l ListedRun) bool { return l.ID == id })
	if at < 0 {
		return
	}
	m.number++
	m.completions = append(m.completions, modelCompletion{completionOf(m.number, id, m.running[at].Run, result), m.leaseExpiries})
	m.running = slices.Delete(m.running, at, at+1)
}

func (m *completionModel) state(job string) JobState {
	if m.endedJobs[job] {
		return JobEnded
	}
	return JobOpen
}

// disturb makes a random event happen to the executor: an offer, an end, a takeover, a lost
// coordinator.
func (m *completionModel) disturb() {
	owner := []member.Process{ownerA, ownerB}[m.r.IntN(2)]
	job := fmt.Sprint(max(m.jobs-m.r.IntN(4), 0))
	if len(m.completions) > 0 {
		job = m.completions[m.r.IntN(len(m.completions))].ID.Job
	}
	id := task.ID{Job: job}
	switch event := m.r.IntN(40); {
	case event < 10:
		m.jobs++
		m.e.Offer(m.now, owner, []task.Task{durableTask(fmt.Sprint(m.jobs), 0)})
	case event < 18:
		if len(m.running) > 0 {
			m.end(m.running[m.r.IntN(len(m.running))].ID, "done")
		}
	case event < 19: // another daemon takes the worker, and its runs go on
		m.rig.token += 10
		m.token, m.heldByOther = m.rig.token, true
	case event < 20:
		m.e.HandleOwnerLost(m.now, owner)
	case event < 21:
		m.e.Reconcile(m.now, owner, []task.OwnedJob{{ID: job}})
	case event < 22:
		m.e.WithdrawDurable(m.now, owner, []task.ID{id})
	case event < 24: // another run ended the job
		m.endedJobs[job] = true
	default:
		if len(m.completions) > 0 {
			end := ref(m.completions[m.r.IntN(len(m.completions))].Completion)
			m.stored[end] = true
			m.e.ConfirmStored(m.now, []task.RunRef{end})
		}
	}
}

// A worker changes holders while it has unacknowledged completions. A completion that no
// coordinator has stored must not be acknowledged within its lease.
func TestOnlyStoredCompletionsAreAcknowledged(t *testing.T) {
	acknowledged := 0
	for seed := range uint64(150) {
		m := &completionModel{rig: newRig(t), r: rand.New(rand.NewPCG(seed, 2)), seed: seed, stored: make(map[task.RunRef]bool), endedJobs: make(map[string]bool)}
		m.e.SetWorkers(m.now, []WorkerInfo{workerNamed("w")})
		for i := range 800 {
			m.advance(25 * time.Millisecond)
			if m.heldByOther {
				m.expireLease()
				m.lease = m.clock() + testLease.Milliseconds()
			}
			if i%10 == 0 {
				m.e.ApplyJobStates(m.now, m.now, m.state)
			}
			if m.r.IntN(4) == 0 {
				m.disturb()
			}
			m.drain()
			for _, a := range m.takeovers {
				m.e.ExpectClaims(m.now, a.Worker, nil)
			}
			m.takeovers = nil
			calls := m.calls
			m.calls = nil
			for _, c := range calls {
				m.answer(c, m.obey(c))
			}
		}
		acknowledged += m.acknowledgedInLease
	}
	assert.Assert(t, acknowledged > 100, "%d completions were acknowledged within their leases", acknowledged)
}
