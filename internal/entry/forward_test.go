package entry

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/member"
)

// Guards against a second final response. A process is asked about its predecessor at the same address. While
// it may not know the successor that keeps the predecessor's answers, it must not report the owner gone.
func TestNewProcessDoesNotReportPredecessorGoneTooEarly(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:1")
	predecessor := member.Process{Address: address, Incarnation: 1}
	r := &router{
		clock:             clock.New(),
		metrics:           NewMetrics(),
		successorsKnownAt: time.Hour,
		members: &membership{
			clock:              clock.New(),
			identifierLifetime: func() time.Duration { return time.Minute },
			view:               member.NewView(member.Config{Self: address, Incarnation: 2}),
		},
	}
	early := r.serveMisdirected(predecessor, callerRequest{})
	assert.Assert(t, !early.wrongIncarnation)
	assert.Equal(t, early.status, 503)
	assert.Assert(t, early.retryAfter > 0)

	r.successorsKnownAt = 0
	assert.Assert(t, r.serveMisdirected(predecessor, callerRequest{}).wrongIncarnation)

	successor := member.Process{Address: netip.MustParseAddrPort("10.0.0.2:1"), Incarnation: 3}
	r.members.withView(func(v *member.View) { v.SetSuccessor(0, predecessor, successor, time.Minute) })
	withSuccessor := r.serveMisdirected(predecessor, callerRequest{})
	assert.Assert(t, !withSuccessor.wrongIncarnation)
	assert.Equal(t, withSuccessor.successor.GetSuccessor(), successor.Address.String())
}
