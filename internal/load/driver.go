// The driver: it sends jobs when they are due and waits for their answers.

package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// unreachablePause is how long a URL that refused a connection gets no job. A balancer would
	// leave it out too.
	unreachablePause = time.Second
	// answerGrace is how long after a job's deadline the caller still waits for its answer.
	answerGrace = 10 * time.Second
	// defaultAnswerTimeout is how long the caller waits for the answer to a job without a deadline. Its
	// kind sets the deadline.
	defaultAnswerTimeout = 2 * time.Minute
)

// driver sends jobs to the entries in turn and records their outcomes.
type driver struct {
	callers   []*caller
	nextIndex atomic.Uint64
	recorder  *recorder
	wg        sync.WaitGroup

	mu sync.Mutex
	// inFlight is the set of jobs that can be canceled.
	inFlight map[*pendingJob]struct{}
}

// caller sends jobs to the URL of one entry.
type caller struct {
	client.Client
	// pausedUntil is the Unix time in nanoseconds until which the URL gets no jobs.
	pausedUntil atomic.Int64
}

// pendingJob is a job that was sent and is not yet answered.
type pendingJob struct {
	request
	due        time.Time
	cancelCh   chan struct{}
	cancelOnce sync.Once
}

// cancelJob cancels the job for its caller. Further calls do nothing.
func (j *pendingJob) cancelJob() { j.cancelOnce.Do(func() { close(j.cancelCh) }) }

// isCanceled reports whether cancelJob was called.
func (j *pendingJob) isCanceled() bool {
	select {
	case <-j.cancelCh:
		return true
	default:
		return false
	}
}

// newDriver returns a driver with one caller for each URL. The callers share their connections' transport.
func newDriver(urls []string, token string, r *recorder) *driver {
	t := &http.Transport{MaxIdleConnsPerHost: 4096, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	d := &driver{recorder: r, inFlight: make(map[*pendingJob]struct{})}
	for _, u := range urls {
		d.callers = append(d.callers, &caller{Client: client.Client{URL: u, Token: token, HTTP: &http.Client{Transport: t}}})
	}
	return d
}

// run sends jobs at a mean rate for the given time, then waits until all have ended.
func (d *driver) run(ctx context.Context, g *generator, perSecond float64, length time.Duration) {
	start := time.Now()
	due := start
	for {
		due = due.Add(g.nextInterval(perSecond))
		if due.Sub(start) > length || !sleepUntil(ctx, due) {
			break
		}
		d.send(ctx, g.nextRequest(), due)
	}
	d.wg.Wait()
}

// sleepUntil waits for a time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	return clock.Sleep(ctx, time.Until(t))
}

// send sends one job and does not wait for its answer. The response time counts from the time at which
// the job was due. Otherwise a driver that sends late would make the system look faster.
func (d *driver) send(ctx context.Context, r request, due time.Time) {
	j := &pendingJob{request: r, due: due, cancelCh: make(chan struct{})}
	d.mu.Lock()
	d.inFlight[j] = struct{}{}
	d.mu.Unlock()
	d.recorder.recordSent(j)
	d.wg.Go(func() {
		d.sendAndRecord(ctx, j)
		d.mu.Lock()
		delete(d.inFlight, j)
		d.mu.Unlock()
	})
}

// cancelAll cancels every job in flight.
func (d *driver) cancelAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for j := range d.inFlight {
		j.cancelJob()
	}
}

// nextCaller returns the caller for the next job. It skips paused callers unless all are paused.
func (d *driver) nextCaller() *caller {
	now := time.Now().UnixNano()
	for range d.callers {
		c := d.callers[d.nextIndex.Add(1)%uint64(len(d.callers))]
		if c.pausedUntil.Load() < now {
			return c
		}
	}
	return d.callers[d.nextIndex.Add(1)%uint64(len(d.callers))]
}

// sendAndRecord sends a job, waits for its answer and records the outcome.
func (d *driver) sendAndRecord(ctx context.Context, j *pendingJob) {
	timeout := defaultAnswerTimeout
	if j.job.DeadlineMs > 0 {
		timeout = time.Duration(j.job.DeadlineMs)*time.Millisecond + answerGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if j.cancelAfter > 0 {
		t := time.AfterFunc(j.cancelAfter, j.cancelJob)
		defer t.Stop()
	}
	c := d.nextCaller()
	reply, err := c.submit(ctx, j)
	if isDialError(err) {
		c.pausedUntil.Store(time.Now().Add(unreachablePause).UnixNano())
	}
	d.recorder.recordOutcome(j, reply, err)
}

// submit sends a job, in one call or under a reserved identifier, and returns its answer.
func (c *caller) submit(ctx context.Context, j *pendingJob) (client.Reply, error) {
	if j.oneCall {
		return c.oneCall(ctx, j)
	}
	ids, err := c.Reserve(ctx, 1)
	if err != nil {
		return client.Reply{}, err
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-j.cancelCh:
			_, _ = c.Delete(ctx, ids[0]) // the response to PUT has the outcome
		case <-done:
		}
	}()
	return c.Put(ctx, ids[0], j.job)
}

// oneCall sends a job in one call. Closing the connection cancels the job.
func (c *caller) oneCall(ctx context.Context, j *pendingJob) (client.Reply, error) {
	ctx, cancelCall := context.WithCancel(ctx)
	defer cancelCall()
	go func() {
		select {
		case <-j.cancelCh:
			cancelCall()
		case <-ctx.Done():
		}
	}()
	return c.Do(ctx, j.job)
}

// probeCount is the number of jobs with which roundTrip measures the idle system.
const probeCount = 30

// roundTrip measures how long a job with one empty task takes on an idle system. The ideal response
// time of a job is this time plus the run time of its longest task.
func (d *driver) roundTrip(ctx context.Context, kind string, oneCall bool) (time.Duration, error) {
	var times []time.Duration
	for range probeCount {
		j := &pendingJob{request: request{oneCall: oneCall}, cancelCh: make(chan struct{})}
		j.job = schema.Job{Kind: kind, Tasks: []schema.Task{{Payload: runPayload(0)}}}
		start := time.Now()
		reply, err := d.nextCaller().submit(ctx, j)
		if err != nil {
			return 0, errors.Wrap(err, "measuring the round trip on the idle system")
		}
		if reply.Outcome != client.Complete {
			return 0, errors.Newf("measuring the round trip on the idle system: a job of kind %q failed: %s %s", kind, reply.Reason, reply.Message)
		}
		times = append(times, time.Since(start))
	}
	return median(times), nil
}
