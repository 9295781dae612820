package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
)

// stopWithin stops an entry and reports whether that took less than its stop timeout.
func stopWithin(t *testing.T, e *Entry, timeout time.Duration) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*timeout)
	defer cancel()
	begin := time.Now()
	assert.NilError(t, e.Stop(ctx))
	return time.Since(begin) < timeout
}

// An operator stops a lone entry that kept no answer. There is nobody to hand over to
// and nothing to hand over, so it ends at once, not at its stop timeout.
func TestLoneEntryWithoutAnswersStopsAtOnce(t *testing.T) {
	const timeout = 20 * time.Second
	e := startEntry(t, func(e *Entry) { e.settings.StopTimeout = timeout })
	assert.Assert(t, stopWithin(t, e, timeout), "stopped only at the stop timeout")
}

// A lone entry that kept an answer goes on serving it until its stop timeout: its
// caller may still come back for it.
func TestLoneEntryServesItsAnswersUntilStopTimeout(t *testing.T) {
	const timeout = 3 * time.Second
	e := startEntry(t, func(e *Entry) { e.settings.StopTimeout = timeout })
	_, err := testClient(e).Submit(t.Context(), schema.Job{Kind: "quote", Tasks: []schema.Task{{}}})
	assert.NilError(t, err)
	assert.Assert(t, !stopWithin(t, e, timeout), "stopped before the stop timeout")
}
