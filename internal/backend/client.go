// The client: one call of a worker for each task, and the failures of a call.

package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/internal/tcp"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// Config holds the settings of a client.
type Config struct {
	// IdleTimeout is how long an idle connection is kept. A task that is sent on a connection that went
	// silent while idle is lost. So the client reuses only connections that carried a reply this recently,
	// and makes a new one for any other task.
	IdleTimeout time.Duration
	// ReuseTimeout is the IdleTimeout of tasks that are not idempotent, and is shorter. Such a task may not be
	// submitted again if it is lost on a silent connection. A new connection costs the task one round trip.
	ReuseTimeout time.Duration
	// DialTimeout is how long the client waits for a connection.
	DialTimeout time.Duration
	// SilenceTimeout is how long sent data may stay unacknowledged, and about how long a connection may be
	// silent, before the connection is closed.
	SilenceTimeout time.Duration
	// MaxReplyBytes is the largest size of a task's result.
	MaxReplyBytes int64
}

// Client calls workers. It is safe for concurrent use.
type Client struct {
	config Config
	dialer net.Dialer
	mu     sync.Mutex
	// pools holds the connections by worker, so that the idle ones of one worker can be closed without
	// closing those of the others.
	pools map[string]*pool
}

// pool holds the connections to one worker. Connections for idempotent tasks may be idle for longer than
// others.
type pool struct {
	idempotent    *http.Transport
	nonIdempotent *http.Transport
}

func (p *pool) transport(idempotent bool) *http.Transport {
	if idempotent {
		return p.idempotent
	}
	return p.nonIdempotent
}

func (p *pool) closeIdle() {
	p.idempotent.CloseIdleConnections()
	p.nonIdempotent.CloseIdleConnections()
}

// NewClient returns a client without connections.
func NewClient(c Config) *Client {
	return &Client{
		config: c,
		dialer: tcp.Dialer(c.DialTimeout, c.SilenceTimeout),
		pools:  make(map[string]*pool),
	}
}

// pool returns the connections to a worker.
func (c *Client) pool(worker string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[worker]
	if p == nil {
		p = &pool{idempotent: c.transport(c.config.IdleTimeout), nonIdempotent: c.transport(c.config.ReuseTimeout)}
		c.pools[worker] = p
	}
	return p
}

func (c *Client) transport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         c.dial,
		IdleConnTimeout:     idle,
		MaxIdleConnsPerHost: maxIdleConnsPerWorker,
		ReadBufferSize:      connBufferSize,
		WriteBufferSize:     connBufferSize,
		DisableCompression:  true,
	}
}

// connBufferSize is the size in bytes of each of a connection's two buffers. Every running task uses a
// connection. The request of a typical task fits into one write.
const connBufferSize = 2 << 10

// maxIdleConnsPerWorker is the largest number of idle connections to a worker, separately for idempotent and
// other tasks.
const maxIdleConnsPerWorker = 16

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// CloseUnlisted closes the idle connections to workers that are not in keep.
func (c *Client) CloseUnlisted(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w, p := range c.pools {
		if !keep[w] {
			p.closeIdle()
			delete(c.pools, w)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.CloseUnlisted(nil) }

// Task is one task that a worker is called to run.
type Task struct {
	// Worker is the worker's IP:port.
	Worker string
	// Path is the HTTP path of the task's kind.
	Path       string
	Submission string
	Index      int
	// Idempotent is set if a second run does no harm.
	Idempotent bool
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Payload is the request's body.
	Payload []byte
}

// Result is a worker's reply.
type Result struct {
	Body []byte
	// Leaving is set if the reply says that the worker is leaving. It may be set together with a failure.
	Leaving bool
}

// requestTrace records which connections a request used, and whether it may have been sent.
type requestTrace struct {
	mu           sync.Mutex
	conn         *trackedConn
	writesBefore int
	// sent is set if bytes may have been sent on a connection other than conn.
	sent bool
	// deadline is the time after which no byte may be sent.
	deadline time.Time
}

// gotConn is called when net/http selects a connection for the request.
func (t *requestTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.sent = t.conn.seal(t.writesBefore) || t.sent
	}
	t.conn, _ = info.Conn.(*trackedConn)
	if t.conn == nil {
		t.sent = true // whether bytes are sent on an untracked connection is unknown
		return
	}
	t.conn.setDeadline(t.deadline)
	t.writesBefore = t.conn.writeCount()
}

// seal reports whether the request may have been sent, and prevents that it is sent later.
func (t *requestTrace) seal() (sent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.seal(t.writesBefore) || t.sent
}

// Do sends a task once and returns its result. It never sends a task again. net/http cannot resend the request
// either, because it cannot read the body twice.
//
// Its failures are DialFailed and NothingSent (NotRun), WorkerRefused and WorkerLeaving (NotRun, as the worker
// reports), and TaskFailed, TaskTimeout, Canceled, ConnectionLost and ReplyTooLarge (MayHaveRun).
func (c *Client) Do(ctx context.Context, t Task) (Result, *verdict.Failure) {
	var trace requestTrace
	trace.deadline, _ = ctx.Deadline()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn})
	req, err := c.newRequest(ctx, t)
	if err != nil {
		return Result{}, verdict.Wrap(err, verdict.NotRun, verdict.Internal, "building the request")
	}
	p := c.pool(t.Worker)
	resp, err := p.transport(t.Idempotent).RoundTrip(req)
	if err != nil {
		return Result{}, c.requestFailure(ctx, p, &trace, err, t)
	}
	defer resp.Body.Close()
	return c.readResponse(ctx, p, resp, t)
}

