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

// Operator is an operator who asks one entry.
type Operator struct {
	T     testing.TB
	URL   string
	Token string
}

// AsOperator returns the operator at an entry.
func AsOperator(t testing.TB, e *Entry) Operator {
	return Operator{T: t, URL: e.OperatorURL, Token: OperatorToken}
}

// Call makes one call and returns the HTTP status, 0 when there was no answer.
func (o Operator) Call(method, path string, in, out any) int {
	b, err := json.Marshal(in)
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
	assert.Check(o.T, json.NewDecoder(resp.Body).Decode(out))
	return resp.StatusCode
}

// Plan plans an intent that must be accepted.
func (o Operator) Plan(i schema.Intent) schema.Plan {
	o.T.Helper()
	var p schema.Plan
	assert.Equal(o.T, o.Call(http.MethodPost, "/v1/plans", i, &p), http.StatusOK)
	assert.Assert(o.T, p.Id != "")
	return p
}

// PlanRefused plans an intent that must not be accepted.
func (o Operator) PlanRefused(i schema.Intent) schema.Outcome {
	o.T.Helper()
	var out schema.Outcome
	status := o.Call(http.MethodPost, "/v1/plans", i, &out)
	assert.Assert(o.T, status != http.StatusOK, "%+v", out)
	return out
}

// Confirm confirms a plan. It may be called from any goroutine.
func (o Operator) Confirm(p schema.Plan) schema.Outcome {
	var out schema.Outcome
	o.Call(http.MethodPost, "/v1/confirmations", schema.Confirmation{
		Id: p.Id, BaseRevision: p.BaseRevision, Nonce: p.Nonce, Intent: p.Intent,
	}, &out)
	return out
}

// Change plans and confirms an intent that must be applied, and returns the revision.
func (o Operator) Change(i schema.Intent) uint64 {
	o.T.Helper()
	out := o.Confirm(o.Plan(i))
	assert.Equal(o.T, out.Outcome, config.Applied, "%+v", out)
	return out.Revision
}

// Status returns the state of all entries.
func (o Operator) Status() schema.FleetStatus {
	var f schema.FleetStatus
	o.Call(http.MethodGet, "/v1/status", nil, &f)
	return f
}

// History returns the recent plans.
func (o Operator) History() schema.History {
	var h schema.History
	o.Call(http.MethodGet, "/v1/history", nil, &h)
	return h
}
