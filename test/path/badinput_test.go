// Tests of invalid requests, and of reused, foreign and expired identifiers.

package path

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// rawRequest is a request to the caller API, without the checks of the client package.
type rawRequest struct {
	method, path, token, body string
}

// reply is the reply to a raw request.
type reply struct {
	schema.Answer
	status int
	header http.Header
	text   string
}

// send sends a raw request and checks that the body of the reply is one JSON object.
func send(t *testing.T, e *cluster.Entry, r rawRequest) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), r.method, e.CallerURL+r.path, strings.NewReader(r.body))
	assert.NilError(t, err)
	if r.token != "" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	a := reply{status: resp.StatusCode, header: resp.Header, text: string(b)}
	assert.NilError(t, json.Unmarshal(b, &a.Answer), "%s %s: expected one JSON object, got status %d and %q", r.method, r.path, a.status, b)
	return a
}

// reserve reserves one identifier.
func reserve(t *testing.T, e *cluster.Entry, token string) string {
	t.Helper()
	ids, err := e.Client(token).Reserve(t.Context(), 1)
	assert.NilError(t, err)
	return ids[0]
}

// jobJSON returns a job as JSON.
func jobJSON(t *testing.T, j schema.Job) string {
	t.Helper()
	b, err := json.Marshal(j)
	assert.NilError(t, err)
	return string(b)
}

// alterCharacter returns the identifier with another character at the index.
func alterCharacter(id string, at int) string {
	c := byte('A')
	if id[at] == c {
		c = 'B'
	}
	return id[:at] + string(c) + id[at+1:]
}

// checkRefused checks a refusal: it has the status and the reason, the verdict not-run, says that a new
// submission is safe, has a message, and reveals no team names or internals.
func checkRefused(t *testing.T, a reply, status int, reason string) {
	t.Helper()
	assert.Equal(t, a.status, status, a.text)
	assert.Equal(t, a.Reason, reason, a.text)
	assert.Equal(t, a.Outcome, client.Failed, a.text)
	assert.Equal(t, a.Verdict, "not-run", a.text)
	assert.Equal(t, a.Resubmit, "safe", a.text)
	assert.Assert(t, a.Message != "" && len(a.Message) < 500, a.text)
	for _, secret := range []string{"team-a", "team-b", "schema.", "goroutine", ".go:"} {
		assert.Assert(t, !strings.Contains(a.text, secret), "the reply reveals %q: %s", secret, a.text)
	}
	if status >= 500 {
		assert.Assert(t, a.header.Get("Retry-After") != "", a.text)
	}
}

