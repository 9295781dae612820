package cli

import (
	"bytes"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
)

// The answer that dev --once prints lacks results, has them in another order than the tasks, or has
// results of other payloads.
func TestDevOncePrintsResultOfEveryTask(t *testing.T) {
	var out, log bytes.Buffer
	code := Main([]string{"dev", "--once"}, &out, &log)
	assert.Equal(t, code, exitOK, log.String())

	var a schema.Answer
	assert.NilError(t, json.Unmarshal(out.Bytes(), &a))
	assert.Equal(t, a.Outcome, client.Complete)
	job := sampleJob()
	assert.Equal(t, len(a.Results), len(job.Tasks))
	for i, raw := range a.Results {
		var r struct {
			Task    int
			Payload json.RawMessage
		}
		assert.NilError(t, json.Unmarshal(raw, &r))
		assert.Equal(t, r.Task, i)
		var got, want bytes.Buffer
		assert.NilError(t, json.Compact(&got, r.Payload))
		assert.NilError(t, json.Compact(&want, job.Tasks[i].Payload))
		assert.Equal(t, got.String(), want.String())
	}
}

// A command with an invalid setting runs anyway, or its error does not name the flag and the accepted
// values.
func TestInvalidSettingErrorNamesFlag(t *testing.T) {
	var out, log bytes.Buffer
	code := Main([]string{"dev", "--once", "--port", "70000"}, &out, &log)
	assert.Equal(t, code, exitUsage)
	assert.Equal(t, out.Len(), 0)
	assert.Assert(t, bytes.Contains(log.Bytes(), []byte("--port is 70000; accepted are 0 to 65530")), log.String())
}
