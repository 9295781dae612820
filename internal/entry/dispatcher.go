package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/backend"
	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// dispatcher carries out the scheduler's commands. The scheduler and the jobs are
// under one lock, held for decisions only, never during I/O.
type dispatcher struct {
	clock   *clock.Clock
	client  *backend.Client
	metrics *Metrics
	// onLeaving is told of workers that say that they are leaving.
	onLeaving func(worker string)
	// onPause is told of a pause of the process; it must call release.
	onPause func(late time.Duration)
	// onBorrow and onGiveBack carry messages about slots to peers.
	onBorrow   func(sched.Borrow)
	onGiveBack func(sched.ReturnSlots)
	onHint     func(sched.FreeSlotsHint)

	mu    sync.Mutex
	sched *sched.Scheduler
	jobs  map[sched.JobKey]*jobRun
	calls map[callKey]context.CancelFunc
	next  sched.JobKey
	// stepped is the time of the latest step, holds the number of pauses after which
	// the view is not yet refreshed.
	stepped time.Duration
	holds   int
	// halted is set once nothing may start or end any more.
	halted bool
}

// callKey identifies a task that is being run.
type callKey struct {
	job  sched.JobKey
	task int
}

// jobRun is a job with its payloads and results.
type jobRun struct {
	submission  string
	path        string
	idempotent  bool
	deadline    time.Duration
	taskTimeout time.Duration
	payloads    []json.RawMessage
	results     []json.RawMessage
	// size is the bytes of the results so far.
	size int
	// finish is called once, with the results or the failure.
	finish func([]json.RawMessage, *verdict.Failure)
}

// maxResultBytes bounds the results of one job. A larger answer would not fit into
// one message between entries: its caller at another entry would never get it.
const maxResultBytes = 16 << 20

// Messages between entries have room for the largest answer and the largest body.
const (
	_ = uint(peer.MaxMessageBytes - maxResultBytes - messageOverhead)
	_ = uint(peer.MaxMessageBytes - config.MaxBodyBytes - messageOverhead)
	// messageOverhead is what a message has besides an answer or a body.
	messageOverhead = 1 << 20
)

// keep takes in a task's result.
func (j *jobRun) keep(task int, result json.RawMessage) *verdict.Failure {
	j.size += len(result)
	if j.size > maxResultBytes {
		return verdict.New(verdict.MayHaveRun, verdict.ReplyTooLarge,
			"the results are over %d bytes in all; split the job", maxResultBytes)
	}
	j.results[task] = result
	return nil
}

func newDispatcher(c *clock.Clock, client *backend.Client, m *Metrics, s sched.Config) *dispatcher {
	d := &dispatcher{
		clock:      c,
		client:     client,
		metrics:    m,
		onLeaving:  func(string) {},
		onBorrow:   func(sched.Borrow) {},
		onGiveBack: func(sched.ReturnSlots) {},
		onHint:     func(sched.FreeSlotsHint) {},
		sched:      sched.New(s),
		jobs:       make(map[sched.JobKey]*jobRun),
		calls:      make(map[callKey]context.CancelFunc),
	}
	d.onPause = func(time.Duration) { d.release() }
	return d
}

// halt makes the dispatcher act on nothing any more and breaks off its calls, as when
// the process dies.
func (d *dispatcher) halt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.halted = true
	for _, cancel := range d.calls {
		cancel()
	}
}

// submit hands a job to the scheduler; finish is called exactly once unless the job
// is refused.
func (d *dispatcher) submit(j sched.Job, r *jobRun) (sched.JobKey, *verdict.Failure) {
	var refusal *verdict.Failure
	d.step(func(now time.Duration) {
		d.next++
		j.Key = d.next
		d.jobs[j.Key] = r
		refusal = d.sched.Submit(now, j)
		if refusal != nil {
			delete(d.jobs, j.Key)
		}
	})
	return j.Key, refusal
}

// cancel ends a job for its caller.
func (d *dispatcher) cancel(key sched.JobKey) {
	d.step(func(now time.Duration) { d.sched.Cancel(now, key) })
}

// stop ends every job.
func (d *dispatcher) stop() {
	d.step(func(time.Duration) { d.sched.Stop() })
}

// tick lets the scheduler act on the time.
func (d *dispatcher) tick() {
	d.step(func(now time.Duration) { d.sched.Tick(now) })
}

// load returns the scheduler's load.
func (d *dispatcher) load() sched.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.Load(d.clock.Now())
}

// runningOn counts the running tasks by worker.
func (d *dispatcher) runningOn() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.RunningByWorker()
}

