package sched

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/lavendercleat/lavendercleat/slot"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// Scheduler is the state machine of one entry; see the package documentation.
type Scheduler struct {
	config  Config
	random  *rand.Rand
	workers map[string]*worker
	// workerList holds the workers in the order of SetWorkers.
	workerList []*worker
	index      [classes]index
	capacities capacities

	jobs map[JobKey]*job
	// runs holds every started task until HandleOutcome, including tasks whose job has
	// ended: those still occupy their slots.
	runs     map[runKey]*run
	kinds    map[string]*kind
	kindList []*kind
	levels   [levels]level
	// waiting is the number of tasks in the queues.
	waiting int
	pass    uint64
	budget  retryBudget

	peers  []*peer
	ledger *slot.Ledger
	// hintTurn is the position in peers of the peer that gets a hint first.
	hintTurn int
	timers   timers
	ready    Ready
	// startsPaused prevents task starts; see PauseStarts.
	startsPaused bool
}

// New returns a scheduler without workers.
func New(c Config) *Scheduler {
	s := &Scheduler{
		config:  c,
		random:  rand.New(rand.NewPCG(c.Seed, c.Seed)),
		workers: make(map[string]*worker),
		jobs:    make(map[JobKey]*job),
		runs:    make(map[runKey]*run),
		kinds:   make(map[string]*kind),
		ledger:  slot.NewLedger(),
		budget:  retryBudget{tokens: c.RetryBurst},
	}
	for i := range s.levels {
		s.levels[i].teams = make(map[string]*team)
	}
	return s
}

// Submit admits a job or refuses it with a NotRun failure.
func (s *Scheduler) Submit(now time.Duration, j Job) *verdict.Failure {
	s.fireTimers(now)
	k := s.updateKind(&j)
	if refusal := s.admit(now, &j, k); refusal != nil {
		return refusal
	}
	admitted := newJob(now, j, k)
	left := j.Deadline - now
	admitted.promoteAt = now + time.Duration(s.config.PromoteAfterFraction*float64(left))
	s.jobs[j.Key] = admitted
	admitted.timer = s.setTimer(admitted.promoteAt, func(now time.Duration) { s.promote(now, admitted) })
	s.enqueue(now, admitted)
	s.schedule(now)
	return nil
}

// expire fails a job whose deadline has passed.
func (s *Scheduler) expire(j *job) {
	s.failJob(j, verdict.New(j.verdict(), verdict.DeadlineExceeded, "the deadline passed with %d of %d tasks complete", j.completed, j.Tasks))
}

// schedule starts waiting tasks on free slots. If tasks still wait, it asks peers for
// slots; if none wait, it sends hints to peers that lack slots.
func (s *Scheduler) schedule(now time.Duration) {
	if s.startsPaused {
		return
	}
	s.pass++
	for s.waiting > 0 && s.anyFree() {
		q := s.nextQueue(s.pass)
		if q == nil {
			break
		}
		j := q.jobs[0]
		var g *grant
		if j.kind.startable() > 0 {
			g = s.pick(now, j)
		}
		if g == nil {
			q.blockedInPass = s.pass
			continue
		}
		s.start(now, j, g)
	}
	if s.waiting > 0 {
		s.borrow(now)
	} else {
		s.sendHints()
	}
}

// start starts a job's next task on a worker.
func (s *Scheduler) start(now time.Duration, j *job, g *grant) {
	// After a freeze of the process, the deadline of a waiting job may have passed
	// before its timer fires. The caller has given up and may have submitted the job
	// again, so its tasks must not start.
	if now >= j.Deadline {
		s.failJob(j, verdict.New(j.verdict(), verdict.DeadlineExceeded, "the deadline passed with %d of %d tasks not started", len(j.waiting), j.Tasks))
		return
	}
	task := s.takeTask(j)
	j.attempts[task]++
	st := Start{Job: j.Key, Task: task, Worker: g.worker.Address, Attempt: int(j.attempts[task])}
	if st.Attempt == 1 {
		s.budget.earn(s.config)
	}
	r := &run{start: st, grant: g, kind: j.kind, startedAt: now}
	s.runs[runKey{j.Key, task}] = r
	j.running[task] = r
	j.kind.running++
	g.running++
	g.worker.running++
	s.reindex(g.worker)
	r.tookLastSlot = g.worker.withheld == 0 && g.free() == 0
	s.ready.Starts = append(s.ready.Starts, st)
}

// takeTask removes and returns the next waiting task of a job.
func (s *Scheduler) takeTask(j *job) int {
	j.queue.team.charge(j.kind)
	task := j.waiting[len(j.waiting)-1]
	s.addWaiting(j, -1)
	j.waiting = j.waiting[:len(j.waiting)-1]
	if len(j.waiting) == 0 {
		s.dequeue(j)
		return task
	}
	j.dueAt = s.dueTime(j)
	heap.Fix(j.queue, j.heapIndex)
	return task
}

// releaseSlot frees the slot of a task that has ended.
func (s *Scheduler) releaseSlot(now time.Duration, g *grant) {
	g.running--
	g.worker.running--
	g.idleSince = now
	s.reindex(g.worker)
}

// Cancel ends a job on behalf of its caller.
func (s *Scheduler) Cancel(now time.Duration, key JobKey) {
	if j := s.jobs[key]; j != nil {
		s.failJob(j, verdict.New(j.verdict(), verdict.Canceled, "canceled by the caller"))
		s.schedule(now)
	}
}

// Tick processes the passage of time: it handles due deadlines, backoffs and loan terms,
// and then starts what can start.
func (s *Scheduler) Tick(now time.Duration) {
	s.fireTimers(now)
	s.expireLent(now)
	s.maintainLoans(now)
	s.schedule(now)
}

// Ready returns the commands decided since the last call.
func (s *Scheduler) Ready() Ready {
	r := s.ready
	s.ready = Ready{}
	return r
}
