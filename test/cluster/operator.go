// A client for the operator API.

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Operator is a client for the operator API of one entry.
type Operator struct {
	T     testing.TB
	URL   string
	Token string
}

// NewOperator returns a client for the operator API of an entry.
func NewOperator(t testing.TB, e *Entry) Operator {
	return Operator{T: t, URL: e.OperatorURL, Token: OperatorToken}
}

// Call sends a request and decodes the response. It returns the HTTP status, or 0 without a response.
func (o Operator) Call(method, path string, request, response any) int {
	b, err := json.Marshal(request)
	assert.Check(o.T, err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, o.URL+path, bytes.NewReader(b))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+o.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	assert.Check(o.T, json.NewDecoder(resp.Body).Decode(response))
	return resp.StatusCode
}

// Plan plans an intent and fails the test unless the entry accepts it.
func (o Operator) Plan(intent schema.Intent) schema.Plan {
	o.T.Helper()
	var plan schema.Plan
	assert.Equal(o.T, o.Call(http.MethodPost, "/v1/plans", intent, &plan), http.StatusOK)
	assert.Assert(o.T, plan.Id != "")
	return plan
}

// ExpectPlanRefused plans an intent, fails the test if the entry accepts it, and returns the refusal.
func (o Operator) ExpectPlanRefused(intent schema.Intent) schema.Outcome {
	o.T.Helper()
	var out schema.Outcome
	status := o.Call(http.MethodPost, "/v1/plans", intent, &out)
	assert.Assert(o.T, status != http.StatusOK, "%+v", out)
	return out
}

// Confirm confirms a plan and returns the outcome. It is safe to call from any goroutine.
func (o Operator) Confirm(p schema.Plan) schema.Outcome {
	var out schema.Outcome
	o.Call(http.MethodPost, "/v1/confirmations", schema.Confirmation{
		Id: p.Id, BaseRevision: p.BaseRevision, Nonce: p.Nonce, Intent: p.Intent,
	}, &out)
	return out
}

// Apply plans and confirms an intent, and returns the revision. It fails the test unless the intent
// is applied.
func (o Operator) Apply(intent schema.Intent) uint64 {
	o.T.Helper()
	out := o.Confirm(o.Plan(intent))
	assert.Equal(o.T, out.Outcome, config.Applied, "%+v", out)
	return out.Revision
}

// Status returns the status of all entries.
func (o Operator) Status() schema.FleetStatus {
	var f schema.FleetStatus
	o.Call(http.MethodGet, "/v1/status", nil, &f)
	return f
}

// History returns the recent plans and the revision of the configuration in force.
func (o Operator) History() schema.History {
	var h schema.History
	o.Call(http.MethodGet, "/v1/history", nil, &h)
	return h
}
