// Tests of the verdict not-run: when it is final, and which entry may give it.

package failure

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// reserve returns a reserved identifier.
func reserve(t *testing.T, c *client.Client) string {
	t.Helper()
	ids, err := c.Reserve(t.Context(), 1)
	assert.NilError(t, err)
	return ids[0]
}

// Guards against a booking that starts after its caller got the verdict not-run. The caller gives
// up and cancels; the cancellation arrives before the caller's own delayed PUT and is answered with the
// verdict not-run. If the PUT started the booking, the caller, who books again, would have two.
func TestCancelArrivesBeforePut(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	first, second := c.Entries[0].Client(cluster.Token), c.Entries[1].Client(cluster.Token)
	recorder := cluster.NewCallRecorder()
	id := reserve(t, first)
	job := cluster.Job(cluster.Booking, "overtaken", 2)
	recorder.RecordRequest(id, job)

	// A GET must not end the submission: the PUT may still arrive and run.
	r, err := second.Get(t.Context(), id)
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusNotFound)
	assert.Equal(t, r.Outcome, client.Pending)

	r, err = second.Delete(t.Context(), id)
	assert.NilError(t, err)
	assert.Equal(t, r.Verdict, "not-run")
	assert.Equal(t, r.Reason, "canceled")
	recorder.RecordReply(id, r)

	r, err = recorder.Put(t.Context(), first, id, job)
	assert.NilError(t, err)
	assert.Equal(t, r.Reason, "canceled")
	recorder.Check(t, c.RunRecord())
}

// Guards against a start after a final refusal. A job is refused with the verdict not-run because its
// kind is unknown. A late copy of the request arrives after an operator has configured the kind; it must
// receive the same refusal, because the caller may have submitted the work elsewhere.
func TestRefusalIsFinal(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1})
	e := c.Entries[0].Client(cluster.Token)
	recorder := cluster.NewCallRecorder()
	id := reserve(t, e)
	job := cluster.Job("survey", "early", 1)
	r, err := recorder.Put(t.Context(), e, id, job)
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusUnprocessableEntity)
	assert.Equal(t, r.Verdict, "not-run")

	doc := cluster.Config()
	doc.Revision = 2
	doc.Kinds["survey"] = &schema.Kind{Path: "/survey", DeadlineMs: 5000}
	c.ReplaceConfig(doc)
	cluster.Eventually(t, 10*time.Second, "configuration revision 2 is in force", func() bool {
		return c.Entries[0].Metric(t, "lavendercleat_config_revision") == 2
	})
	r, err = recorder.Put(t.Context(), e, id, job)
	assert.NilError(t, err)
	assert.Equal(t, r.Reason, "unknown_kind")
	recorder.Check(t, c.RunRecord())
}

// Guards against the verdict not-run from an entry that has not asked the owner. A booking runs at its
// owner. The caller repeats its request through another entry: once with a wrong token, and once after
// that entry has restarted without a configuration and without a link to the owner.
func TestNotRunRequiresOwnerAnswer(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1, RunTime: 2 * time.Second})
	owner, other := c.Entries[0], c.Entries[1]
	recorder := cluster.NewCallRecorder()
	id := reserve(t, owner.Client(cluster.Token))
	job := cluster.Job(cluster.Booking, "unasked", 1)
	done := make(chan client.Reply, 1)
	go func() {
		r, err := recorder.Put(t.Context(), owner.Client(cluster.Token), id, job)
		assert.Check(t, err)
		done <- r
	}()
	cluster.Eventually(t, 10*time.Second, "the booking runs", func() bool { return c.RunRecord().Starts == 1 })

	r, err := recorder.Put(t.Context(), other.Client("no such token"), id, job)
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusUnauthorized)
	assert.Equal(t, r.Verdict, "may-have-run")

	other.Kill()
	other.Platform.Cut()
	owner.Proxy.Block()
	other.Proxy.Block()
	c.StartEntry(other)
	r, err = recorder.Put(t.Context(), other.Client(cluster.Token), id, job)
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusServiceUnavailable)
	assert.Equal(t, r.Outcome, client.Pending)
	assert.Assert(t, r.RetryAfter > 0)

	cluster.CheckComplete(t, job, <-done)
}