// newRequest builds the HTTP request. It hides the type of the body: for types that net/http knows, net/http
// sets GetBody and may then resend the request by itself when a reused connection breaks.
func (c *Client) newRequest(ctx context.Context, t Task) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(t.Payload))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Worker+t.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(t.Payload))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderSubmission, t.Submission)
	req.Header.Set(HeaderTask, strconv.Itoa(t.Index))
	req.Header.Set(HeaderRemaining, strconv.FormatInt(t.Remaining.Milliseconds(), 10))
	return req, nil
}

// requestFailure returns the failure of a request that got no response.
func (c *Client) requestFailure(ctx context.Context, p *pool, trace *requestTrace, err error, t Task) *verdict.Failure {
	sent := trace.seal()
	var op *net.OpError
	switch {
	case !sent && errors.As(err, &op) && op.Op == "dial":
		return verdict.Wrap(err, verdict.NotRun, verdict.DialFailed, "no connection to worker %s", t.Worker)
	case !sent:
		return verdict.Wrap(err, verdict.NotRun, verdict.NothingSent, "nothing was sent to worker %s", t.Worker)
	case errors.Is(ctx.Err(), context.Canceled):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "the call of worker %s was canceled", t.Worker)
	case ctx.Err() != nil:
		// There was no reply in time. The path may have gone silent for every existing connection, so none of
		// them is reused.
		p.closeIdle()
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.TaskTimeout, "worker %s did not reply in time", t.Worker)
	default:
		p.closeIdle()
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ConnectionLost, "the connection to worker %s broke", t.Worker)
	}
}

// readResponse reads a response and returns the result or the failure.
func (c *Client) readResponse(ctx context.Context, p *pool, resp *http.Response, t Task) (Result, *verdict.Failure) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.config.MaxReplyBytes+1))
	r := Result{Body: body, Leaving: resp.Header.Get(HeaderLeaving) == "1"}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "1" && r.Leaving:
		return r, verdict.New(verdict.NotRun, verdict.WorkerLeaving, "worker %s is leaving", t.Worker)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "1":
		return r, verdict.New(verdict.NotRun, verdict.WorkerRefused, "worker %s refused the task", t.Worker)
	case err != nil && ctx.Err() != nil:
		p.closeIdle()
		return r, verdict.Wrap(err, verdict.MayHaveRun, verdict.TaskTimeout, "worker %s did not complete its reply in time", t.Worker)
	case err != nil:
		return r, verdict.Wrap(err, verdict.MayHaveRun, verdict.ConnectionLost, "the connection to worker %s broke after %d bytes of its reply", t.Worker, len(body))
	case int64(len(body)) > c.config.MaxReplyBytes:
		return r, verdict.New(verdict.MayHaveRun, verdict.ReplyTooLarge, "the reply of worker %s is larger than %d bytes", t.Worker, c.config.MaxReplyBytes)
	case resp.StatusCode/100 != 2:
		return r, verdict.New(verdict.MayHaveRun, verdict.TaskFailed, "worker %s replied with status %s", t.Worker, statusText(resp.StatusCode))
	}
	return r, nil
}

func statusText(code int) string {
	return fmt.Sprintf("%d %s", code, http.StatusText(code))
}
