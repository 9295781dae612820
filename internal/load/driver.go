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
	// unreachablePause is how long a URL that refused a connection gets no job, as a
	// balancer would do.
	unreachablePause = time.Second
	// answerSlack is the time beyond its deadline for which a job's answer is awaited.
	answerGrace = 10 * time.Second
	// defaultWait is awaited when a job leaves the deadline to its kind.
	defaultAnswerTimeout = 2 * time.Minute
)

// driver sends jobs and records how they end.
type driver struct {
	callers   []*caller
	nextIndex atomic.Uint64
	recorder  *recorder
	wg        sync.WaitGroup

	mu sync.Mutex
	// inFlight holds the jobs that can be canceled.
	inFlight map[*pendingJob]struct{}
}

// caller sends jobs to one URL.
type caller struct {
	client.Client
	// pausedUntil is the Unix time in nanoseconds until which the URL gets no job.
	pausedUntil atomic.Int64
}

// flight is one job under way.
type pendingJob struct {
	request
	due        time.Time
	cancelCh   chan struct{}
	cancelOnce sync.Once
}

// canceled ends the caller's interest in the answer.
func (f *pendingJob) cancelJob() { f.cancelOnce.Do(func() { close(f.cancelCh) }) }

func (f *pendingJob) isCanceled() bool {
	select {
	case <-f.cancelCh:
		return true
	default:
		return false
	}
}

func newDriver(urls []string, token string, r *recorder) *driver {
	t := &http.Transport{MaxIdleConnsPerHost: 4096, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	d := &driver{recorder: r, inFlight: make(map[*pendingJob]struct{})}
	for _, u := range urls {
		d.callers = append(d.callers, &caller{Client: client.Client{URL: u, Token: token, HTTP: &http.Client{Transport: t}}})
	}
	return d
}

// run sends jobs at a rate for some time and waits for their endings.
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

// sleepUntil waits for a time and tells whether it came.
func sleepUntil(ctx context.Context, t time.Time) bool {
	return clock.Sleep(ctx, time.Until(t))
}

// send sends one job without waiting for it. Its response time counts from when it
// was due, so that a late sender doesn't make the system look faster.
func (d *driver) send(ctx context.Context, r request, due time.Time) {
	f := &pendingJob{request: r, due: due, cancelCh: make(chan struct{})}
	d.mu.Lock()
	d.inFlight[f] = struct{}{}
	d.mu.Unlock()
	d.recorder.recordSent(f)
	d.wg.Go(func() {
		d.sendAndRecord(ctx, f)
		d.mu.Lock()
		delete(d.inFlight, f)
		d.mu.Unlock()
	})
}

// cancelAll cancels every job under way.
func (d *driver) cancelAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f := range d.inFlight {
		f.cancelJob()
	}
}

// next returns the caller for the next job, passing over paused ones.
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

// fly sends a job and records its ending.
func (d *driver) sendAndRecord(ctx context.Context, f *pendingJob) {
	timeout := defaultAnswerTimeout
	if f.job.DeadlineMs > 0 {
		timeout = time.Duration(f.job.DeadlineMs)*time.Millisecond + answerGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if f.cancelAfter > 0 {
		t := time.AfterFunc(f.cancelAfter, f.cancelJob)
		defer t.Stop()
	}
	c := d.nextCaller()
	reply, err := c.submit(ctx, f)
	if isDialError(err) {
		c.pausedUntil.Store(time.Now().Add(unreachablePause).UnixNano())
	}
	d.recorder.recordOutcome(f, reply, err)
}

// submit sends a job and returns its answer.
func (c *caller) submit(ctx context.Context, f *pendingJob) (client.Reply, error) {
	if f.oneCall {
		return c.oneCall(ctx, f)
	}
	ids, err := c.Reserve(ctx, 1)
	if err != nil {
		return client.Reply{}, err
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-f.cancelCh:
			_, _ = c.Delete(ctx, ids[0]) // the answer to PUT tells how it ended
		case <-done:
		}
	}()
	return c.Put(ctx, ids[0], f.job)
}

// oneCall sends a job in one call, which is canceled by hanging up.
func (c *caller) oneCall(ctx context.Context, f *pendingJob) (client.Reply, error) {
	ctx, cancelCall := context.WithCancel(ctx)
	defer cancelCall()
	go func() {
		select {
		case <-f.cancelCh:
			cancelCall()
		case <-ctx.Done():
		}
	}()
	return c.Do(ctx, f.job)
}

// probes is the number of idle jobs by which round trips are measured.
const probeCount = 30

// roundTrip measures, on an idle system, the time that a job of one empty task takes:
// what remains of the ideal beside the longest task.
func (d *driver) roundTrip(ctx context.Context, kind string, oneCall bool) (time.Duration, error) {
	var times []time.Duration
	for range probeCount {
		f := &pendingJob{request: request{oneCall: oneCall}, cancelCh: make(chan struct{})}
		f.job = schema.Job{Kind: kind, Tasks: []schema.Task{{Payload: runPayload(0)}}}
		start := time.Now()
		reply, err := d.nextCaller().submit(ctx, f)
		if err != nil {
			return 0, errors.Wrap(err, "probing the idle system")
		}
		if reply.Outcome != client.Complete {
			return 0, errors.Newf("probing the idle system: a job of kind %q failed: %s %s", kind, reply.Reason, reply.Message)
		}
		times = append(times, time.Since(start))
	}
	return median(times), nil
}
