package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/task"
)

func inDomain(id, domain string) WorkerInfo {
	w := workerNamed(id)
	w.Domain = domain
	return w
}

// holdIn makes the executor hold one worker in each failure domain. The worker's ID is the domain's
// name.
func (r *rig) holdIn(domains ...string) {
	r.t.Helper()
	var infos []WorkerInfo
	for _, d := range domains {
		infos = append(infos, inDomain(d, d))
	}
	r.e.SetWorkers(r.now, infos)
	r.advance(25 * time.Millisecond)
	for _, d := range domains {
		r.answer(r.takeCall(CallPoll, d), Answer{Verdict: OK})
		r.e.ExpectClaims(r.now, d, nil)
	}
	r.drain()
}

// An operator retires a failure domain while a task runs there and others wait. Nothing more may
// start there: its workers are being emptied, and a new run would be cut off with them. The running
// task has to finish, and waiting tasks have to start elsewhere.
func TestRetiredDomainGetsNoNewRuns(t *testing.T) {
	r := newRig(t)
	r.holdIn("a", "b")
	first := r.startTask(ownerA, testTask("j", 0))
	retired := first.Worker
	other := map[string]string{"a": "b", "b": "a"}[retired]
	r.e.RetireDomains(r.now, map[string]bool{retired: true})
	for i := range uint32(2) {
		assert.Equal(t, r.startTask(ownerA, testTask("k", i)).Worker, other)
	}
	r.e.Offer(r.now, ownerA, []task.Task{testTask("l", 0)})
	r.advance(50 * time.Millisecond)
	assert.Assert(t, !r.hasCall(CallStart), "the other worker is full")
	for _, capacity := range r.e.WorkerCapacities(r.now) {
		assert.Equal(t, capacity.Usable, capacity.Worker == other)
		assert.Equal(t, capacity.Domain, capacity.Worker)
	}
	r.answer(r.takeCall(CallPoll, retired), Answer{Verdict: OK, Completions: []Completion{completionOf(1, first.ID, first.Run, "done")}})
	assert.Equal(t, r.outcomes(ownerA, first.ID), "started done ")
	r.advance(50 * time.Millisecond)
	assert.Assert(t, !r.hasCall(CallStart), "capacity on a retired worker must not count")

	r.e.RetireDomains(r.now, nil)
	assert.Equal(t, r.takeCall(CallStart, retired).ID.Job, "l", "reinstated: the waiting task starts at once")
}

// All workers of an executor are retired. It has to return waiting tasks at once and not when they
// are late, so that their coordinators find capacity in other domains.
func TestWaitingTasksOfRetiredDomainAreReturned(t *testing.T) {
	r := newRig(t)
	r.holdIn("a")
	r.startTask(ownerA, testTask("j", 0))
	r.startTask(ownerA, testTask("j", 1))
	waits := testTask("k", 0)
	r.e.Offer(r.now, ownerA, []task.Task{waits})
	assert.Equal(t, r.outcomes(ownerA, waits.ID), "")
	r.e.RetireDomains(r.now, map[string]bool{"a": true})
	assert.Equal(t, r.outcomes(ownerA, waits.ID), "not_run ")
}

// A worker that a new process takes, or that restarts under the same ID, is in a failure domain
// that was retired before. It must get no runs either.
func TestNewWorkerOfRetiredDomainGetsNoRuns(t *testing.T) {
	r := newRig(t)
	r.e.RetireDomains(r.now, map[string]bool{"a": true})
	r.holdIn("a")
	late := testTask("j", 0)
	r.e.Offer(r.now, ownerA, []task.Task{late})
	assert.Equal(t, r.outcomes(ownerA, late.ID), "not_run ")
	r.e.Update(r.now, inDomain("a", "a"))
	assert.Assert(t, !r.e.WorkerCapacities(r.now)[0].Usable)
}

// A worker refuses a start as it has seen a higher run number, and its domain was retired
// meanwhile. The executor must not try the next number: that would be a new start.
func TestRefusedStartIsNotRepeatedInARetiredDomain(t *testing.T) {
	r := newRig(t)
	r.holdIn("a")
	x := testTask("j", 0)
	r.e.Offer(r.now, ownerA, []task.Task{x})
	c := r.takeCall(CallStart, "a")
	r.e.RetireDomains(r.now, map[string]bool{"a": true})
	r.answer(c, Answer{Verdict: Outdated})
	assert.Assert(t, !r.hasCall(CallStart))
	assert.Equal(t, r.outcomes(ownerA, x.ID), "not_run ")
}
