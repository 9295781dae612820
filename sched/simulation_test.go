package sched

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/lavendercleat/lavendercleat/slot"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// simulation runs several schedulers with random workers and messages. Messages are
// delayed, lost and duplicated; workers refuse and fail tasks; jobs are canceled;
// schedulers are frozen.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	events  timers
	entries []*simEntry
	workers map[string]*simWorker
	starts  int
}

type simEntry struct {
	scheduler   *Scheduler
	peer        Peer
	frozenUntil time.Duration
	lastKey     JobKey
	openJobs    map[JobKey]Job
	refused     int
	ended       int
	// tasks is the state of each task: 0 not started, 1 running, 2 may have run.
	tasks map[runKey]int
}

type simWorker struct {
	Worker
	running int
	// mode is 0 to run tasks, 1 to fail them all, 2 to refuse them all.
	mode int
}

func (w *simulation) after(d time.Duration, do func()) {
	heap.Push(&w.events, &timer{at: w.now + d, call: func(time.Duration) { do() }})
}

// onEntry runs an event at an entry after d, or once the entry is no longer frozen.
func (w *simulation) onEntry(e *simEntry, d time.Duration, do func()) {
	w.after(d, func() {
		if wait := e.frozenUntil - w.now; wait > 0 {
			w.onEntry(e, wait, do)
			return
		}
		do()
		w.execute(e)
		w.check(e)
	})
}

func (w *simulation) millis(from, to int) time.Duration {
	return time.Duration(from+w.random.IntN(to-from+1)) * time.Millisecond
}

// deliver delivers a message to an entry with a delay, sometimes never, sometimes twice.
func (w *simulation) deliver(e *simEntry, do func()) {
	if w.random.IntN(10) == 0 {
		return
	}
	w.onEntry(e, w.millis(1, 30), do)
	if w.random.IntN(10) == 0 {
		w.onEntry(e, w.millis(1, 300), do)
	}
}

func (w *simulation) execute(e *simEntry) {
	for {
		r := e.scheduler.Ready()
		if len(r.Starts)+len(r.Ended)+len(r.Borrows)+len(r.Returns)+len(r.Hints) == 0 {
			return
		}
		for _, st := range r.Starts {
			w.start(e, st)
		}
		for _, end := range r.Ended {
			if _, ok := e.openJobs[end.Job]; !ok {
				w.t.Fatalf("job %d ended twice, or before it was submitted", end.Job)
			}
			delete(e.openJobs, end.Job)
			e.ended++
		}
		for _, b := range r.Borrows {
			w.borrow(e, b)
		}
		for _, h := range r.Hints {
			o, l := w.entryOf(h.Peer), e.scheduler.Load(w.now)
			w.deliver(o, func() { o.scheduler.SetPeerFree(w.now, e.peer, l.Lendable, l.MissingSlots) })
		}
		for _, g := range r.Returns {
			lender := w.entryOf(g.Peer)
			w.deliver(lender, func() { lender.scheduler.HandleReturn(w.now, e.borrower(), g.Loans) })
		}
	}
}

func (e *simEntry) borrower() slot.Borrower {
	return slot.Borrower{Address: e.peer.Address, Incarnation: e.peer.Incarnation}
}

func (w *simulation) entryOf(p Peer) *simEntry {
	for _, e := range w.entries {
		if e.peer == p {
			return e
		}
	}
	w.t.Fatalf("unknown peer %v", p)
	return nil
}

// borrow delivers a request and its answer. Without an answer the request fails after
// 500 ms.
func (w *simulation) borrow(e *simEntry, b Borrow) {
	lender := w.entryOf(b.Peer)
	answered := false
	done := func(answer *LendReply) {
		if !answered {
			answered = true
			e.scheduler.HandleLendReply(w.now, b, answer)
		}
	}
	w.deliver(lender, func() {
		answer := lender.scheduler.Lend(w.now, LendRequest{Borrower: e.borrower(), Slots: b.Slots, Term: b.Term, Needs: b.Needs, Extend: b.Extend})
		w.deliver(e, func() { done(&answer) })
	})
	w.onEntry(e, 500*time.Millisecond, func() { done(nil) })
}

