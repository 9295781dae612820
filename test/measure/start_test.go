// The benchmark of a task start's cost.

package measure

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/internal/load"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// BenchmarkStartCost measures the processor time and the memory that a task start costs one daemon.
// It varies the starts per second and the tasks per job.
func BenchmarkStartCost(b *testing.B) {
	for _, s := range []struct {
		tasks  int32
		starts float64
	}{
		{20, 500}, {20, 1500}, {20, 3000}, {1, 500}, {1, 1500}, {160, 1500},
	} {
		b.Run(fmt.Sprintf("tasks=%d/starts=%.0f", s.tasks, s.starts), func(b *testing.B) {
			c := cluster.Start(b, cluster.Options{Domains: 1, Entries: 1, Workers: 50, OneProcess: true})
			for b.Loop() {
				measureStarts(b, c.Entries[0], s.tasks, s.starts/float64(s.tasks))
			}
		})
	}
}

func measureStarts(b *testing.B, e *cluster.Entry, tasks int32, jobsPerSecond float64) {
	settings := schema.LoadSettings{
		Urls: []string{e.CallerURL}, MetricsUrls: []string{e.MetricsURL}, Token: cluster.Token,
		JobsPerSecond: jobsPerSecond, Duration: 8 * time.Second, Seed: 1,
		Kind: cluster.Quote, MinTasks: tasks, MaxTasks: tasks, MinRun: 20 * time.Millisecond, MaxRun: 20 * time.Millisecond,
	}
	before := scrape(b, e.MetricsURL)
	r, err := load.RemoteRun(settings, load.ProfileFromSettings(settings), nil).Do(context.Background())
	assert.NilError(b, err)
	after := scrape(b, e.MetricsURL)
	starts := after["lavendercleat_task_starts_total"] - before["lavendercleat_task_starts_total"]
	cpu := after["process_cpu_seconds_total"] - before["process_cpu_seconds_total"]
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(1e6*cpu/starts, "µs-cpu/start")
	b.ReportMetric(starts/settings.Duration.Seconds(), "starts/s")
	b.ReportMetric(after["process_resident_memory_bytes"]/(1<<20), "MB-resident")
	b.ReportMetric(after["lavendercleat_answer_bytes"]/starts, "answer-B/start")
	b.ReportMetric(r.Ratio.P99, "p99-ratio")
	b.ReportMetric(100*r.Machine.Busy, "%machine")
	b.ReportMetric(float64(r.Jobs-r.Complete), "not-complete")
}
