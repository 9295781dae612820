package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

// A worker's slowdown changes in the encoding, or a worker of unknown slowdown (as an older daemon
// reports it) looks like a fast one.
func TestSlowdownsSurviveEncoding(t *testing.T) {
	for slowdown, want := range map[float64]float64{0: 0, 1: 1, 6.004: 6, 1e9: 100} {
		state := executorFromHeartbeat(member.Process{}, otherDomain, &schema.Pulse{Rooms: []*schema.Room{{PacePercent: slowdownToWire(slowdown)}}})
		assert.Equal(t, state.Workers[0].Slowdown, want)
	}
}
