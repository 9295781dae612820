// One load run: round trips of the idle system, the load, and the report.

package load

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Run describes one load run.
type Run struct {
	// Name is the name of the run in the report.
	Name    string
	Profile schema.LoadProfile
	// URLs are the URLs of the caller interfaces, and Token is the team's token.
	URLs  []string
	Token string
	// JobsPerSecond is the mean rate of jobs.
	JobsPerSecond float64
	Duration      time.Duration
	WarmUp        time.Duration
	Seed          uint64
	// Progress gets a progress line every second. With nil no progress is written.
	Progress io.Writer
	// counters is read before and after the run.
	counters counterSource
	// injectFault is called once, after the warm-up and a third of the duration. It may be nil.
	injectFault func(d *driver)
}

// RemoteRun returns a run with the given settings against entries that are already running.
func RemoteRun(s schema.LoadSettings, p schema.LoadProfile, progress io.Writer) Run {
	return Run{
		Name: "load", Profile: p, URLs: s.Urls, Token: s.Token, JobsPerSecond: s.JobsPerSecond,
		Duration: s.Duration, WarmUp: s.WarmUp, Seed: s.Seed, Progress: progress,
		counters: httpCounters{metrics: s.MetricsUrls, backends: s.Backends},
	}
}

// Check returns an error that names the invalid flag and the accepted values.
func (r Run) Check() error {
	switch {
	case r.JobsPerSecond <= 0:
		return errors.Newf("--jobs-per-second is %v; accepted are numbers above 0", r.JobsPerSecond)
	case r.Duration < time.Second:
		return errors.Newf("--duration is %s; accepted are 1s and more", r.Duration)
	case r.WarmUp < 0:
		return errors.Newf("--warm-up is %s; accepted are 0s and more", r.WarmUp)
	}
	return CheckProfile(r.Profile)
}

// Do sends the load and returns the report.
func (r Run) Do(ctx context.Context) (schema.LoadReport, error) {
	if err := r.Check(); err != nil {
		return schema.LoadReport{}, err
	}
	roundTrip, err := r.measureRoundTrips(ctx)
	if err != nil {
		return schema.LoadReport{}, err
	}
	before, err := r.counters.readCounters(ctx)
	if err != nil {
		return schema.LoadReport{}, err
	}
	usageBefore := readUsage()
	rec := newRecorder(r.Profile, r.WarmUp, roundTrip)
	r.sendJobs(ctx, rec)
	machineLoad := readUsage().since(usageBefore)
	after, err := r.counters.readCounters(ctx)
	if err != nil {
		return schema.LoadReport{}, err
	}
	out := rec.buildReport(r.Profile)
	out.Name, out.Seed, out.JobsPerSecond = r.Name, r.Seed, r.JobsPerSecond
	out.Seconds = r.Duration.Seconds()
	out.OfferedSlots = rec.totalOfferedRunTime().Seconds() / out.Seconds
	out.Waste = after.since(before).waste(rec.totalUsefulRunTime().Seconds())
	out.Machine = machineLoad
	return out, nil
}

// measureRoundTrips measures round trips on the idle system, for each way of sending in the profile.
func (r Run) measureRoundTrips(ctx context.Context) (map[bool]time.Duration, error) {
	d := newDriver(r.URLs, r.Token, nil)
	times := make(map[bool]time.Duration)
	for _, c := range r.Profile.Classes {
		if _, measured := times[c.OneCall]; measured {
			continue
		}
		t, err := d.roundTrip(ctx, c.Kind, c.OneCall)
		if err != nil {
			return nil, err
		}
		times[c.OneCall] = t
	}
	return times, nil
}

// sendJobs sends the jobs, shows progress and injects the fault at its time.
func (r Run) sendJobs(ctx context.Context, rec *recorder) {
	d := newDriver(r.URLs, r.Token, rec)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.Progress != nil {
		go showProgress(ctx, r.Progress, r.Name, r.WarmUp+r.Duration, rec)
	}
	if r.injectFault != nil {
		t := time.AfterFunc(r.WarmUp+r.Duration/3, func() { r.injectFault(d) })
		defer t.Stop()
	}
	d.run(ctx, newGenerator(r.Profile, r.Seed), r.JobsPerSecond, r.WarmUp+r.Duration)
}