func (w *simulation) start(e *simEntry, st Start) {
	key := runKey{st.Job, st.Task}
	if e.tasks[key] != 0 {
		w.t.Fatalf("task %v was started again although it may have run", st)
	}
	if j, ok := e.openJobs[st.Job]; ok && w.now >= j.Deadline {
		w.t.Fatalf("task %v was started after its deadline", st)
	}
	if l := e.scheduler.runs[key].grant.loan; l != nil && w.now+e.scheduler.runs[key].kind.times.tail > l.until {
		w.t.Fatalf("task %v was started on a borrowed slot whose loan ends too soon", st)
	}
	w.starts++
	e.tasks[key] = 1
	worker := w.workers[st.Worker]
	run := w.millis(5, 200)
	if worker.running >= worker.Total || worker.mode == 2 || w.random.IntN(50) == 0 {
		w.done(e, st, w.millis(1, 3), verdict.New(verdict.NotRun, verdict.WorkerRefused, "refused"))
		return
	}
	worker.running++
	w.after(run, func() { worker.running-- })
	if worker.mode == 1 || w.random.IntN(200) == 0 {
		w.done(e, st, w.millis(1, 5), verdict.New(verdict.MayHaveRun, verdict.TaskFailed, "failed"))
		return
	}
	w.done(e, st, run, nil)
}

func (w *simulation) done(e *simEntry, st Start, after time.Duration, f *verdict.Failure) {
	w.onEntry(e, after, func() {
		key := runKey{st.Job, st.Task}
		e.tasks[key] = 2
		if f != nil && f.Verdict == verdict.NotRun {
			e.tasks[key] = 0
		}
		e.scheduler.HandleOutcome(w.now, st, Outcome{Failure: f})
	})
}

// check checks the entry's use of its own and borrowed slots, and that no borrower uses
// more slots than the lender lent.
func (w *simulation) check(e *simEntry) {
	for _, a := range e.scheduler.workerList {
		if a.own.running+a.own.lent > a.own.slots {
			w.t.Fatalf("%s runs %d tasks and lends %d of its %d slots on %s", e.peer.Address, a.own.running, a.own.lent, a.own.slots, a.Address)
		}
		for _, g := range a.borrowed {
			if g.running > g.slots {
				w.t.Fatalf("%s runs %d tasks on %d borrowed slots of %s", e.peer.Address, g.running, g.slots, a.Address)
			}
		}
	}
	for _, lender := range w.entries {
		lender.scheduler.expireLent(w.now)
		used := make(map[string]int)
		for _, b := range w.entries {
			p := b.scheduler.peer(lender.peer)
			if p == nil {
				continue
			}
			for _, l := range p.loans {
				for _, g := range l.grants {
					if !l.ended && w.now < l.until {
						used[g.worker.Address] += g.slots
					}
				}
			}
		}
		for worker, n := range used {
			if lent := lender.scheduler.ledger.Lent(worker); n > lent {
				w.t.Fatalf("at %s: %d slots of %s are borrowed from %s, which lent %d", w.now, n, worker, lender.peer.Address, lent)
			}
		}
	}
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 0)), workers: make(map[string]*simWorker)}
	for i := range 8 {
		a := fmt.Sprintf("10.0.0.%d:80", i+1)
		w.workers[a] = &simWorker{Worker: Worker{Address: a, Domain: string(rune('a' + i%2)), Total: 4}}
	}
	for i := range 4 {
		e := &simEntry{
			peer:     Peer{Address: fmt.Sprintf("10.0.1.%d:7403", i+1), Incarnation: uint64(i), Domain: string(rune('a' + i%2))},
			openJobs: make(map[JobKey]Job),
			tasks:    make(map[runKey]int),
		}
		c := DefaultConfig()
		c.Domain, c.LoanTerm = e.peer.Domain, 400*time.Millisecond
		e.scheduler = New(c)
		w.entries = append(w.entries, e)
	}
	for _, e := range w.entries {
		w.initEntry(e)
	}
	return w
}

// initEntry sets the workers and peers of an entry and starts its ticks and heartbeats.
func (w *simulation) initEntry(e *simEntry) {
	var workers []Worker
	for i := range 8 {
		a := w.workers[fmt.Sprintf("10.0.0.%d:80", i+1)].Worker
		if a.Domain == e.peer.Domain {
			a.Slots = 2
		}
		workers = append(workers, a)
	}
	e.scheduler.SetWorkers(0, workers)
	var peers []Peer
	for _, o := range w.entries {
		if o != e {
			peers = append(peers, o.peer)
		}
	}
	e.scheduler.SetPeers(0, peers)
	var tick, heartbeat func()
	tick = func() {
		w.onEntry(e, 10*time.Millisecond, func() {
			e.scheduler.Tick(w.now)
			tick()
		})
	}
	heartbeat = func() {
		for _, o := range w.entries {
			if l := e.scheduler.Load(w.now); o != e {
				w.deliver(o, func() { o.scheduler.SetPeerFree(w.now, e.peer, l.Lendable, l.MissingSlots) })
			}
		}
		w.onEntry(e, 100*time.Millisecond, heartbeat)
	}
	tick()
	heartbeat()
}

