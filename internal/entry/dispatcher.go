// The dispatcher: it feeds events to the scheduler, runs the tasks that the scheduler starts and
// collects their results.

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

// dispatcher carries out the scheduler's commands. One lock protects the scheduler and the jobs. It is
// held for decisions only, never during I/O.
type dispatcher struct {
	clock   *clock.Clock
	client  *backend.Client
	metrics *Metrics
	// onWorkerLeaving is called for a worker that reports that it is leaving.
	onWorkerLeaving func(worker string)
	// onPause is called after a pause of the process. It must call endPause.
	onPause func(late time.Duration)
	// onBorrow, onReturn and onFreeSlotsHint send messages about slots to peers.
	onBorrow        func(sched.Borrow)
	onReturn        func(sched.ReturnSlots)
	onFreeSlotsHint func(sched.FreeSlotsHint)

	mu      sync.Mutex
	sched   *sched.Scheduler
	jobs    map[sched.JobKey]*jobRun
	cancels map[taskKey]context.CancelFunc
	lastKey sched.JobKey
	// lastStep is the time of the latest step. pendingRefreshes is the number of pauses after which the view
	// of the peers has not been refreshed yet.
	lastStep         time.Duration
	pendingRefreshes int
	// halted is set when the dispatcher must neither start nor end anything any more.
	halted bool
}

// taskKey identifies a running task.
type taskKey struct {
	job  sched.JobKey
	task int
}

// jobRun is a job with the payloads and results of its tasks.
type jobRun struct {
	submissionID string
	path         string
	idempotent   bool
	deadline     time.Duration
	taskTimeout  time.Duration
	payloads     []json.RawMessage
	results      []json.RawMessage
	// resultBytes is the total size of the results so far.
	resultBytes int
	// finish is called once, with the results or with the failure.
	finish func([]json.RawMessage, *verdict.Failure)
}

// maxResultBytes bounds the total size of the results of one job. A larger answer would not fit into one
// message between entries, so a caller at another entry would never get it.
const maxResultBytes = 16 << 20

// Compile-time checks: the largest answer and the largest body fit into one message between entries.
const (
	_ = uint(peer.MaxMessageBytes - maxResultBytes - maxMessageOverhead)
	_ = uint(peer.MaxMessageBytes - config.MaxBodyBytes - maxMessageOverhead)
	// maxMessageOverhead bounds the size of a message without its answer or body.
	maxMessageOverhead = 1 << 20
)

// addResult stores the result of a task, unless the results of the job become too large.
func (j *jobRun) addResult(task int, result json.RawMessage) *verdict.Failure {
	j.resultBytes += len(result)
	if j.resultBytes > maxResultBytes {
		return verdict.New(verdict.MayHaveRun, verdict.ReplyTooLarge,
			"the results are larger than %d bytes in total; split the job", maxResultBytes)
	}
	j.results[task] = result
	return nil
}

func newDispatcher(c *clock.Clock, client *backend.Client, m *Metrics, s sched.Config) *dispatcher {
	d := &dispatcher{
		clock:           c,
		client:          client,
		metrics:         m,
		onWorkerLeaving: func(string) {},
		onBorrow:        func(sched.Borrow) {},
		onReturn:        func(sched.ReturnSlots) {},
		onFreeSlotsHint: func(sched.FreeSlotsHint) {},
		sched:           sched.New(s),
		jobs:            make(map[sched.JobKey]*jobRun),
		cancels:         make(map[taskKey]context.CancelFunc),
	}
	d.onPause = func(time.Duration) { d.endPause() }
	return d
}

// halt cancels all calls to workers and makes the dispatcher ignore all further events, as if the process
// had died.
func (d *dispatcher) halt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.halted = true
	for _, cancel := range d.cancels {
		cancel()
	}
}

// submit submits a job to the scheduler. finish is called exactly once, unless the scheduler refuses the
// job.
func (d *dispatcher) submit(j sched.Job, r *jobRun) (sched.JobKey, *verdict.Failure) {
	var refusal *verdict.Failure
	d.step(func(now time.Duration) {
		d.lastKey++
		j.Key = d.lastKey
		d.jobs[j.Key] = r
		refusal = d.sched.Submit(now, j)
		if refusal != nil {
			delete(d.jobs, j.Key)
		}
	})
	return j.Key, refusal
}

// cancel cancels a job at its caller's request.
func (d *dispatcher) cancel(key sched.JobKey) {
	d.step(func(now time.Duration) { d.sched.Cancel(now, key) })
}

// stopJobs ends all jobs.
func (d *dispatcher) stopJobs() {
	d.step(func(time.Duration) { d.sched.Stop() })
}

// tick lets the scheduler act on time-outs and deadlines.
func (d *dispatcher) tick() {
	d.step(func(now time.Duration) { d.sched.Tick(now) })
}

// load returns the scheduler's load.
func (d *dispatcher) load() sched.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.Load(d.clock.Now())
}

// runningByWorker returns the number of running tasks by worker.
func (d *dispatcher) runningByWorker() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.RunningByWorker()
}

