package share

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ExampleDivide() {
	// 100 cores: the first demand is below its part, the others divide the rest by weight.
	fmt.Println(Divide(100, []Demand{{Amount: 10, Weight: 1}, {Amount: 500, Weight: 2}, {Amount: 60, Weight: 1}}))
	// Output: [10 60 30]
}

// A division must not give away more than the capacity, nor less than is demanded while there is capacity,
// nor let an invalid demand take the part of another.
func TestDivide(t *testing.T) {
	inf, nan := math.Inf(1), math.NaN()
	for _, c := range []struct {
		name     string
		capacity float64
		demands  []Demand
		want     []float64
	}{
		{"no demand", 10, nil, []float64{}},
		{"capacity for all", 10, []Demand{{1, 1}, {2, 1}}, []float64{1, 2}},
		{"equal parts", 10, []Demand{{9, 1}, {8, 1}}, []float64{5, 5}},
		{"one at five times the others", 12, []Demand{{25, 1}, {5, 1}, {3, 1}}, []float64{4.5, 4.5, 3}},
		{"below its part, whatever another demands", 12, []Demand{{1e9, 1}, {5, 1}, {3, 1}}, []float64{4.5, 4.5, 3}},
		{"by weight", 12, []Demand{{20, 3}, {20, 1}}, []float64{9, 3}},
		{"weight 0 or less counts as 1", 12, []Demand{{20, 0}, {20, -1}}, []float64{6, 6}},
		{"no capacity", 0, []Demand{{20, 1}}, []float64{0}},
		{"negative capacity", -5, []Demand{{20, 1}}, []float64{0}},
		{"infinite demand", 10, []Demand{{inf, 1}, {3, 1}, {9, 1}}, []float64{3.5, 3, 3.5}},
		{"negative demand or NaN", 10, []Demand{{-5, 1}, {nan, 1}, {12, nan}}, []float64{0, 0, 10}},
		{"infinite weight", 10, []Demand{{20, inf}, {20, 1}}, []float64{5, 5}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, Divide(c.capacity, c.demands), c.want) })
	}
}

// addJobs adds one unit of work at regular intervals.
func addJobs(m *Meter[string], from, to, every time.Duration) {
	for at := from; at < to; at += every {
		m.Add(at, "a", 1, 100*time.Millisecond)
	}
}

// A rate must follow a burst in time, and must not keep demands that have ended.
func TestMeter(t *testing.T) {
	var m Meter[string]
	const start, burst = 5 * time.Second, 5300 * time.Millisecond
	addJobs(&m, 0, start, 10*time.Millisecond)
	assert.Assert(t, math.Abs(m.Rate(start, "a")-100) < 10)
	addJobs(&m, start, burst, 2*time.Millisecond)
	assert.Assert(t, m.Rate(burst, "a") > 400)
	assert.Assert(t, m.Rate(burst+time.Second, "a") < 15)
	assert.Equal(t, len(m.Rates(burst+forgetAfterDecays*maxDecayTime+1)), 0)
	assert.Equal(t, len(m.rates), 0)
}

// With few jobs per demand, each job must not look like a burst.
func TestMeterOfRareJobs(t *testing.T) {
	var m Meter[string]
	addJobs(&m, 0, 30*time.Second, 400*time.Millisecond)
	assert.Assert(t, m.Rate(30*time.Second, "a") < 1.5*2.5)
}

// demandsWithBurst returns demands at their usual rates, except "short", which is at a multiple of its rate.
func demandsWithBurst(times float64) map[string]float64 {
	return map[string]float64{"short": 250 * times, "long": 350, "pairs": 620}
}

var names = []string{"short", "long", "pairs"}

// learnedShares returns shares that were learned from the usual demands.
func learnedShares() *LearnedShares[string] {
	l := new(LearnedShares[string])
	for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
		l.Divide(at, 1300, names, demandsWithBurst(1))
	}
	return l
}

// A burst of one demand must not reduce the shares of others that demand no more than usual, even when it
// lasts. With equal shares, the largest demand would be cut first.
func TestBurstReducesOnlyItsOwnShare(t *testing.T) {
	for _, times := range []float64{1.5, 3, 5, 1000} {
		u, demands := learnedShares(), demandsWithBurst(times)
		var parts map[string]float64
		for at := 20 * time.Second; at < 28*time.Second; at += 20 * time.Millisecond {
			parts = u.Divide(at, 1300, names, demands)
		}
		assert.Assert(t, parts["long"] > 0.97*350 && parts["pairs"] > 0.97*620, "%v times: %v", times, parts)
		assert.Assert(t, parts["short"]+parts["long"]+parts["pairs"] < 1300.01)
	}
}

// A demand that was learned wrongly, or is new, must get at least its part of the floor. Unused capacity
// must be given to the other demands.
func TestFloorAndUnusedCapacity(t *testing.T) {
	u := learnedShares()
	demands := map[string]float64{"short": 2000, "long": 2000, "new": 2000}
	parts := u.Divide(20*time.Second, 1200, []string{"short", "long", "new"}, demands)
	assert.Assert(t, parts["new"] >= floorShare*1200/3)
	assert.Assert(t, parts["short"]+parts["long"]+parts["new"] > 1199)
	parts = u.Divide(20*time.Second, 1200, names, map[string]float64{"short": 2000})
	assert.Assert(t, parts["short"] > 1199)
}
