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
	// ratioScale is the unit of the histograms of ratios: thousandths.
	ratioScale = 1000
	// maxRatio and maxResponse bound the histograms.
	maxRatio    = 100_000
	maxResponse = 10 * time.Minute
	// digits is the precision of the histograms.
	significantDigits = 3
	// maxWindows bounds the windows, one per second.
	maxWindows = 24 * 3600
)

// recorder adds up how jobs end. It leaves out those sent during the warm-up.
type recorder struct {
	start  time.Time
	warmUp time.Duration
	// roundTrip is the part of the ideal beside the longest task, by one call or not.
	roundTrip map[bool]time.Duration

	mu            sync.Mutex
	jobsInFlight  int
	report        schema.LoadReport
	ratios        *hdrhistogram.Histogram
	responseTimes *hdrhistogram.Histogram
	refusalTimes  *hdrhistogram.Histogram
	classRatios   []*hdrhistogram.Histogram
	windows       []window
	// useful is the run time of the tasks of complete jobs.
	usefulRunTime time.Duration
	// offered is the run time of the tasks of all jobs sent.
	offeredRunTime time.Duration
	refusals       map[string]int64
	failures       map[string]int64
	errors         map[string]int64
}

// window is one second of the run.
type window struct {
	complete, refused, failed int64
	ratios                    *hdrhistogram.Histogram
}

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

// counts tells whether a job belongs into the figures.
func (r *recorder) isMeasured(f *pendingJob) bool { return f.due.Sub(r.start) >= r.warmUp }

// sent counts a job that is sent.
func (r *recorder) recordSent(f *pendingJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobsInFlight++
	if r.isMeasured(f) {
		r.report.Jobs++
		r.report.Tasks += int64(len(f.job.Tasks))
		r.offeredRunTime += f.total
	}
}

// ended records how a job ended.
func (r *recorder) recordOutcome(f *pendingJob, reply client.Reply, err error) {
	elapsed := time.Since(f.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobsInFlight--
	if err == nil && reply.Outcome == client.Complete {
		r.usefulRunTime += f.total // also in the warm-up, as the backend servers count it too
	}
	if !r.isMeasured(f) {
		return
	}
	w := r.windowOf(f)
	switch {
	case f.isCanceled():
		r.report.Canceled++
	case err != nil:
		r.report.Unanswered++
		r.errors[errorReason(err)]++
		w.failed++
	case reply.Outcome == client.Complete:
		r.recordComplete(f, elapsed, w)
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

// complete records a complete job; called under the lock.
func (r *recorder) recordComplete(f *pendingJob, elapsed time.Duration, w *window) {
	r.report.Complete++
	w.complete++
	if f.job.DeadlineMs > 0 && elapsed > time.Duration(f.job.DeadlineMs)*time.Millisecond+r.roundTrip[f.oneCall] {
		r.report.Late++
	}
	ideal := f.longest + r.roundTrip[f.oneCall]
	ratio := int64(float64(elapsed) / float64(ideal) * ratioScale)
	for _, h := range []*hdrhistogram.Histogram{r.ratios, r.classRatios[f.class], w.ratios} {
		_ = h.RecordValue(min(ratio, maxRatio*ratioScale))
	}
	_ = r.responseTimes.RecordValue(elapsed.Microseconds())
}

// window returns the window of the second in which the job was due.
func (r *recorder) windowOf(f *pendingJob) *window {
	second := min(int(f.due.Sub(r.start)/time.Second), maxWindows)
	for len(r.windows) <= second {
		r.windows = append(r.windows, window{ratios: hdrhistogram.New(1, maxRatio*ratioScale, 2)})
	}
	return &r.windows[second]
}

// state returns the number of jobs under way and the counts so far.
func (r *recorder) progress() (running int, soFar schema.LoadReport, p99 float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobsInFlight, r.report, float64(r.ratios.ValueAtQuantile(99)) / ratioScale
}

// usefulWork returns the run time of the tasks of complete jobs.
func (r *recorder) totalUsefulRunTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usefulRunTime
}

// offeredWork returns the run time of the tasks of the jobs sent after the warm-up.
func (r *recorder) totalOfferedRunTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.offeredRunTime
}

// result returns the report.
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

// quantiles summarises a histogram whose unit is 1/scale.
func quantiles(h *hdrhistogram.Histogram, scale float64) schema.LoadQuantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / scale }
	return schema.LoadQuantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / scale}
}

// counts returns counters, the largest first.
func sortedCounts(m map[string]int64) []schema.LoadCount {
	list := make([]schema.LoadCount, 0, len(m))
	for name, n := range m {
		list = append(list, schema.LoadCount{Name: name, Count: n})
	}
	slices.SortFunc(list, func(a, b schema.LoadCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// errorName names the ways in which a caller can be left without an answer.
func errorReason(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no_answer_in_time"
	case isDialError(err):
		return "entry_unreachable"
	}
	return "connection_broke"
}

// unreachable tells whether no connection could be made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2]
}