// Guards against invalid requests that start tasks or get an unclear error. A caller sends them to the
// owner of its identifier and through the other entry. Each must be refused with a 4xx status and a
// message, and no task may start.
func TestBadInputIsRefusedWithoutStart(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	owner, other := c.Entries[0], c.Entries[1]
	quote := jobJSON(t, cluster.Job(cluster.Quote, "bad", 1))
	booking := jobJSON(t, cluster.Job(cluster.Booking, "bad", 1))
	withField := func(field string) string { return strings.TrimSuffix(quote, "}") + "," + field + "}" }

	jobs := []struct {
		name, body string
		status     int
		reason     string
	}{
		{"empty", ``, 400, "bad_request"},
		{"not JSON", `kind=quote`, 400, "bad_request"},
		{"cut", quote[:len(quote)-5], 400, "bad_request"},
		{"not an object", `[1]`, 400, "bad_request"},
		{"null", `null`, 422, "unknown_kind"},
		{"wrong type", `{"kind":"quote","tasks":"all"}`, 400, "bad_request"},
		{"unknown kind", `{"kind":"nap","tasks":[{"payload":1}]}`, 422, "unknown_kind"},
		{"long unknown kind", `{"kind":"` + strings.Repeat("n", 10_000) + `","tasks":[{"payload":1}]}`, 422, "unknown_kind"},
		{"no tasks", `{"kind":"quote","tasks":[]}`, 400, "bad_request"},
		{"tasks left out", `{"kind":"quote"}`, 400, "bad_request"},
		{"161 tasks", jobJSON(t, cluster.Job(cluster.Quote, "bad", 161)), 422, "too_many_tasks"},
		{"over the limit", `{"kind":"quote","tasks":[{"payload":"` + strings.Repeat("x", 1<<20) + `"}]}`, 413, "too_large"},
		{"deadline below 0", withField(`"deadline_ms":-1`), 400, "bad_request"},
		{"deadline too long", withField(`"deadline_ms":60001`), 400, "bad_request"},
		{"deadline no number", withField(`"deadline_ms":9e99`), 400, "bad_request"},
		{"unknown urgency", withField(`"urgency":"extreme"`), 400, "bad_request"},
		{"unknown field", withField(`"prio":1`), 400, "bad_request"},
		{"unknown task field", `{"kind":"quote","tasks":[{"payload":1,"run":2}]}`, 400, "bad_request"},
		{"two jobs", quote + quote, 400, "bad_request"},
		{"trailing bracket", quote + "]", 400, "bad_request"},
		{"trailing brace", quote + "}", 400, "bad_request"},
		{"trailing text", quote + " x", 400, "bad_request"},
		{"nested too deep", `{"kind":"quote","tasks":[{"payload":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}]}`, 400, "bad_request"},
	}
	id := reserve(t, owner, cluster.Token)
	for _, j := range jobs {
		t.Run(j.name, func(t *testing.T) {
			for _, e := range c.Entries {
				checkRefused(t, send(t, e, rawRequest{"PUT", "/v1/submissions/" + id, cluster.Token, j.body}), j.status, j.reason)
			}
			checkRefused(t, send(t, owner, rawRequest{"POST", "/v1/jobs", cluster.Token, j.body}), j.status, j.reason)
		})
	}

	foreign := reserve(t, owner, cluster.OtherToken)
	canceled := reserve(t, owner, cluster.Token)
	requests := []struct {
		name   string
		r      rawRequest
		status int
		reason string
	}{
		{"cut identifier", rawRequest{"PUT", "/v1/submissions/" + id[:len(id)-1], cluster.Token, quote}, 400, "identifier_bad"},
		{"longer identifier", rawRequest{"PUT", "/v1/submissions/" + id + "A", cluster.Token, quote}, 400, "identifier_bad"},
		{"no identifier at all", rawRequest{"PUT", "/v1/submissions/quote-17", cluster.Token, quote}, 400, "identifier_bad"},
		{"other team's identifier", rawRequest{"PUT", "/v1/submissions/" + foreign, cluster.Token, quote}, 404, "identifier_unknown"},
		{"other team's identifier, asked", rawRequest{"GET", "/v1/submissions/" + foreign, cluster.Token, ""}, 404, "identifier_unknown"},
		{"other team's identifier, canceled", rawRequest{"DELETE", "/v1/submissions/" + foreign, cluster.Token, ""}, 404, "identifier_unknown"},
		{"unused identifier, canceled", rawRequest{"DELETE", "/v1/submissions/" + canceled, cluster.Token, ""}, 410, "canceled"},
		{"canceled identifier", rawRequest{"PUT", "/v1/submissions/" + canceled, cluster.Token, booking}, 410, "canceled"},
		{"one call not allowed", rawRequest{"POST", "/v1/jobs", cluster.Token, booking}, 422, "reserve_first"},
		{"no token", rawRequest{"POST", "/v1/jobs", "", quote}, 401, "unauthorized"},
		{"wrong token", rawRequest{"POST", "/v1/submissions", "token-c", ""}, 401, "unauthorized"},
		{"no token, unknown path", rawRequest{"GET", "/v2", "", ""}, 401, "unauthorized"},
		{"unknown path", rawRequest{"GET", "/v2/jobs", cluster.Token, ""}, 404, "not_found"},
		{"trailing slash", rawRequest{"POST", "/v1/submissions/", cluster.Token, ""}, 404, "not_found"},
		{"wrong method", rawRequest{"GET", "/v1/jobs", cluster.Token, ""}, 405, "method_not_allowed"},
		{"wrong method on an identifier", rawRequest{"POST", "/v1/submissions/" + id, cluster.Token, quote}, 405, "method_not_allowed"},
		{"none reserved", rawRequest{"POST", "/v1/submissions", cluster.Token, `{"count":0}`}, 400, "bad_request"},
		{"too many reserved", rawRequest{"POST", "/v1/submissions", cluster.Token, `{"count":1001}`}, 400, "bad_request"},
		{"count no number", rawRequest{"POST", "/v1/submissions", cluster.Token, `{"count":"two"}`}, 400, "bad_request"},
		{"unknown field in a reservation", rawRequest{"POST", "/v1/submissions", cluster.Token, `{"number":2}`}, 400, "bad_request"},
		{"long reservation", rawRequest{"POST", "/v1/submissions", cluster.Token, strings.Repeat(" ", 5000)}, 413, "too_large"},
	}
	for at := 0; at < len(id); at += 7 {
		requests = append(requests, struct {
			name   string
			r      rawRequest
			status int
			reason string
		}{fmt.Sprintf("identifier altered at %d", at), rawRequest{"PUT", "/v1/submissions/" + alterCharacter(id, at), cluster.Token, quote}, 400, "identifier_bad"})
	}
	for _, r := range requests {
		t.Run(r.name, func(t *testing.T) {
			for _, e := range c.Entries {
				checkRefused(t, send(t, e, r.r), r.status, r.reason)
			}
		})
	}
	for _, e := range c.Entries {
		checkUnauthorized(t, send(t, e, rawRequest{"PUT", "/v1/submissions/" + id, "", quote}))
		checkUnauthorized(t, send(t, e, rawRequest{"PUT", "/v1/submissions/" + id, "token-c", quote}))
	}
	assert.Equal(t, c.RunRecord().Starts, int64(0))

	// After the refusals the identifier still accepts a valid body.
	r, err := other.Client(cluster.Token).Put(t.Context(), id, cluster.Job(cluster.Booking, "good", 2))
	assert.NilError(t, err)
	cluster.CheckComplete(t, cluster.Job(cluster.Booking, "good", 2), r)
}

