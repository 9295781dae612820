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
	digits = 3
	// maxWindows bounds the windows, one per second.
	maxWindows = 24 * 3600
)

// recorder adds up how jobs end. It leaves out those sent during the warm-up.
type recorder struct {
	start  time.Time
	warmUp time.Duration
	// roundTrip is the part of the ideal beside the longest task, by one call or not.
	roundTrip map[bool]time.Duration

	mu      sync.Mutex
	running int
	report  schema.LoadReport
	ratio   *hdrhistogram.Histogram
	respond *hdrhistogram.Histogram
	refuse  *hdrhistogram.Histogram
	classes []*hdrhistogram.Histogram
	windows []window
	// useful is the run time of the tasks of complete jobs.
	useful time.Duration
	// offered is the run time of the tasks of all jobs sent.
	offered  time.Duration
	refusals map[string]int64
	failures map[string]int64
	errors   map[string]int64
}

// window is one second of the run.
type window struct {
	complete, refused, failed int64
	ratio                     *hdrhistogram.Histogram
}

func newRecorder(p schema.LoadProfile, warmUp time.Duration, roundTrip map[bool]time.Duration) *recorder {
	r := &recorder{
		start:     time.Now(),
		warmUp:    warmUp,
		roundTrip: roundTrip,
		ratio:     ratios(),
		respond:   hdrhistogram.New(1, maxResponse.Microseconds(), digits),
		refuse:    hdrhistogram.New(1, maxResponse.Microseconds(), digits),
		refusals:  make(map[string]int64),
		failures:  make(map[string]int64),
		errors:    make(map[string]int64),
	}
	for range p.Classes {
		r.classes = append(r.classes, ratios())
	}
	return r
}

func ratios() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio*ratioScale, digits) }

// counts tells whether a job belongs into the figures.
func (r *recorder) counts(f *flight) bool { return f.due.Sub(r.start) >= r.warmUp }

// sent counts a job that is sent.
func (r *recorder) sent(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
	if r.counts(f) {
		r.report.Jobs++
		r.report.Tasks += int64(len(f.job.Tasks))
		r.offered += f.total
	}
}

// ended records how a job ended.
func (r *recorder) ended(f *flight, reply client.Reply, err error) {
	took := time.Since(f.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if err == nil && reply.Outcome == client.Complete {
		r.useful += f.total // also in the warm-up, as the backend servers count it too
	}
	if !r.counts(f) {
		return
	}
	w := r.window(f)
	switch {
	case f.isCanceled():
		r.report.Canceled++
	case err != nil:
		r.report.Unanswered++
		r.errors[errorName(err)]++
		w.failed++
	case reply.Outcome == client.Complete:
		r.complete(f, took, w)
	case reply.Verdict == verdict.NotRun.String():
		r.report.Refused++
		r.refusals[reply.Reason]++
		w.refused++
		_ = r.refuse.RecordValue(took.Microseconds())
	default:
		r.report.Failed++
		r.failures[cmp.Or(reply.Reason, reply.Outcome)]++
		w.failed++
	}
}

// complete records a complete job; called under the lock.
func (r *recorder) complete(f *flight, took time.Duration, w *window) {
	r.report.Complete++
	w.complete++
	if f.job.DeadlineMs > 0 && took > time.Duration(f.job.DeadlineMs)*time.Millisecond+r.roundTrip[f.oneCall] {
		r.report.Late++
	}
	ideal := f.longest + r.roundTrip[f.oneCall]
	x := int64(float64(took) / float64(ideal) * ratioScale)
	for _, h := range []*hdrhistogram.Histogram{r.ratio, r.classes[f.class], w.ratio} {
		_ = h.RecordValue(min(x, maxRatio*ratioScale))
	}
	_ = r.respond.RecordValue(took.Microseconds())
}

// window returns the window of the second in which the job was due.
func (r *recorder) window(f *flight) *window {
	second := min(int(f.due.Sub(r.start)/time.Second), maxWindows)
	for len(r.windows) <= second {
		r.windows = append(r.windows, window{ratio: hdrhistogram.New(1, maxRatio*ratioScale, 2)})
	}
	return &r.windows[second]
}

// state returns the number of jobs under way and the counts so far.
func (r *recorder) state() (running int, soFar schema.LoadReport, p99 float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running, r.report, float64(r.ratio.ValueAtQuantile(99)) / ratioScale
}

// usefulWork returns the run time of the tasks of complete jobs.
func (r *recorder) usefulWork() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.useful
}

// offeredWork returns the run time of the tasks of the jobs sent after the warm-up.
func (r *recorder) offeredWork() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.offered
}

// result returns the report.
func (r *recorder) result(p schema.LoadProfile) schema.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.report
	out.RoundTripOneCallMs = milliseconds(r.roundTrip[true])
	out.RoundTripReservedMs = milliseconds(r.roundTrip[false])
	out.Ratio = quantiles(r.ratio, ratioScale)
	out.ResponseMs = quantiles(r.respond, 1000)
	out.RefusalMs = quantiles(r.refuse, 1000)
	out.Refusals = counts(r.refusals)
	out.Failures = counts(r.failures)
	out.Errors = counts(r.errors)
	for i, c := range p.Classes {
		out.Classes = append(out.Classes, schema.LoadClassReport{Name: c.Name, Ratio: quantiles(r.classes[i], ratioScale)})
	}
	for s, w := range r.windows {
		out.Windows = append(out.Windows, schema.LoadWindow{
			Second: int32(s), Complete: w.complete, Refused: w.refused, Failed: w.failed,
			P99: quantiles(w.ratio, ratioScale).P99,
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
func counts(m map[string]int64) []schema.LoadCount {
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
func errorName(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no_answer_in_time"
	case unreachable(err):
		return "entry_unreachable"
	}
	return "connection_broke"
}

// unreachable tells whether no connection could be made.
func unreachable(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2]
}
