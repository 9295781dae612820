package load

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Two runs with the same seed send different jobs or at different times, so a comparison of policies
// compares different loads.
func TestEqualSeedsGiveEqualJobs(t *testing.T) {
	a, b := newGenerator(DefaultProfile(), 7), newGenerator(DefaultProfile(), 7)
	other := newGenerator(DefaultProfile(), 8)
	same := true
	for range 100 {
		gap := a.nextInterval(10)
		assert.Equal(t, gap, b.nextInterval(10))
		same = same && gap == other.nextInterval(10)
		r := a.nextRequest()
		assert.DeepEqual(t, r.job, b.nextRequest().job)
		assert.Assert(t, r.longest <= maxTaskRunTime(a.profile.Classes[r.class]))
		other.nextRequest()
	}
	assert.Assert(t, !same)
}

// The error for an invalid profile does not name the field and the accepted values.
func TestInvalidProfileErrorNamesField(t *testing.T) {
	file := filepath.Join(t.TempDir(), "profile.json")
	for text, want := range map[string]string{
		`{"classes":[]}`:             "classes is empty",
		`{"clases":[]}`:              `unknown field "clases"`,
		`{"classes":[{"kind":"k"}]}`: "weight is 0; accepted are numbers above 0",
		`{"classes":[{"weight":1}]}`: "kind is empty",
		`{"classes":[{"kind":"k","weight":1,"min_tasks":1,"max_tasks":999}]}`:                                    "accepted are 1 to 160",
		`{"classes":[{"kind":"k","weight":1,"min_tasks":1,"max_tasks":1,"run_time":{"distribution":"normal"}}]}`: "accepted are fixed, uniform and lognormal",
	} {
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := ReadProfile(file)
		assert.ErrorContains(t, err, want)
	}
}

// The worker and the entry both count a refusal, and the report counts one wasted exchange twice.
func TestWorkerRefusalIsCountedOnce(t *testing.T) {
	c := newCounters()
	assert.NilError(t, c.parse(`lavendercleat_retries_total{reason="worker_refused"} 4
lavendercleat_retries_total{reason="dial_failed"} 2
lavendercleat_borrows_total{result="nothing"} 1
lavendercleat_borrows_total{result="slots"} 9
lavendercleat_task_starts_total 100
`))
	c.addRunRecord(standin.RunRecord{Starts: 100, Refused: 4, BusyMS: 10_000})
	w := c.since(newCounters()).waste(9)
	assert.Equal(t, w.PerTask, 0.07)
	assert.Equal(t, w.EmptyBorrows, int64(1))
	assert.Assert(t, w.UselessWork > 0.099 && w.UselessWork < 0.101)
}

// The report of a light load on a small system misses jobs, or counts more task starts than tasks. All
// jobs must complete and each task must start once.
func TestExperimentReportCountsEveryJobAndTask(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a complete system")
	}
	p := schema.LoadProfile{Classes: []schema.LoadClass{
		{Name: "quote", Kind: kindQuote, Weight: 1, MinTasks: 1, MaxTasks: 3, OneCall: true,
			RunTime: schema.LoadRunTime{Distribution: distUniform, MinMs: 5, MaxMs: 20}},
		{Name: "booking", Kind: kindBooking, Weight: 1, MinTasks: 1, MaxTasks: 1,
			RunTime: schema.LoadRunTime{Distribution: distFixed, MedianMs: 10}},
	}}
	s := schema.ExperimentSettings{
		Domains: 2, Entries: 1, Workers: 4, Slots: 2, Connections: 32,
		Load: []float64{0.2}, Policy: []string{"default"}, Fault: faultNone, Runs: 1,
		Duration: time.Second, Seed: 3,
	}
	var reports []schema.LoadReport
	err := RunExperiment(context.Background(), s, p, nil, func(r schema.LoadReport) error {
		reports = append(reports, r)
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, len(reports), 1)
	r := reports[0]
	assert.Assert(t, r.Jobs > 0)
	assert.Equal(t, r.Complete, r.Jobs)
	assert.Equal(t, r.Waste.Starts, r.Tasks)
	assert.Equal(t, r.Waste.Doubled, int64(0))
	assert.Equal(t, r.Ratio.Count, r.Jobs)
	assert.Assert(t, r.Waste.UselessWork < 0.01)
}
