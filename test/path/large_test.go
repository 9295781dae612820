// Tests of large answers and request bodies.

package path

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// largeJob returns a job whose results each have about the given number of bytes.
func largeJob(tasks, bytes int) schema.Job {
	j := cluster.Job(cluster.Booking, "large", tasks)
	for i := range j.Tasks {
		j.Tasks[i].Payload = []byte(`{"reply_bytes":` + strconv.Itoa(bytes) + `}`)
	}
	return j
}

// Guards against callers that retry forever because an answer is too large for a message between entries.
// The caller must learn at once that the answer is too large, at the owner and at the other entry alike.
func TestTooLargeAnswerFails(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	id := reserve(t, c.Entries[0], cluster.Token)
	job := jobJSON(t, largeJob(8, 5<<20))
	for _, e := range []*cluster.Entry{c.Entries[1], c.Entries[0]} {
		a := send(t, e, rawRequest{"PUT", "/v1/submissions/" + id, cluster.Token, job})
		assert.Equal(t, a.status, http.StatusBadGateway, a.text[:min(len(a.text), 300)])
		assert.Equal(t, a.Reason, "reply_too_large")
		assert.Equal(t, a.Verdict, "may-have-run")
		assert.Equal(t, a.Resubmit, "unsafe")
	}
}

// Guards against truncated messages between entries. A large answer and a body at the size limit must pass
// through another entry unchanged.
func TestLargeAnswerIsForwarded(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	id := reserve(t, c.Entries[0], cluster.Token)
	job := largeJob(14, 1<<20)
	padding := 1<<20 - len(jobJSON(t, job))
	job.Tasks[0].Payload = []byte(`{"reply_bytes":1048576,"note":"` + strings.Repeat("x", padding-len(`,"note":""`)) + `"}`)
	assert.Equal(t, len(jobJSON(t, job)), 1<<20)
	var texts []string
	for _, e := range []*cluster.Entry{c.Entries[1], c.Entries[0]} {
		a := send(t, e, rawRequest{"PUT", "/v1/submissions/" + id, cluster.Token, jobJSON(t, job)})
		assert.Equal(t, a.status, http.StatusOK, a.text[:min(len(a.text), 300)])
		assert.Equal(t, len(a.Results), len(job.Tasks))
		texts = append(texts, a.text)
	}
	assert.Assert(t, texts[0] == texts[1])
}
