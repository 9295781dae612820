// HTTP client of the caller interface.

package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Outcomes of an answer.
const (
	Complete = "complete"
	Failed   = "failed"
	// Pending is not final: the submission may still complete or fail.
	Pending = "pending"
)

const (
	// minPause is the minimum pause between two requests of Submit.
	minPause = 100 * time.Millisecond
	// headerID is the response header with the identifier of a job that was sent in one call.
	headerID = "Lavendercleat-Id"
)

// Client sends requests of one team to one URL. It is safe for concurrent use.
type Client struct {
	// URL is the URL of the caller interface, without a path.
	URL string
	// Token is the token of the team.
	Token string
	// HTTP sends the requests. Default: http.DefaultClient.
	HTTP *http.Client
}

// Reply is an answer with its HTTP status.
type Reply struct {
	schema.Answer
	Status int
	// RetryAfter is the time to wait before the next request; 0 means no advice.
	RetryAfter time.Duration
}

// Final reports whether the answer is the submission's only result, or a refusal.
func (r Reply) Final() bool { return r.Outcome == Complete || r.Outcome == Failed }

// Reserve reserves submission identifiers. It starts no work.
func (c *Client) Reserve(ctx context.Context, count int) ([]string, error) {
	var out schema.ReserveReply
	resp, body, err := c.do(ctx, http.MethodPost, "/v1/submissions", schema.ReserveRequest{Count: int32(count)})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusCreated {
		return nil, errors.Newf("reserving %d identifiers: expected status %d, got %s: %s", count, http.StatusCreated, resp.Status, body)
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, errors.Wrap(err, "decoding the reserved identifiers")
	}
	return out.Ids, nil
}

// Put sends a job with an identifier and waits for the answer. If the job was sent before, Put only waits.
func (c *Client) Put(ctx context.Context, id string, j schema.Job) (Reply, error) {
	return c.answer(ctx, http.MethodPut, "/v1/submissions/"+id, j)
}

// Get returns the answer of a submission without waiting.
func (c *Client) Get(ctx context.Context, id string) (Reply, error) {
	return c.answer(ctx, http.MethodGet, "/v1/submissions/"+id, nil)
}

// Delete cancels a submission and returns its answer.
func (c *Client) Delete(ctx context.Context, id string) (Reply, error) {
	return c.answer(ctx, http.MethodDelete, "/v1/submissions/"+id, nil)
}

// Do sends a job in one call, without a reserved identifier. Only kinds that allow it accept such a job.
// Do not repeat the call after an error: it would make a second submission.
func (c *Client) Do(ctx context.Context, j schema.Job) (Reply, error) {
	return c.answer(ctx, http.MethodPost, "/v1/jobs", j)
}

// Submit reserves an identifier, sends the job with it and retries until the answer is final or the
// context ends.
func (c *Client) Submit(ctx context.Context, j schema.Job) (Reply, error) {
	ids, err := c.Reserve(ctx, 1)
	if err != nil {
		return Reply{}, err
	}
	for {
		r, err := c.Put(ctx, ids[0], j)
		if err == nil && r.Final() {
			return r, nil
		}
		select {
		case <-time.After(max(r.RetryAfter, minPause)):
		case <-ctx.Done():
			return r, errors.CombineErrors(errors.Wrapf(ctx.Err(), "no final answer for submission %s", ids[0]), err)
		}
	}
}

// answer sends a request and decodes the answer.
func (c *Client) answer(ctx context.Context, method, path string, in any) (Reply, error) {
	resp, body, err := c.do(ctx, method, path, in)
	if err != nil {
		return Reply{}, err
	}
	r := Reply{Status: resp.StatusCode}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	r.RetryAfter = time.Duration(seconds) * time.Second
	if err := json.Unmarshal(body, &r.Answer); err != nil {
		return r, errors.Wrapf(err, "decoding an answer with status %s", resp.Status)
	}
	if r.Id == "" {
		r.Id = resp.Header.Get(headerID)
	}
	return r, nil
}

// do sends a request and reads the whole response.
func (c *Client) do(ctx context.Context, method, path string, in any) (*http.Response, []byte, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, body)
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, b, err
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}
