package quota

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// liveEntries returns live entries with the given demands, two per failure domain.
func liveEntries(demands ...float64) []Entry {
	var live []Entry
	for i, d := range demands {
		live = append(live, Entry{
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)), Domain: string(rune('a' + i/2)), Demand: d,
		})
	}
	return live
}

func domainNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, string(rune('a'+i)))
	}
	return names
}

// sumShares adds up the shares that the live entries compute from one view.
func sumShares(limit int, names []string, live []Entry) (rate float64, slots int) {
	for _, e := range live {
		v := View{Self: e.Address, Domains: names, Live: live}
		rate += RateShare(float64(limit), v)
		slots += TaskShare(limit, v)
	}
	return rate, slots
}

func TestSharesAddUpToLimit(t *testing.T) {
	for _, limit := range []int{1, 2, 7, 100, 1001} {
		for _, live := range [][]Entry{liveEntries(0), liveEntries(0, 0, 0, 0, 0, 0), liveEntries(5, 0, 100, 3, 0.5, 40), liveEntries(1e6, 1)} {
			all := domainNames((len(live) + 1) / 2)
			rate, slots := sumShares(limit, all, live)
			assert.Assert(t, rate > 0.999*float64(limit) && rate < 1.001*float64(limit), "%d: %f", limit, rate)
			assert.Equal(t, slots, limit)
		}
	}
}

// Guards against exceeding the limit during a partition. Three failure domains are split
// into one and two, and each side keeps its part whatever its demand.
func TestPartitionedEntriesStayWithinLimit(t *testing.T) {
	for _, limit := range []int{1, 2, 10, 301} {
		all := liveEntries(50, 0, 9, 9, 1, 300)
		one, two := all[:2], all[2:]
		rateOne, slotsOne := sumShares(limit, domainNames(3), one)
		rateTwo, slotsTwo := sumShares(limit, domainNames(3), two)
		assert.Assert(t, rateOne+rateTwo < 1.001*float64(limit))
		assert.Equal(t, slotsOne+slotsTwo, limit)
		assert.Assert(t, rateOne > 0.333*float64(limit))
	}
}

func TestShareFollowsDemand(t *testing.T) {
	live := liveEntries(90, 10, 0, 0)
	share := func(i int) float64 {
		return RateShare(100, View{Self: live[i].Address, Domains: domainNames(2), Live: live})
	}
	assert.Assert(t, share(0) > 70)
	assert.Assert(t, share(2) >= 5, "the share of an entry without demand is too small to start tasks")
}

// Guards against starting more than a team's quota plus a burst of one second. The team
// requests ten times its quota in jobs of five tasks. Each refusal is NotRun, with a
// Retry-After that grows with each refusal in a row.
func TestLimiterBoundsTeamToShare(t *testing.T) {
	l := NewLimiter()
	l.SetShares(0, map[string]float64{"sales": 100})
	started := 0
	var before time.Duration
	for now := time.Duration(0); now < 10*time.Second; now += 5 * time.Millisecond {
		f := l.Admit(now, "sales", 5)
		if f == nil {
			started += 5
			before = 0
			continue
		}
		assert.Equal(t, f.Verdict, verdict.NotRun)
		assert.Equal(t, f.Reason, verdict.OverQuota)
		assert.Assert(t, f.RetryAfter > 0 && f.RetryAfter <= maxRetryAfter)
		assert.Assert(t, f.RetryAfter >= min(before, maxRetryAfter)-10*time.Millisecond)
		before = f.RetryAfter
		assert.Assert(t, l.Admit(now, "other", 1000) == nil)
	}
	assert.Assert(t, started >= 1000 && started <= 1105, "%d", started)
	assert.Equal(t, l.CollectDemand()["sales"], 10000.0)
}

// Guards against refusing a job forever because it is larger than the share of one second.
// The job is admitted, and its debt is paid off afterwards.
func TestJobLargerThanBurstIsAdmitted(t *testing.T) {
	l := NewLimiter()
	l.SetShares(0, map[string]float64{"sales": 2})
	assert.Assert(t, l.Admit(0, "sales", 160) == nil)
	assert.Assert(t, l.Admit(time.Second, "sales", 1) != nil)
	l.Refund("sales", 160)
	assert.Assert(t, l.Admit(time.Second, "sales", 1) == nil)
}

// Guards against an entry that counts its own demand before its peers have received it:
// Delayed must be one period behind Reported.
func TestDelayedDemandFollowsReportedDemand(t *testing.T) {
	var d Demand
	d.Observe(100)
	assert.Equal(t, d.Reported(), 50.0)
	assert.Equal(t, d.Delayed(), 0.0)
	d.Observe(100)
	assert.Equal(t, d.Delayed(), 50.0)
}

// Two entries of two failure domains share a quota by demand. With one of the domains
// not live, the other keeps its equal part.
func ExampleRateShare() {
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.1.1:1")
	live := []Entry{{Address: a, Domain: "a", Demand: 75}, {Address: b, Domain: "b", Demand: 25}}
	fmt.Println(RateShare(100, View{Self: a, Domains: []string{"a", "b"}, Live: live}))
	fmt.Println(RateShare(100, View{Self: a, Domains: []string{"a", "b"}, Live: live[:1]}))
	// Output:
	// 70
	// 50
}