// checkUnauthorized checks the refusal of a wrong token for an identifier. The entry has not asked the
// owner, so an earlier request with the right token may have run.
func checkUnauthorized(t *testing.T, a reply) {
	t.Helper()
	assert.Equal(t, a.status, http.StatusUnauthorized, a.text)
	assert.Equal(t, a.Reason, "unauthorized", a.text)
	assert.Equal(t, a.Outcome, client.Failed, a.text)
	assert.Equal(t, a.Verdict, "may-have-run", a.text)
	assert.Equal(t, a.Resubmit, "unsafe", a.text)
	assert.Assert(t, !strings.Contains(a.text, "team-"), a.text)
}

// Guards against an identifier that reveals another team's submission. A caller knows another team's
// identifier and requests its answer before and after the job has run. The replies must be identical.
func TestOtherTeamsIdentifierRevealsNothing(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	job := cluster.Job(cluster.Booking, "theirs", 1)
	id := reserve(t, c.Entries[0], cluster.OtherToken)
	sendAll := func() []string {
		var replies []string
		for _, e := range c.Entries {
			for _, method := range []string{"GET", "DELETE", "PUT"} {
				a := send(t, e, rawRequest{method, "/v1/submissions/" + id, cluster.Token, jobJSON(t, job)})
				checkRefused(t, a, 404, "identifier_unknown")
				replies = append(replies, a.text)
			}
		}
		return replies
	}
	before := sendAll()
	r, err := c.Entries[1].Client(cluster.OtherToken).Put(t.Context(), id, job)
	assert.NilError(t, err)
	cluster.CheckComplete(t, job, r)
	assert.DeepEqual(t, sendAll(), before)
	assert.Equal(t, c.RunRecord().Starts, int64(1))
}

