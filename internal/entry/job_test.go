package entry

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/config"
)

// FuzzCheckJob checks bodies that callers may send. Checking must not panic. A refusal must have a message of
// bounded length. An accepted job must have a number of tasks within the limit, each with a JSON payload, and
// must keep its deadline and number of tasks when it is encoded and decoded again.
func FuzzCheckJob(f *testing.F) {
	nested := strings.Repeat("[", 5000) + strings.Repeat("]", 5000)
	for _, seed := range []string{
		``, `null`, `{}`, `[]`, `{"kind":"quote"}`,
		`{"kind":"quote","tasks":[{"payload":{"step":"roof_pitch"}}]}`,
		`{"kind":"quote","urgency":"high","deadline_ms":500,"tasks":[{},{"payload":null}]}`,
		`{"kind":"quote","kind":"nap","tasks":[{"payload":1,"payload":2}],"tasks":[{}]}`,
		`{"Kind":"quote","TASKS":[{"payload":"\ud800\u0000"}]}`,
		`{"kind":"quote","tasks":[{"payload":` + nested + `}]}`,
		`{"kind":"quote","tasks":[{"payload":1e999}],"deadline_ms":-0}`,
		`{"kind":"quote","tasks":[{"payload":1}]}]`,
		"{\"kind\":\"\xff\",\"tasks\":[{}]}",
	} {
		f.Add([]byte(seed))
	}
	index := config.NewIndex(testConfig())
	f.Fuzz(func(t *testing.T, body []byte) {
		j, kind, failure := checkJob(index, body)
		if failure != nil {
			assert.Assert(t, j == nil && kind == nil)
			assert.Assert(t, failure.Message != "" && len(failure.Message) < 1000, failure.Message)
			assert.Equal(t, failure.ResubmitSafety(false), "safe")
			return
		}
		assert.Assert(t, len(j.Tasks) >= 1 && len(j.Tasks) <= config.MaxTasks)
		for _, p := range payloads(j) {
			assert.Assert(t, json.Valid(p))
		}
		encoded, err := json.Marshal(j)
		assert.NilError(t, err)
		decoded, _, failure := checkJob(index, encoded)
		assert.Assert(t, failure == nil, "%s", encoded)
		assert.Equal(t, decoded.DeadlineMs, j.DeadlineMs)
		assert.Equal(t, len(decoded.Tasks), len(j.Tasks))
	})
}

// Guards against refusing a valid job because its payload is deeply nested or a key occurs twice. Of two
// values, the last one counts.
func TestNestedOrDuplicateKeysAreAccepted(t *testing.T) {
	index := config.NewIndex(testConfig())
	nested := strings.Repeat("[", 5000) + strings.Repeat("]", 5000)
	j, _, failure := checkJob(index, []byte(`{"kind":"quote","tasks":[{"payload":`+nested+`}]}`))
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, string(payloads(j)[0]), nested)
	j, _, failure = checkJob(index, []byte(`{"kind":"nap","kind":"quote","tasks":[{"payload":1,"payload":2}]}`))
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, string(payloads(j)[0]), "2")
}
