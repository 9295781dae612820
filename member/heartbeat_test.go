package member

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var scheduleConfig = HeartbeatScheduleConfig{Domain: "a", Interval: 500 * time.Millisecond, RemoteInterval: 2 * time.Second}

var scheduleAddresses = []netip.AddrPort{
	netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"),
}

// exchanges lets two entries, whose ticks are offset by delta, exchange heartbeats for a time. It returns
// how many exchanges each began and the longest time between two exchanges.
func exchanges(domains [2]string, delta, length time.Duration) (began [2]int, longest time.Duration) {
	var schedules [2]*HeartbeatSchedule
	for i := range schedules {
		c := scheduleConfig
		c.Domain = domains[i]
		schedules[i] = NewHeartbeatSchedule(c)
	}
	last := time.Duration(0)
	for now := time.Duration(0); now < length; now += time.Millisecond {
		for i, offset := range []time.Duration{0, delta} {
			other := 1 - i
			if now%scheduleConfig.Interval != offset || !schedules[i].Due(now, scheduleAddresses[other], domains[other], true) {
				continue
			}
			began[i]++
			longest = max(longest, now-last)
			last = now
			schedules[0].HandleExchange(now, scheduleAddresses[1])
			schedules[1].HandleExchange(now, scheduleAddresses[0])
		}
	}
	return began, longest
}

// Two entries must exchange one heartbeat per interval between them, not one each, whatever the offset of
// their ticks. Entries of different failure domains must use the longer interval.
func TestOneExchangePerPairAndInterval(t *testing.T) {
	for delta := time.Duration(0); delta < scheduleConfig.Interval; delta += 20 * time.Millisecond {
		began, longest := exchanges([2]string{"a", "a"}, delta, 10*time.Second)
		sum := began[0] + began[1]
		assert.Assert(t, sum >= 20 && sum <= 22, "offset %s: %d exchanges in 10 s", delta, sum)
		assert.Assert(t, longest <= scheduleConfig.Interval+scheduleConfig.Interval/2, "offset %s: %s without an exchange", delta, longest)

		began, longest = exchanges([2]string{"a", "b"}, delta, 40*time.Second)
		sum = began[0] + began[1]
		assert.Assert(t, sum >= 18 && sum <= 22, "offset %s: %d exchanges in 40 s", delta, sum)
		assert.Assert(t, longest <= scheduleConfig.RemoteInterval+scheduleConfig.Interval, "offset %s: %s without an exchange", delta, longest)
	}
}

// A peer that does not answer is tried once per RemoteInterval, and at the usual interval after an exchange.
func TestDeadPeerIsTriedAtRemoteInterval(t *testing.T) {
	s, peer := NewHeartbeatSchedule(scheduleConfig), scheduleAddresses[1]
	assert.Assert(t, s.Due(0, peer, "a", false))
	s.HandleFailure(0, peer)
	assert.Assert(t, !s.Due(scheduleConfig.Interval, peer, "a", false))
	assert.Assert(t, s.Due(scheduleConfig.Interval, peer, "a", true), "one lost heartbeat must not make a peer count as dead")
	assert.Assert(t, s.Due(scheduleConfig.RemoteInterval, peer, "a", false))
	s.HandleExchange(scheduleConfig.RemoteInterval, peer)
	assert.Assert(t, s.Due(scheduleConfig.RemoteInterval+scheduleConfig.Interval, peer, "a", true))
	s.RemoveUnlisted(nil)
	assert.Equal(t, len(s.exchanged)+len(s.failed), 0)
}
