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
	// Pending is not final: the submission may still end either way.
	Pending = "pending"
)

const (
	// minPause is the shortest pause before asking again.
	minPause = 100 * time.Millisecond
	// headerID carries the identifier of a job sent in one call.
	headerID = "Lavendercleat-Id"
)

// Client calls one URL as one team. It is safe for concurrent use.
type Client struct {
	// URL of the caller interface, without a path.
	URL string
	// Token of the team.
	Token string
	// HTTP makes the calls; http.DefaultClient when nil.
	HTTP *http.Client
}

// Reply is an answer with its HTTP status.
type Reply struct {
	schema.Answer
	Status int
	// RetryAfter is the time to wait before asking again; 0 means no advice.
	RetryAfter time.Duration
}

// Final tells whether the answer is the submission's one ending, or a refusal.
func (r Reply) Final() bool { return r.Outcome == Complete || r.Outcome == Failed }

// Reserve reserves identifiers. Nothing runs.
func (c *Client) Reserve(ctx context.Context, count int) ([]string, error) {
	var out schema.ReserveReply
	resp, body, err := c.do(ctx, http.MethodPost, "/v1/submissions", schema.ReserveRequest{Count: int32(count)})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusCreated {
		return nil, errors.Newf("reserving: %s: %s", resp.Status, body)
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, errors.Wrap(err, "reserving")
	}
	return out.Ids, nil
}

// Put sends a job under an identifier, or joins it, and waits for the answer.
func (c *Client) Put(ctx context.Context, id string, j schema.Job) (Reply, error) {
	return c.answer(ctx, http.MethodPut, "/v1/submissions/"+id, j)
}

// Get asks for the answer of a submission without waiting.
func (c *Client) Get(ctx context.Context, id string) (Reply, error) {
	return c.answer(ctx, http.MethodGet, "/v1/submissions/"+id, nil)
}

// Delete cancels a submission and returns its ending.
func (c *Client) Delete(ctx context.Context, id string) (Reply, error) {
	return c.answer(ctx, http.MethodDelete, "/v1/submissions/"+id, nil)
}

// Do sends a job in one call, which only kinds that allow it accept. Don't repeat it
// after an error: it would make a second submission.
func (c *Client) Do(ctx context.Context, j schema.Job) (Reply, error) {
	return c.answer(ctx, http.MethodPost, "/v1/jobs", j)
}

// Submit reserves an identifier, sends the job under it and asks again until there is
// a final answer or the context ends.
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
			return r, errors.CombineErrors(errors.Wrap(ctx.Err(), "no final answer"), err)
		}
	}
}

func (c *Client) answer(ctx context.Context, method, path string, in any) (Reply, error) {
	resp, body, err := c.do(ctx, method, path, in)
	if err != nil {
		return Reply{}, err
	}
	r := Reply{Status: resp.StatusCode}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	r.RetryAfter = time.Duration(seconds) * time.Second
	if err := json.Unmarshal(body, &r.Answer); err != nil {
		return r, errors.Wrapf(err, "%s: not an answer", resp.Status)
	}
	if r.Id == "" {
		r.Id = resp.Header.Get(headerID)
	}
	return r, nil
}

// do makes one call and reads the whole reply.
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
