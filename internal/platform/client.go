// Package platform is a client of the platform's service. The service has a key-value store, which holds the
// configuration, and the list of VMs.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/internal/tcp"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Errors of the platform's service.
var (
	// ErrNotFound is returned if the key has no value.
	ErrNotFound = errors.New("key not found")
	// ErrConflict is returned if the key's revision is not the expected one. Nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable is returned if the service does not answer, or answers with an error. A write may have
	// taken effect.
	ErrUnavailable = errors.New("platform unavailable")
)

// Paths and parameters of the service.
const (
	PathKeys  = "/v1/keys/"
	PathVMs   = "/v1/vms"
	ParamPrev = "prev"
	// ParamAfter makes the call wait for a revision other than the given one.
	ParamAfter = "after"
	// ParamWait is the longest wait, in milliseconds.
	ParamWait = "wait_ms"
	// MaxValueBytes is the largest size of a value.
	MaxValueBytes = 1 << 20
)

// Value is the value of a key with the key's revision. The revision counts the writes of the key, from 1.
type Value struct {
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}

// Client is a client of the platform's service.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	// Traffic counts the bytes of all calls.
	Traffic Traffic
}

// NewClient returns a client of the service at a base URL, with DefaultTimeout.
func NewClient(base string) *Client { return NewClientTimeout(base, DefaultTimeout) }

// NewClientTimeout returns a client whose calls end after a timeout. A watch ends after its wait and the
// timeout.
func NewClientTimeout(base string, timeout time.Duration) *Client {
	c := &Client{base: base, timeout: timeout}
	c.Traffic.dialer = tcp.Dialer(dialTimeout, silenceTimeout)
	t := &http.Transport{DialContext: c.Traffic.dial, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 4}
	c.http = &http.Client{Transport: t}
	return c
}

const (
	// DefaultTimeout allows for a slow service. Ending calls that the service would still answer only adds to
	// its load.
	DefaultTimeout = 12 * time.Second
	// dialTimeout is how long a connection attempt may take.
	dialTimeout = 2 * time.Second
	// silenceTimeout is how long a connection may be silent before it is closed, also while a watch waits on
	// it.
	silenceTimeout = 4 * time.Second
	// idleTimeout closes connections soon after their last use, because they may go silent while idle.
	idleTimeout = 5 * time.Second
)

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	return c.get(ctx, key, 0, url.Values{})
}

// Watch waits for up to wait until the key's revision differs from the given one, and returns the value. ok
// is false if the revision has not changed. A store that was restored from an older state has a lower
// revision, so a change in either direction ends the wait.
func (c *Client) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (v Value, ok bool, err error) {
	v, err = c.get(ctx, key, wait, watchParams(revision, wait))
	return v, err == nil && v.Revision != revision, err
}

func watchParams(after uint64, wait time.Duration) url.Values {
	return url.Values{
		ParamAfter: {strconv.FormatUint(after, 10)},
		ParamWait:  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}

func (c *Client) get(ctx context.Context, key string, wait time.Duration, params url.Values) (Value, error) {
	var v Value
	b, err := c.do(ctx, http.MethodGet, PathKeys+key+"?"+params.Encode(), nil, wait)
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return v, errors.Mark(errors.Wrapf(err, "decoding the platform's answer of %d bytes", len(b)), ErrUnavailable)
	}
	return v, nil
}

// CompareAndSwap writes a key if its revision is prev (0: it has no value), and returns the new revision. After
// ErrConflict, nothing was written. After ErrUnavailable, the write may have taken effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte) (uint64, error) {
	params := url.Values{ParamPrev: {strconv.FormatUint(prev, 10)}}
	b, err := c.do(ctx, http.MethodPut, PathKeys+key+"?"+params.Encode(), value, 0)
	if err != nil {
		return 0, err
	}
	var v Value
	if err := json.Unmarshal(b, &v); err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "decoding the platform's answer of %d bytes", len(b)), ErrUnavailable)
	}
	return v.Revision, nil
}

// VMs waits for up to wait until the version of the VM list differs from the given one, and returns the list.
// ok is false if the version has not changed.
func (c *Client) VMs(ctx context.Context, version uint64, wait time.Duration) (l *schema.VmList, ok bool, err error) {
	b, err := c.do(ctx, http.MethodGet, PathVMs+"?"+watchParams(version, wait).Encode(), nil, wait)
	if err != nil {
		return nil, false, err
	}
	l = new(schema.VmList)
	if err := proto.Unmarshal(b, l); err != nil {
		return nil, false, errors.Mark(errors.Wrapf(err, "decoding the VM list of %d bytes", len(b)), ErrUnavailable)
	}
	return l, l.GetVersion() != version, nil
}

// do makes one call, during which the service may wait for up to wait. net/http may resend a GET by itself,
// which does no harm. It never resends a PUT, because the type of the body is hidden.
func (c *Client) do(ctx context.Context, method, path string, body []byte, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	var r io.Reader
	if body != nil {
		r = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, r)
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	if body != nil {
		req.ContentLength = int64(len(body))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// The path may have gone silent for every existing connection.
		c.http.CloseIdleConnections()
		return nil, errors.Mark(errors.Wrap(err, "calling the platform"), ErrUnavailable)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 2*MaxValueBytes))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "reading the platform's answer"), ErrUnavailable)
	}
	return b, statusError(resp.StatusCode)
}

func statusError(code int) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	default:
		return errors.Wrapf(ErrUnavailable, "the platform answered with status %d; want %d", code, http.StatusOK)
	}
}