// kindDemand counts the running and waiting tasks by kind.
func (d *dispatcher) kindDemand() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.DemandByKind()
}

// step runs one event under the lock and carries out the commands that follow.
func (d *dispatcher) step(event func(now time.Duration)) {
	d.mu.Lock()
	if d.halted {
		d.mu.Unlock()
		return
	}
	now := d.clock.Now()
	d.notePause(now)
	event(now)
	actions := d.commands(d.sched.Ready())
	d.mu.Unlock()
	for _, act := range actions {
		act()
	}
}

// notePause notices that the process stood still, by the time since the latest step:
// there is one with every tick. Before the event is acted on, starts are held: peers
// have given this entry's slots to others meanwhile, and workers may have left.
func (d *dispatcher) notePause(now time.Duration) {
	late := now - d.stepped
	first := d.stepped == 0
	d.stepped = now
	if first || late <= clock.PauseThreshold {
		return
	}
	d.holds++
	d.sched.PauseStarts()
	go d.onPause(late)
}

// release ends the hold of one pause.
func (d *dispatcher) release() {
	d.step(func(now time.Duration) {
		d.holds--
		if d.holds == 0 {
			d.sched.ResumeStarts(now)
		}
	})
}

// commands turns the scheduler's commands into what is done without the lock.
func (d *dispatcher) commands(r sched.Ready) []func() {
	var actions []func()
	for _, st := range r.Starts {
		ctx, j := d.begin(st)
		if j != nil {
			go d.run(ctx, st, j)
		}
	}
	for _, a := range r.Aborts {
		if cancel := d.calls[callKey{a.Job, a.Task}]; cancel != nil {
			actions = append(actions, cancel)
		}
	}
	for _, e := range r.Ended {
		if j := d.jobs[e.Job]; j != nil {
			delete(d.jobs, e.Job)
			d.metrics.ended(e.Failure)
			actions = append(actions, func() { j.finish(j.results, e.Failure) })
		}
	}
	d.slotMessages(r)
	return actions
}

// slotMessages carries out the commands about slots.
func (d *dispatcher) slotMessages(r sched.Ready) {
	for _, b := range r.Borrows {
		go d.onBorrow(b)
	}
	for _, g := range r.Returns {
		go d.onGiveBack(g)
	}
	for _, h := range r.Hints {
		go d.onHint(h)
	}
	for range r.Ejections {
		d.metrics.ejected()
	}
}

// begin prepares the call of a task.
func (d *dispatcher) begin(st sched.Start) (context.Context, *jobRun) {
	j := d.jobs[st.Job]
	if j == nil {
		return nil, nil
	}
	timeout := j.deadline - d.clock.Now()
	if j.taskTimeout > 0 {
		timeout = min(timeout, j.taskTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	d.calls[callKey{st.Job, st.Task}] = cancel
	return ctx, j
}

// run calls the worker and reports the outcome.
func (d *dispatcher) run(ctx context.Context, st sched.Start, j *jobRun) {
	res, failure := d.call(ctx, st, j)
	if failure != nil && failure.Verdict == verdict.NotRun {
		d.metrics.retried(failure.Reason)
	}
	if res.Leaving {
		d.onLeaving(st.Worker)
	}
	d.step(func(now time.Duration) {
		key := callKey{st.Job, st.Task}
		d.calls[key]()
		delete(d.calls, key)
		// A job that has ended hands out its results: a late one must not write there.
		if failure == nil && d.jobs[st.Job] == j {
			failure = j.keep(st.Task, res.Body)
		}
		d.sched.HandleOutcome(now, st, sched.Outcome{Failure: failure, Leaving: res.Leaving})
	})
}

// call sends a task to its worker.
func (d *dispatcher) call(ctx context.Context, st sched.Start, j *jobRun) (backend.Result, *verdict.Failure) {
	// The process may have been frozen between the decision and here. Nothing starts
	// after the deadline: the caller no longer waits and may have submitted it again.
	remaining := j.deadline - d.clock.Now()
	if remaining <= 0 {
		return backend.Result{}, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline passed before the start")
	}
	d.metrics.started()
	res, failure := d.client.Do(ctx, backend.Task{
		Worker:     st.Worker,
		Path:       j.path,
		Submission: j.submission,
		Index:      st.Task,
		Idempotent: j.idempotent,
		Remaining:  remaining,
		Payload:    j.payloads[st.Task],
	})
	if failure == nil && !json.Valid(res.Body) {
		res.Body, _ = json.Marshal(string(res.Body)) // a string always encodes
	}
	return res, failure
}
