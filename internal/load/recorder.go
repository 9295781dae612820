// The recorder: outcomes and response times of a run, and its report.

package load

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// ratioScale is the number of histogram units in a ratio of 1: ratios are stored in thousandths.
	ratioScale = 1000
	// maxRatio and maxResponse are the largest values of the histograms.
	maxRatio    = 100_000
	maxResponse = 10 * time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// maxWindows is the largest number of windows. A window covers one second.
	maxWindows = 24 * 3600
)

// recorder counts the outcomes of jobs and records their response times. Jobs sent during the warm-up
// are left out, except in usefulRunTime.
type recorder struct {
	start  time.Time
	warmUp time.Duration
	// roundTrip is the part of the ideal response time that is added to the run time of the longest
	// task. The key tells whether the job is sent in one call.
	roundTrip map[bool]time.Duration

	mu            sync.Mutex
	jobsInFlight  int
	report        schema.LoadReport
	ratios        *hdrhistogram.Histogram
	responseTimes *hdrhistogram.Histogram
	refusalTimes  *hdrhistogram.Histogram
	classRatios   []*hdrhistogram.Histogram
	windows       []window
	// usefulRunTime is the run time of the tasks of all complete jobs.
	usefulRunTime time.Duration
	// offeredRunTime is the run time of the tasks of all jobs sent after the warm-up.
	offeredRunTime time.Duration
	refusals       map[string]int64
	failures       map[string]int64
	errors         map[string]int64
}

// window has the outcomes of the jobs that were due in one second of the run.
type window struct {
	complete, refused, failed int64
	ratios                    *hdrhistogram.Histogram
}

// newRecorder returns a recorder for a run that starts now.
func newRecorder(p schema.LoadProfile, warmUp time.Duration, roundTrip map[bool]time.Duration) *recorder {
	r := &recorder{
		start:         time.Now(),
		warmUp:        warmUp,
		roundTrip:     roundTrip,
		ratios:        newRatioHistogram(),
		responseTimes: hdrhistogram.New(1, maxResponse.Microseconds(), significantDigits),
		refusalTimes:  hdrhistogram.New(1, maxResponse.Microseconds(), significantDigits),
		refusals:      make(map[string]int64),
		failures:      make(map[string]int64),
		errors:        make(map[string]int64),
	}
	for range p.Classes {
		r.classRatios = append(r.classRatios, newRatioHistogram())
	}
	return r
}

func newRatioHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRatio*ratioScale, significantDigits)
}

// isMeasured reports whether a job was due after the warm-up and so counts in the report.
func (r *recorder) isMeasured(j *pendingJob) bool { return j.due.Sub(r.start) >= r.warmUp }

// recordSent counts a job that the driver sends.
func (r *recorder) recordSent(j *pendingJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobsInFlight++
	if r.isMeasured(j) {
		r.report.Jobs++
		r.report.Tasks += int64(len(j.job.Tasks))
		r.offeredRunTime += j.total
	}
}

