// The counters and gauges of an entry.

package entry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// Metrics holds the metrics of one entry.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns a set with all counters at zero.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Metrics) count(name, label, value string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("lavendercleat_%s_total{%s=%q}", name, label, value)).Inc()
}

// countRefusal counts a request that ended without a run of its own, by reason.
func (m *Metrics) countRefusal(r verdict.Reason) { m.count("refusals", "reason", string(r)) }

// countRetry counts a task that is started again, by reason.
func (m *Metrics) countRetry(r verdict.Reason) { m.count("retries", "reason", string(r)) }

// countJob counts an ended job by its outcome, and a failed job also by its reason.
func (m *Metrics) countJob(f *verdict.Failure) {
	if f == nil {
		m.count("jobs", "outcome", "complete")
		return
	}
	m.count("jobs", "outcome", "failed")
	m.count("job_failures", "reason", string(f.Reason))
}

// countMessage counts a control message between entries, by kind.
func (m *Metrics) countMessage(kind string) { m.count("peer_messages", "kind", kind) }

// countEjection counts an ejected worker. It gets no tasks for some time.
func (m *Metrics) countEjection() {
	m.set.GetOrCreateCounter("lavendercleat_worker_ejections_total").Inc()
}

// countStart counts a task that is sent to a worker.
func (m *Metrics) countStart() { m.set.GetOrCreateCounter("lavendercleat_task_starts_total").Inc() }

// gauge publishes a gauge whose value is read whenever the metrics are written.
func (m *Metrics) gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge("lavendercleat_"+name, read)
}