// demandByKind returns the number of running and waiting tasks by kind.
func (d *dispatcher) demandByKind() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.DemandByKind()
}

// step handles one event under the lock and then carries out the resulting commands.
func (d *dispatcher) step(event func(now time.Duration)) {
	d.mu.Lock()
	if d.halted {
		d.mu.Unlock()
		return
	}
	now := d.clock.Now()
	d.detectPause(now)
	event(now)
	actions := d.apply(d.sched.Ready())
	d.mu.Unlock()
	for _, act := range actions {
		act()
	}
}

// detectPause detects that the process was paused. Each tick is a step, so a long time since the latest
// step shows the pause. After a pause, detectPause stops task starts before the event is handled, because
// peers may have given this entry's slots to others meanwhile, and workers may have left.
func (d *dispatcher) detectPause(now time.Duration) {
	late := now - d.lastStep
	first := d.lastStep == 0
	d.lastStep = now
	if first || late <= clock.PauseThreshold {
		return
	}
	d.pendingRefreshes++
	d.sched.PauseStarts()
	go d.onPause(late)
}

// endPause records that the view was refreshed after one pause. Starts resume after the last refresh.
func (d *dispatcher) endPause() {
	d.step(func(now time.Duration) {
		d.pendingRefreshes--
		if d.pendingRefreshes == 0 {
			d.sched.ResumeStarts(now)
		}
	})
}

// apply starts the tasks that the scheduler started, and returns the actions to run without the lock. The
// caller holds the lock.
func (d *dispatcher) apply(r sched.Ready) []func() {
	var actions []func()
	for _, st := range r.Starts {
		ctx, j := d.prepareCall(st)
		if j != nil {
			go d.runTask(ctx, st, j)
		}
	}
	for _, a := range r.Aborts {
		if cancel := d.cancels[taskKey{a.Job, a.Task}]; cancel != nil {
			actions = append(actions, cancel)
		}
	}
	for _, e := range r.Ended {
		if j := d.jobs[e.Job]; j != nil {
			delete(d.jobs, e.Job)
			d.metrics.countJob(e.Failure)
			actions = append(actions, func() { j.finish(j.results, e.Failure) })
		}
	}
	d.sendSlotMessages(r)
	return actions
}

// sendSlotMessages carries out the scheduler's commands about slots, and counts ejected workers.
func (d *dispatcher) sendSlotMessages(r sched.Ready) {
	for _, b := range r.Borrows {
		go d.onBorrow(b)
	}
	for _, g := range r.Returns {
		go d.onReturn(g)
	}
	for _, h := range r.Hints {
		go d.onFreeSlotsHint(h)
	}
	for range r.Ejections {
		d.metrics.countEjection()
	}
}

// prepareCall returns the context and the job of a task that is to start. The caller holds the lock.
func (d *dispatcher) prepareCall(st sched.Start) (context.Context, *jobRun) {
	j := d.jobs[st.Job]
	if j == nil {
		return nil, nil
	}
	timeout := j.deadline - d.clock.Now()
	if j.taskTimeout > 0 {
		timeout = min(timeout, j.taskTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	d.cancels[taskKey{st.Job, st.Task}] = cancel
	return ctx, j
}

// runTask runs a task on its worker and reports the outcome to the scheduler.
func (d *dispatcher) runTask(ctx context.Context, st sched.Start, j *jobRun) {
	res, failure := d.callWorker(ctx, st, j)
	if failure != nil && failure.Verdict == verdict.NotRun {
		d.metrics.countRetry(failure.Reason)
	}
	if res.Leaving {
		d.onWorkerLeaving(st.Worker)
	}
	d.step(func(now time.Duration) {
		key := taskKey{st.Job, st.Task}
		d.cancels[key]()
		delete(d.cancels, key)
		// A job that has ended has passed its results on. A late result must not be written into them.
		if failure == nil && d.jobs[st.Job] == j {
			failure = j.addResult(st.Task, res.Body)
		}
		d.sched.HandleOutcome(now, st, sched.Outcome{Failure: failure, Leaving: res.Leaving})
	})
}

// callWorker sends a task to its worker and returns the result.
func (d *dispatcher) callWorker(ctx context.Context, st sched.Start, j *jobRun) (backend.Result, *verdict.Failure) {
	// The process may have been paused since the scheduler's decision. Nothing may start after the deadline:
	// the caller no longer waits and may have submitted the job again.
	remaining := j.deadline - d.clock.Now()
	if remaining <= 0 {
		return backend.Result{}, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline passed before the task started")
	}
	d.metrics.countStart()
	res, failure := d.client.Do(ctx, backend.Task{
		Worker:     st.Worker,
		Path:       j.path,
		Submission: j.submissionID,
		Index:      st.Task,
		Idempotent: j.idempotent,
		Remaining:  remaining,
		Payload:    j.payloads[st.Task],
	})
	if failure == nil && !json.Valid(res.Body) {
		res.Body, _ = json.Marshal(string(res.Body)) // encoding a string cannot fail
	}
	return res, failure
}
