package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process is paused for 30 s. What is read right after may have arrived when the
// pause began; what is read later, or before, has just arrived.
func TestRequestsReadAfterPause(t *testing.T) {
	var p Pauses
	const ms = time.Millisecond
	p.Beat(10 * ms)
	assert.Equal(t, p.Received(15*ms), 15*ms)
	p.Beat(20 * ms)
	woke := 30*time.Second + 20*ms
	assert.Equal(t, p.Received(woke), 20*ms)
	p.Beat(woke + 10*ms)
	assert.Equal(t, p.Received(woke+500*ms), 20*ms)
	p.Beat(woke + 600*ms)
	assert.Equal(t, p.Received(woke+1100*ms), woke+1100*ms)
}
