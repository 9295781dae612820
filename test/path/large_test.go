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

// largeJob returns a job whose results have about so many bytes each.
func largeJob(tasks, bytes int) schema.Job {
	j := cluster.Job(cluster.Booking, "large", tasks)
	for i := range j.Tasks {
		j.Tasks[i].Payload = []byte(`{"reply_bytes":` + strconv.Itoa(bytes) + `}`)
	}
	return j
}

// A job's answer is larger than a message between entries. Without a bound its caller
// at another entry would be told for ever to ask again, although the job has ended.
// It is told at once that the answer is too large, at both entries alike.
func TestTooLargeAnswerIsOneClearFailure(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	id := reserve(t, c.Entries[0], cluster.Token)
	job := jobText(t, largeJob(8, 5<<20))
	for _, e := range []*cluster.Entry{c.Entries[1], c.Entries[0]} {
		a := send(t, e, request{"PUT", "/v1/submissions/" + id, cluster.Token, job})
		assert.Equal(t, a.status, http.StatusBadGateway, a.text[:min(len(a.text), 300)])
		assert.Equal(t, a.Reason, "reply_too_large")
		assert.Equal(t, a.Verdict, "may-have-run")
		assert.Equal(t, a.Resubmit, "unsafe")
	}
}

// A large answer, and a body at the limit, go through another entry whole.
func TestLargeAnswerIsForwardedWhole(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	id := reserve(t, c.Entries[0], cluster.Token)
	job := largeJob(14, 1<<20)
	room := 1<<20 - len(jobText(t, job))
	job.Tasks[0].Payload = []byte(`{"reply_bytes":1048576,"note":"` + strings.Repeat("x", room-len(`,"note":""`)) + `"}`)
	assert.Equal(t, len(jobText(t, job)), 1<<20)
	var texts []string
	for _, e := range []*cluster.Entry{c.Entries[1], c.Entries[0]} {
		a := send(t, e, request{"PUT", "/v1/submissions/" + id, cluster.Token, jobText(t, job)})
		assert.Equal(t, a.status, http.StatusOK, a.text[:min(len(a.text), 300)])
		assert.Equal(t, len(a.Results), len(job.Tasks))
		texts = append(texts, a.text)
	}
	assert.Assert(t, texts[0] == texts[1])
}
