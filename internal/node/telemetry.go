// Metrics and log lines.

package node

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/ledger"
	"github.com/lavendercleat/lavendercleat/task"
)

// metricSet holds the daemon's metrics.
type metricSet struct {
	set *metrics.Set
	// publishedQueues are the labels of the queues with published metrics. Guarded by the node's
	// lock.
	publishedQueues map[string]bool
}

func newMetricSet() *metricSet { return &metricSet{set: metrics.NewSet()} }

// WriteMetrics writes all metrics in the Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) {
	n.metrics.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// PublishGauge publishes a value that is read on each export of the metrics.
func (n *Node) PublishGauge(name string, read func() float64) {
	n.metrics.set.GetOrCreateGauge("lavendercleat_"+name, read)
}

// publishDurableJobs publishes how many durable jobs this daemon owns, and how many of them wait for
// their first start.
func (n *Node) publishDurableJobs() {
	locked := func(read func() int) func() float64 {
		return func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return float64(read())
		}
	}
	n.PublishGauge("kept_jobs_owned", locked(n.durable.ledger.Len))
	n.PublishGauge("kept_jobs_pending", locked(func() (count int) {
		for _, pending := range n.durable.ledger.Waiting() {
			count += int(pending)
		}
		return count
	}))
}

func (m *metricSet) count(name string, labels ...string) {
	text := "lavendercleat_" + name + "_total{"
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%s=%q", labels[i], labels[i+1])
	}
	m.set.GetOrCreateCounter(text + "}").Inc()
}

var orderNames = [...]string{"none", "start", "stop", "poll"}

func (m *metricSet) countOrder(k executor.CallKind, v executor.Verdict) {
	m.count("worker_orders", "order", orderNames[k], "answer", v.String())
}

func (m *metricSet) countReport(o task.Outcome)    { m.count("task_reports", "outcome", o.String()) }
func (m *metricSet) countReservation(event string) { m.count("reservations", "event", event) }
func (m *metricSet) countJob(status, reason string) {
	m.count("leased_jobs", "status", status, "reason", reason)
}

// observeAnswer records the time from a job's arrival to its answer, by route and status.
func (m *metricSet) observeAnswer(route string, a coordinator.Answer) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("lavendercleat_answer_seconds{route=%q,status=%q}", route, a.Status)).Update(a.Waited.Seconds())
}

// observeQueueTime records the time from an offer's arrival to the start of its task.
func (m *metricSet) observeQueueTime(waited time.Duration) {
	m.set.GetOrCreateHistogram("lavendercleat_task_queue_seconds").Update(waited.Seconds())
}

func (m *metricSet) countRefusal(reason string) { m.count("leased_refusals", "reason", reason) }
func (m *metricSet) countDurableRequest(v AcceptanceVerdict, why coordinator.Reason) {
	m.count("kept_requests", "verdict", v.String(), "reason", string(why))
}
func (m *metricSet) countCancellation(c Cancellation, by canceledBy) {
	m.count("cancellations", "verdict", c.String(), "by", string(by))
}
func (m *metricSet) countLedgerEvent(k ledger.EventKind) { m.count("kept_jobs", "news", k.String()) }

// observeEntriesAge records the age of the store's answer when the daemon applied entries.
func (m *metricSet) observeEntriesAge(age time.Duration) {
	m.set.GetOrCreateHistogram("lavendercleat_entries_age_seconds").Update(age.Seconds())
}

func (m *metricSet) countInvalidEntry(kind string) { m.count("invalid_entries", "kind", kind) }
func (m *metricSet) countStoreFailure(call string) { m.count("store_failures", "call", call) }
func (m *metricSet) countPeerLoss(refused bool) {
	m.count("peer_losses", "refused", fmt.Sprint(refused))
}

// logEvents logs the decisions about tasks and the changes in the view of workers, and counts some.
func (n *Node) logEvents(events []executor.Event) {
	for _, e := range events {
		fields := logrus.Fields{"event": e.Name}
		switch e.Name {
		case executor.EventStarted:
			n.metrics.observeQueueTime(e.Age)
		case executor.EventCapacityReserved, coordinator.EventTaskMoves:
			n.metrics.countReservation(e.Name)
		}
		if e.Age > 0 {
			fields["age_ms"] = e.Age.Milliseconds()
		}
		if e.ID.Job != "" {
			fields["job"], fields["task"], fields["run"] = e.ID.Job, e.ID.String(), e.Run
		}
		if e.Worker != "" {
			fields["worker"] = e.Worker
		}
		if e.Detail != "" {
			fields["detail"] = e.Detail
		}
		n.log.WithFields(fields).Info()
	}
}

func (n *Node) logAnswer(w *waiter, a coordinator.Answer) {
	fields := logrus.Fields{"event": "job_answered", "job": a.Job, "route": w.route, "status": a.Status.String(), "waited_ms": a.Waited.Milliseconds()}
	if w.callerID != "" {
		fields["request"] = w.callerID
	}
	n.metrics.observeAnswer(w.route, a)
	if a.Status == coordinator.Completed {
		n.log.WithFields(fields).Info()
		return
	}
	fields["reason"], fields["retry_after_ms"] = a.Reason, a.RetryAfter.Milliseconds()
	n.log.WithFields(fields).Warn()
}

// logCaller logs that a caller has joined a job in progress, or has left it.
func (n *Node) logCaller(event string, now time.Duration, w *waiter) {
	n.log.WithFields(logrus.Fields{
		"event": event, "job": w.id, "request": w.callerID, "route": w.route, "waited_ms": (now - w.since).Milliseconds(), "left": w.callers,
	}).Info()
}

// logArrival logs the caller's identifiers of the job and of the request together.
func (n *Node) logArrival(w *waiter, r Request) {
	tasks := 0
	for _, s := range r.Steps {
		tasks += s.Count
	}
	n.log.WithFields(logrus.Fields{
		"event": "job_arrived", "job": r.ID, "request": r.CallerID, "route": w.route, "tasks": tasks,
		"patience_ms": r.WaitLimit.Milliseconds(), "configuration": n.configurationVersion(),
	}).Info()
}