// submit submits a random job at an entry and sometimes cancels it.
func (w *simulation) submit(e *simEntry) {
	e.lastKey++
	j := Job{
		Key: e.lastKey, Kind: []string{"quote", "booking"}[w.random.IntN(2)], Team: strconv.Itoa(w.random.IntN(3)),
		Urgency: Urgency(w.random.IntN(3)), Weight: w.random.IntN(3), Tasks: 1 + w.random.IntN(20),
		Deadline: w.now + w.millis(50, 3000), RunTime: w.millis(1, 500),
	}
	if w.random.IntN(4) == 0 {
		j.Kind, j.Domains = "local", []string{"a"}
	}
	if f := e.scheduler.Submit(w.now, j); f != nil {
		if f.Verdict != verdict.NotRun {
			w.t.Fatalf("job was refused with verdict %v, expected NotRun: %v", f.Verdict, f)
		}
		if f.Reason == verdict.Overloaded && f.RetryAfter <= 0 {
			w.t.Fatalf("overloaded refusal has Retry-After %s, expected more than 0", f.RetryAfter)
		}
		e.refused++
		return
	}
	e.openJobs[j.Key] = j
	if w.random.IntN(8) == 0 {
		w.onEntry(e, w.millis(1, 300), func() { e.scheduler.Cancel(w.now, j.Key) })
	}
}

// disturb freezes an entry, changes a worker's behaviour or changes a kind's limit.
func (w *simulation) disturb() {
	switch w.random.IntN(3) {
	case 0:
		e := w.entries[w.random.IntN(len(w.entries))]
		e.frozenUntil = w.now + w.millis(10, 1500)
	case 1:
		a := fmt.Sprintf("10.0.0.%d:80", 1+w.random.IntN(8))
		w.workers[a].mode = w.random.IntN(3)
	case 2:
		e := w.entries[w.random.IntN(len(w.entries))]
		limits := map[string]int{"quote": w.random.IntN(6)}
		w.onEntry(e, 0, func() { e.scheduler.SetKindLimits(w.now, limits) })
	}
}

func (w *simulation) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		ev := heap.Pop(&w.events).(*timer)
		w.now = ev.at
		ev.call(w.now)
	}
	w.now = until
}

// Guards against jobs that end twice or never, tasks that start again without proof that
// they did not run, entries that use more slots than they may, borrowers that use a slot
// after its lender took it back, and state left over at the end. Messages are delayed,
// lost and duplicated, workers refuse and fail, entries freeze and jobs are canceled, all
// at random. The seed is in the subtest's name; LAVENDERCLEAT_SEED repeats a failed run.
func TestRandomEvents(t *testing.T) {
	first, runs := uint64(1), 60
	if seed := os.Getenv("LAVENDERCLEAT_SEED"); seed != "" {
		n, err := strconv.ParseUint(seed, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first, runs = n, 1
	}
	for i := range runs {
		seed := first + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { randomRun(t, seed) })
	}
}

func randomRun(t *testing.T, seed uint64) {
	w := newSimulation(t, seed)
	for range 300 {
		e := w.entries[w.random.IntN(len(w.entries))]
		at := w.millis(0, 6000)
		w.onEntry(e, at, func() { w.submit(e) })
	}
	for range 12 {
		w.after(w.millis(0, 6000), w.disturb)
	}
	w.run(25 * time.Second)
	submitted, ended := 0, 0
	for _, e := range w.entries {
		w.checkIdle(e)
		submitted += int(e.lastKey) - e.refused
		ended += e.ended
	}
	if ended != submitted || w.starts == 0 {
		t.Fatalf("%d jobs were admitted and %d ended; %d tasks started", submitted, ended, w.starts)
	}
}

// checkIdle checks that an entry without jobs has no tasks, slots, loans or timers left.
func (w *simulation) checkIdle(e *simEntry) {
	s := e.scheduler
	l := s.Load(w.now)
	if l.Jobs+l.Running+l.Waiting+l.Lent+l.Borrowed != 0 {
		w.t.Fatalf("entry %s has no jobs left, but its load is %+v", e.peer.Address, l)
	}
	for _, k := range s.kindList {
		if k.running != 0 || k.waiting != 0 || k.requested != 0 {
			w.t.Fatalf("kind %s: %d running, %d waiting, %d requested; expected 0 of each", k.name, k.running, k.waiting, k.requested)
		}
	}
	for _, a := range s.workerList {
		if a.running != 0 || a.own.running != 0 {
			w.t.Fatalf("worker %s: %d running, %d on own slots; expected 0", a.Address, a.running, a.own.running)
		}
	}
	for i := range s.levels {
		if n := len(s.levels[i].active); n != 0 {
			w.t.Fatalf("level %d has %d active teams, expected 0", i, n)
		}
	}
	if len(s.timers) > 16 {
		w.t.Fatalf("%d timers are left, expected at most 16", len(s.timers))
	}
}
