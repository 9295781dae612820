package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
)

// stopsBefore stops an entry and reports whether that took less than timeout.
func stopsBefore(t *testing.T, e *Entry, timeout time.Duration) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*timeout)
	defer cancel()
	begin := time.Now()
	assert.NilError(t, e.Stop(ctx))
	return time.Since(begin) < timeout
}

// Guards against a delay when an operator stops a lone entry without answers. There is no successor and nothing
// to hand over, so the entry must stop at once instead of at its stop time-out.
func TestLoneEntryWithoutAnswersStopsAtOnce(t *testing.T) {
	const timeout = 20 * time.Second
	e := startEntry(t, func(e *Entry) { e.settings.StopTimeout = timeout })
	assert.Assert(t, stopsBefore(t, e, timeout), "stopped only at the stop time-out")
}

// Guards against losing an answer too early. A lone entry with an answer must serve it until the stop
// time-out, because its caller may still request it.
func TestLoneEntryServesItsAnswersUntilStopTimeout(t *testing.T) {
	const timeout = 3 * time.Second
	e := startEntry(t, func(e *Entry) { e.settings.StopTimeout = timeout })
	_, err := testClient(e).Submit(t.Context(), schema.Job{Kind: "quote", Tasks: []schema.Task{{}}})
	assert.NilError(t, err)
	assert.Assert(t, !stopsBefore(t, e, timeout), "stopped before the stop time-out")
}
