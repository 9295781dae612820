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

// listedEnd is an end on the list of a modeled worker.
type listedEnd struct {
	Completion
	// lapses is how often the worker's lease had lapsed when the run ended.
	lapses int
}

// endsModel has one executor hold a worker that others take from it, while coordinators come,
// go and settle what they have stored.
type endsModel struct {
	*rig
	r      *rand.Rand
	seed   uint64
	token  uint64
	other  bool  // another daemon holds it
	lease  int64 // its end, on the worker's clock
	lapses int
	lapsed bool
	number uint64
	jobs   int
	run    []ListedRun
	ends   []listedEnd
	stored map[task.RunRef]bool
	// over are jobs that are shown as ended.
	over  map[string]bool
	noted int
}

func ref(e Completion) task.RunRef { return task.RunRef{ID: e.ID, Run: e.Run} }

// obey carries out an order and checks what it acknowledges.
func (m *endsModel) obey(c Call) Answer {
	m.lapse()
	if c.Token < m.token {
		return Answer{Verdict: Fenced, Clock: m.clock()}
	}
	m.token, m.lease, m.other = c.Token, max(m.lease, c.Deadline), false
	a := Answer{Verdict: OK, Clock: m.clock()}
	switch c.Kind {
	case CallStart:
		m.run = append(m.run, listing(c.ID, c.Run)...)
	case CallStop:
		m.end(c.ID, "stopped")
	case CallPoll:
		for len(m.ends) > 0 && m.ends[0].Number <= c.Acknowledge {
			m.note(m.ends[0])
			m.ends = m.ends[1:]
		}
		a.Running = slices.Clone(m.run)
		for _, e := range m.ends {
			a.Completions = append(a.Completions, e.Completion)
		}
	}
	return a
}

// note checks an acknowledgement: within its lease only an end that is stored may be.
func (m *endsModel) note(e listedEnd) {
	if !e.Done || e.lapses != m.lapses {
		return
	}
	m.noted++
	assert.Assert(m.t, m.stored[ref(e.Completion)], "seed %d at %s: the end of %s is acknowledged and not stored", m.seed, m.now, e.ID)
}

// lapse ends what runs beyond the lease.
func (m *endsModel) lapse() {
	over := m.clock() > m.lease
	if over && !m.lapsed {
		m.lapses++
		for len(m.run) > 0 {
			m.end(m.run[0].ID, "lapsed")
		}
	}
	m.lapsed = over
}

func (m *endsModel) end(id task.ID, how string) {
	at := slices.IndexFunc(m.run, func(l ListedRun) bool { return l.ID == id })
	if at < 0 {
		return
	}
	m.number++
	m.ends = append(m.ends, listedEnd{endOf(m.number, id, m.run[at].Run, how), m.lapses})
	m.run = slices.Delete(m.run, at, at+1)
}

func (m *endsModel) state(job string) JobState {
	if m.over[job] {
		return JobEnded
	}
	return JobOpen
}

// happen lets something happen around the executor.
func (m *endsModel) happen() {
	owner := []member.Process{ownerA, ownerB}[m.r.IntN(2)]
	job := fmt.Sprint(max(m.jobs-m.r.IntN(4), 0))
	if len(m.ends) > 0 {
		job = m.ends[m.r.IntN(len(m.ends))].ID.Job
	}
	id := task.ID{Job: job}
	switch what := m.r.IntN(40); {
	case what < 10:
		m.jobs++
		m.e.Offer(m.now, owner, []task.Task{keptTask(fmt.Sprint(m.jobs), 0)})
	case what < 18:
		if len(m.run) > 0 {
			m.end(m.run[m.r.IntN(len(m.run))].ID, "done")
		}
	case what < 19: // another daemon takes the worker, and goes on with what runs there
		m.rig.token += 10
		m.token, m.other = m.rig.token, true
	case what < 20:
		m.e.HandleOwnerLost(m.now, owner)
	case what < 21:
		m.e.Reconcile(m.now, owner, []string{job})
	case what < 22:
		m.e.WithdrawDurable(m.now, owner, []task.ID{id})
	case what < 24: // by another run
		m.over[job] = true
	default:
		if len(m.ends) > 0 {
			end := ref(m.ends[m.r.IntN(len(m.ends))].Completion)
			m.stored[end] = true
			m.e.ConfirmStored(m.now, []task.RunRef{end})
		}
	}
}

// A worker changes hands while ends are held: one that nobody has stored is acknowledged within its lease.
func TestOnlyStoredEndsAreAcknowledged(t *testing.T) {
	noted := 0
	for seed := range uint64(150) {
		m := &endsModel{rig: newRig(t), r: rand.New(rand.NewPCG(seed, 2)), seed: seed, stored: make(map[task.RunRef]bool), over: make(map[string]bool)}
		m.e.SetWorkers(m.now, []WorkerInfo{workerNamed("w")})
		for i := range 800 {
			m.pass(25 * time.Millisecond)
			if m.other {
				m.lapse()
				m.lease = m.clock() + testLease.Milliseconds()
			}
			if i%10 == 0 {
				m.e.ApplyJobStates(m.now, m.now, m.state)
			}
			if m.r.IntN(4) == 0 {
				m.happen()
			}
			m.drain()
			for _, a := range m.asked {
				m.e.ExpectClaims(m.now, a.Worker, nil)
			}
			m.asked = nil
			calls := m.calls
			m.calls = nil
			for _, c := range calls {
				m.answer(c, m.obey(c))
			}
		}
		noted += m.noted
	}
	assert.Assert(t, noted > 100, "%d ends were acknowledged in their leases", noted)
}