// recordOutcome records the outcome of a job.
func (r *recorder) recordOutcome(j *pendingJob, reply client.Reply, err error) {
	elapsed := time.Since(j.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobsInFlight--
	if err == nil && reply.Outcome == client.Complete {
		r.usefulRunTime += j.total // in the warm-up too, because the backend servers' counters include it
	}
	if !r.isMeasured(j) {
		return
	}
	w := r.windowOf(j)
	switch {
	case j.isCanceled():
		r.report.Canceled++
	case err != nil:
		r.report.Unanswered++
		r.errors[errorReason(err)]++
		w.failed++
	case reply.Outcome == client.Complete:
		r.recordComplete(j, elapsed, w)
	case reply.Verdict == verdict.NotRun.String():
		r.report.Refused++
		r.refusals[reply.Reason]++
		w.refused++
		_ = r.refusalTimes.RecordValue(elapsed.Microseconds())
	default:
		r.report.Failed++
		r.failures[cmp.Or(reply.Reason, reply.Outcome)]++
		w.failed++
	}
}

// recordComplete records a complete job. The caller holds the lock.
func (r *recorder) recordComplete(j *pendingJob, elapsed time.Duration, w *window) {
	r.report.Complete++
	w.complete++
	if j.job.DeadlineMs > 0 && elapsed > time.Duration(j.job.DeadlineMs)*time.Millisecond+r.roundTrip[j.oneCall] {
		r.report.Late++
	}
	ideal := j.longest + r.roundTrip[j.oneCall]
	ratio := int64(float64(elapsed) / float64(ideal) * ratioScale)
	for _, h := range []*hdrhistogram.Histogram{r.ratios, r.classRatios[j.class], w.ratios} {
		_ = h.RecordValue(min(ratio, maxRatio*ratioScale))
	}
	_ = r.responseTimes.RecordValue(elapsed.Microseconds())
}

// windowOf returns the window of the second in which the job was due, and adds windows up to it. The
// caller holds the lock.
func (r *recorder) windowOf(j *pendingJob) *window {
	index := min(int(j.due.Sub(r.start)/time.Second), maxWindows)
	for len(r.windows) <= index {
		r.windows = append(r.windows, window{ratios: hdrhistogram.New(1, maxRatio*ratioScale, 2)})
	}
	return &r.windows[index]
}

// progress returns the number of jobs in flight, the counts so far and the 99th percentile of the ratio.
func (r *recorder) progress() (running int, soFar schema.LoadReport, p99 float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobsInFlight, r.report, float64(r.ratios.ValueAtQuantile(99)) / ratioScale
}

// totalUsefulRunTime returns the run time of the tasks of complete jobs.
func (r *recorder) totalUsefulRunTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usefulRunTime
}

// totalOfferedRunTime returns the run time of the tasks of the jobs sent after the warm-up.
func (r *recorder) totalOfferedRunTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.offeredRunTime
}

// buildReport returns the report of the jobs recorded so far.
func (r *recorder) buildReport(p schema.LoadProfile) schema.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.report
	out.RoundTripOneCallMs = milliseconds(r.roundTrip[true])
	out.RoundTripReservedMs = milliseconds(r.roundTrip[false])
	out.Ratio = quantiles(r.ratios, ratioScale)
	out.ResponseMs = quantiles(r.responseTimes, 1000)
	out.RefusalMs = quantiles(r.refusalTimes, 1000)
	out.Refusals = sortedCounts(r.refusals)
	out.Failures = sortedCounts(r.failures)
	out.Errors = sortedCounts(r.errors)
	for i, c := range p.Classes {
		out.Classes = append(out.Classes, schema.LoadClassReport{Name: c.Name, Ratio: quantiles(r.classRatios[i], ratioScale)})
	}
	for s, w := range r.windows {
		out.Windows = append(out.Windows, schema.LoadWindow{
			Second: int32(s), Complete: w.complete, Refused: w.refused, Failed: w.failed,
			P99: quantiles(w.ratios, ratioScale).P99,
		})
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// quantiles summarises a histogram in which scale units are 1.
func quantiles(h *hdrhistogram.Histogram, scale float64) schema.LoadQuantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / scale }
	return schema.LoadQuantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / scale}
}

// sortedCounts returns the counts with their names, the largest first.
func sortedCounts(m map[string]int64) []schema.LoadCount {
	sorted := make([]schema.LoadCount, 0, len(m))
	for name, n := range m {
		sorted = append(sorted, schema.LoadCount{Name: name, Count: n})
	}
	slices.SortFunc(sorted, func(a, b schema.LoadCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

// errorReason returns the reason for which a caller got no answer.
func errorReason(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no_answer_in_time"
	case isDialError(err):
		return "entry_unreachable"
	}
	return "connection_broke"
}

// isDialError reports whether no connection to the entry could be made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2]
}
