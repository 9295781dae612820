package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// secondToken is the token of a second operator.
const secondToken = "second-operator-token"

// full tells whether the counts of the measurements are asked for instead of the
// smaller ones of every run.
func full() bool { return os.Getenv("LAVENDERCLEAT_FULL") != "" }

// secondOperator is the flag that makes the second operator known to an entry.
func secondOperator() []string {
	return []string{"--operators=second:" + config.HashToken(secondToken)}
}

// operator is an operator who asks one entry.
type operator struct {
	t     testing.TB
	url   string
	token string
}

func asOperator(t testing.TB, e *cluster.Entry) operator {
	return operator{t: t, url: e.OperatorURL, token: cluster.OperatorToken}
}

// call returns the HTTP status, 0 when there was no answer.
func (o operator) call(method, path string, in, out any) int {
	b, err := json.Marshal(in)
	assert.Check(o.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, o.url+path, bytes.NewReader(b))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+o.token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	assert.Check(o.t, json.NewDecoder(resp.Body).Decode(out))
	return resp.StatusCode
}

// plan plans an intent that must be accepted.
func (o operator) plan(i schema.Intent) schema.Plan {
	o.t.Helper()
	var p schema.Plan
	assert.Equal(o.t, o.call(http.MethodPost, "/v1/plans", i, &p), http.StatusOK)
	assert.Assert(o.t, p.Id != "")
	return p
}

// planRefused plans an intent that must not be accepted.
func (o operator) planRefused(i schema.Intent) schema.Outcome {
	o.t.Helper()
	var out schema.Outcome
	status := o.call(http.MethodPost, "/v1/plans", i, &out)
	assert.Assert(o.t, status != http.StatusOK, "%+v", out)
	return out
}

// confirm confirms a plan. It may be called from any goroutine.
func (o operator) confirm(p schema.Plan) schema.Outcome {
	var out schema.Outcome
	o.call(http.MethodPost, "/v1/confirmations", schema.Confirmation{
		Id: p.Id, BaseRevision: p.BaseRevision, Nonce: p.Nonce, Intent: p.Intent,
	}, &out)
	return out
}

// change plans and confirms an intent that must be applied, and returns the revision.
func (o operator) change(i schema.Intent) uint64 {
	o.t.Helper()
	out := o.confirm(o.plan(i))
	assert.Equal(o.t, out.Outcome, config.Applied, "%+v", out)
	return out.Revision
}

func (o operator) status() schema.FleetStatus {
	var f schema.FleetStatus
	o.call(http.MethodGet, "/v1/status", nil, &f)
	return f
}

func (o operator) history() schema.History {
	var h schema.History
	o.call(http.MethodGet, "/v1/history", nil, &h)
	return h
}

// entryOf returns what a status says of one entry.
func entryOf(f schema.FleetStatus, e *cluster.Entry) schema.EntryStatus {
	for _, s := range f.Entries {
		if s.Address == e.Relay.Address().String() {
			return s
		}
	}
	return schema.EntryStatus{}
}

// limits is an intent that changes one number.
func limits(maxTasks string) schema.Intent {
	return schema.Intent{Action: string(config.SetLimits), Settings: []string{"max_tasks=" + maxTasks}}
}

// applications counts how often a plan stands in a history.
func applications(h schema.History, plan string) int {
	n := 0
	for _, p := range h.Plans {
		if p.Plan == plan {
			n++
		}
	}
	return n
}