// Guards against a second job under a used identifier. It must be refused with status 409 at once, while the
// first job runs and after it has ended, and must not start.
func TestReusedIdentifierIsRefused(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1, RunTime: time.Second})
	first, second := cluster.Job(cluster.Booking, "first", 1), cluster.Job(cluster.Booking, "second", 1)
	id := reserve(t, c.Entries[0], cluster.Token)
	done := make(chan client.Reply, 1)
	go func() {
		r, err := c.Entries[0].Client(cluster.Token).Put(t.Context(), id, first)
		assert.Check(t, err)
		done <- r
	}()
	cluster.Eventually(t, 10*time.Second, "the first job runs", func() bool { return c.RunRecord().Starts == 1 })
	put := rawRequest{"PUT", "/v1/submissions/" + id, cluster.Token, jobJSON(t, second)}
	for _, e := range c.Entries {
		checkReused(t, send(t, e, put))
	}
	cluster.CheckComplete(t, first, <-done)
	for _, e := range c.Entries {
		checkReused(t, send(t, e, put))
	}
	assert.Equal(t, c.RunRecord().Starts, int64(1))
}

// checkReused checks the refusal of another body under a used identifier. The verdict not-run applies to
// the refused request; the identifier's own job may have run.
func checkReused(t *testing.T, a reply) {
	t.Helper()
	checkRefused(t, a, 409, "identifier_reused")
}

// Guards against two runs of one booking whose PUT arrives at two entries at the same time, as from a
// balancer that repeats a request. It must run once, and both callers must receive the same answer.
func TestSamePutAtTwoEntriesRunsOnce(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 1, Workers: 1})
	const rounds = 20
	for n := range rounds {
		job := cluster.Job(cluster.Booking, fmt.Sprint(n), 3)
		id := reserve(t, c.Entries[n%2], cluster.Token)
		var answers [2]client.Reply
		var wg sync.WaitGroup
		for i, e := range c.Entries {
			wg.Go(func() {
				r, err := e.Client(cluster.Token).Put(t.Context(), id, job)
				assert.Check(t, err)
				answers[i] = r
			})
		}
		wg.Wait()
		cluster.CheckComplete(t, job, answers[0])
		assert.DeepEqual(t, answers[0], answers[1])
	}
	w := c.RunRecord()
	assert.Equal(t, w.Starts, int64(3*rounds))
	assert.Equal(t, w.Duplicates, int64(0))
}

// Guards against a booking that is made twice after its answer has expired. A caller that lost its answer
// retries after the identifier's window and the answer's retention are over. The owner no longer has a record
// of the job, so it must start nothing and answer with the verdict may-have-run, not not-run.
func TestExpiredIdentifierStartsNothing(t *testing.T) {
	c := cluster.Start(t, cluster.Options{
		Domains: 1, Entries: 2, Workers: 1,
		EntryFlags: []string{"--identifier-window=1s", "--answer-retention=1s"},
	})
	job := cluster.Job(cluster.Booking, "late", 1)
	id := reserve(t, c.Entries[0], cluster.Token)
	r, err := c.Entries[0].Client(cluster.Token).Put(t.Context(), id, job)
	assert.NilError(t, err)
	if r.Status != http.StatusGone { // On a busy machine the window of 1 s may already be over.
		cluster.CheckComplete(t, job, r)
	}
	starts := c.RunRecord().Starts
	for _, e := range c.Entries {
		cluster.Eventually(t, 10*time.Second, "the identifier has expired", func() bool {
			return send(t, e, rawRequest{"GET", "/v1/submissions/" + id, cluster.Token, ""}).status == http.StatusGone
		})
		a := send(t, e, rawRequest{"PUT", "/v1/submissions/" + id, cluster.Token, jobJSON(t, job)})
		assert.Equal(t, a.status, http.StatusGone, a.text)
		assert.Equal(t, a.Reason, "identifier_expired", a.text)
		assert.Equal(t, a.Verdict, "may-have-run", a.text)
		assert.Equal(t, a.Resubmit, "unsafe", a.text)
	}
	assert.Equal(t, c.RunRecord().Starts, starts)
}
