package submission

import (
	"crypto/sha256"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against answering a canceled request differently after a handover. A submission is
// canceled before its request arrives, and its owner stops. The request, whatever its
// body, must get the cancellation from the process that took over the record.
func TestTakenOverEarlyCancellationAnswersRequest(t *testing.T) {
	c := TableConfig{Window: time.Minute, Retention: time.Minute, MaxBytes: 1 << 20}
	owner, successor := NewTable(c), NewTable(c)
	id := NewMinter(testOwner).Mint("team", 0)
	r, first, failure := owner.BeginCancel(id, "team", 0)
	assert.Assert(t, first && failure == nil)
	owner.End(r, Response{Status: 410, Body: []byte("canceled")}, 0)
	owner.EachEnded(0, func(r *Record, keep time.Duration) {
		successor.TakeOver(r.ID, r.Team, r.Digest, r.Response(), keep, 0)
	})
	kept := successor.Get(id.String())
	assert.Assert(t, kept != nil)
	failure = kept.Matches(sha256.Sum256([]byte("a job")))
	assert.Assert(t, failure == nil, "%v", failure)
}
