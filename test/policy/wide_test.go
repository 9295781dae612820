// The tests of wide jobs, compared with other jobs and with a single queue.

package policy

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// The classes of a kind's jobs by their number of tasks: the widest tenth, the fifth below it, and
// the rest.
const (
	widest = iota
	nextFifth
	rest
	widthClasses
)

// byWidth counts the jobs of each kind by class of width.
type byWidth map[string]*[widthClasses]results

// add adds the results of a model.
func (b byWidth) add(m *model) {
	kinds := make(map[string][]*job)
	for _, j := range m.jobs {
		kinds[j.kind.name] = append(kinds[j.kind.name], j)
	}
	for name, jobs := range kinds {
		if b[name] == nil {
			b[name] = new([widthClasses]results)
		}
		slices.SortFunc(jobs, func(x, y *job) int {
			return cmp.Or(cmp.Compare(len(y.runTimes), len(x.runTimes)), cmp.Compare(x.arrivedAt, y.arrivedAt))
		})
		for i, j := range jobs {
			class := rest
			switch {
			case i < len(jobs)/10:
				class = widest
			case i < len(jobs)*3/10:
				class = nextFifth
			}
			b[name][class].count(j)
		}
	}
}

// onTimeShare is the share of jobs on time.
func onTimeShare(list ...results) float64 {
	jobs, onTime := 0, 0
	for _, f := range list {
		jobs, onTime = jobs+f.jobs, onTime+f.onTime
	}
	return float64(onTime) / float64(max(jobs, 1))
}

// Jobs of 12 to 30 tasks at loads up to the full capacity: each task may wait at another executor, and
// the last one delays the job. The widest tenth of each kind is on time at least 0.95 times as often
// as its kind, and the kind nearly as often as with a single queue.
func TestWideJobsOnTimeLikeTheRest(t *testing.T) {
	for name, l := range map[string]workload{
		"three quarters": fourDomains(rate75), "full": fourDomains(rate100), "half a worker each": threeDomains(350),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := make(byWidth)
			for seed := range uint64(seeds) {
				b.add(runModel(l, seed))
			}
			for kind, classes := range b {
				all := onTimeShare(classes[:]...)
				s := fmt.Sprintf("%s: on time %.3f;", kind, all)
				for _, got := range classes {
					s += fmt.Sprintf(" %.3f (late %d, refused %d of %d)", onTimeShare(got), got.late, got.refused, got.jobs)
				}
				t.Log(s)
				assert.Check(t, onTimeShare(classes[widest]) >= 0.95*all, "%s, widest tenth", kind)
				assert.Check(t, onTimeShare(classes[nextFifth]) >= 0.95*all, "%s, next fifth", kind)
				assert.Check(t, all > 0.95, kind)
			}
		})
	}
}

// Callers submit a quarter more than the capacity. The fleet earns at least 0.93 of the credit of a
// single queue: tasks don't wait while there is free capacity for them elsewhere.
func TestOverloadComparedWithSingleQueue(t *testing.T) {
	t.Parallel()
	l := fourDomains(rate125)
	got, best := meanOfSeeds(t, l), meanOfSeeds(t, l.singleQueue())
	assert.Assert(t, got.credit > 0.93*best.credit)
}
