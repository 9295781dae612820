// Load profiles: the mix of jobs that a run sends.

package load

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Distributions of task run times.
const (
	distFixed     = "fixed"
	distUniform   = "uniform"
	distLognormal = "lognormal"
)

// Kinds of jobs in the default profile.
const (
	kindQuote   = "loft-quote"
	kindBooking = "crusher-booking"
)

// DefaultProfile returns a load like that of the users' callers: quotes of 1 to 40 tasks and single
// bookings. Most tasks run for 50 ms to a second, a few for several seconds. The declared run times are
// wrong by a factor of three: too short for quotes and too long for bookings.
func DefaultProfile() schema.LoadProfile {
	run := schema.LoadRunTime{
		Distribution: distLognormal, MinMs: 50, MedianMs: 200, MaxMs: 1000, Sigma: 0.7,
		SlowShare: 0.005, SlowMinMs: 2000, SlowMaxMs: 4000,
	}
	return schema.LoadProfile{Classes: []schema.LoadClass{
		{
			Name: "quote", Kind: kindQuote, Weight: 6, MinTasks: 1, MaxTasks: 40,
			DeadlineMs: 15_000, RunTime: run, OneCall: true, DeclaredFactor: 1.0 / 3,
		},
		{
			Name: "booking", Kind: kindBooking, Weight: 4, MinTasks: 1, MaxTasks: 1,
			DeadlineMs: 15_000, RunTime: run, DeclaredFactor: 3,
		},
	}}
}

// ReadProfile reads a load profile from a file and checks it.
func ReadProfile(file string) (schema.LoadProfile, error) {
	var p schema.LoadProfile
	if err := readStrictJSON(file, "a load profile", &p); err != nil {
		return p, err
	}
	return p, errors.Wrapf(CheckProfile(p), "%s", file)
}

// readStrictJSON decodes a JSON file into target. Unknown fields are errors. The errors use description
// for the expected content.
func readStrictJSON(file, description string, target any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	return errors.Wrapf(dec.Decode(target), "%s is not %s", file, description)
}

// ProfileFromSettings returns a profile with one class that has the values of the settings.
func ProfileFromSettings(s schema.LoadSettings) schema.LoadProfile {
	return schema.LoadProfile{Classes: []schema.LoadClass{{
		Name: s.Kind, Kind: s.Kind, Urgency: s.Urgency, Weight: 1,
		MinTasks: s.MinTasks, MaxTasks: s.MaxTasks, DeadlineMs: s.Deadline.Milliseconds(),
		RunTime: schema.LoadRunTime{
			Distribution: distUniform, MinMs: s.MinRun.Milliseconds(), MaxMs: s.MaxRun.Milliseconds(),
		},
		OneCall:     !s.Reserve,
		CancelShare: s.CancelShare, CancelAfterMs: s.CancelAfter.Milliseconds(),
	}}}
}

// CheckProfile returns an error that names the invalid field and the accepted values.
func CheckProfile(p schema.LoadProfile) error {
	if len(p.Classes) == 0 {
		return errors.New("classes is empty; give at least one")
	}
	for _, c := range p.Classes {
		if err := checkClass(c); err != nil {
			return errors.Wrapf(err, "class %q", c.Name)
		}
	}
	return nil
}

func checkClass(c schema.LoadClass) error {
	switch {
	case c.Kind == "":
		return errors.New("kind is empty; name a kind of the configuration")
	case c.Weight <= 0:
		return errors.Newf("weight is %v; accepted are numbers above 0", c.Weight)
	case c.MinTasks < 1 || c.MaxTasks < c.MinTasks || c.MaxTasks > config.MaxTasks:
		return errors.Newf("min_tasks and max_tasks are %d and %d; accepted are 1 to %d, the smaller first", c.MinTasks, c.MaxTasks, config.MaxTasks)
	case c.DeadlineMs < 0:
		return errors.Newf("deadline_ms is %d; accepted are 0 and more", c.DeadlineMs)
	case c.CancelShare < 0 || c.CancelShare > 1:
		return errors.Newf("cancel_share is %v; accepted are 0 to 1", c.CancelShare)
	case c.CancelAfterMs < 0:
		return errors.Newf("cancel_after_ms is %d; accepted are 0 and more", c.CancelAfterMs)
	case c.DeclaredFactor < 0:
		return errors.Newf("declared_factor is %v; accepted are 0 and more", c.DeclaredFactor)
	}
	return checkRunTime(c.RunTime)
}

func checkRunTime(r schema.LoadRunTime) error {
	switch {
	case r.Distribution != distFixed && r.Distribution != distUniform && r.Distribution != distLognormal:
		return errors.Newf("run_time.distribution is %q; accepted are %s, %s and %s", r.Distribution, distFixed, distUniform, distLognormal)
	case r.Distribution == distFixed && r.MedianMs <= 0, r.Distribution == distLognormal && r.MedianMs <= 0:
		return errors.Newf("run_time.median_ms is %d; accepted are 1 and more", r.MedianMs)
	case r.Distribution != distFixed && (r.MinMs < 0 || r.MaxMs < r.MinMs || r.MaxMs == 0):
		return errors.Newf("run_time.min_ms and max_ms are %d and %d; accepted are 0 and more, the smaller first", r.MinMs, r.MaxMs)
	case r.SlowShare < 0 || r.SlowShare > 1:
		return errors.Newf("run_time.slow_share is %v; accepted are 0 to 1", r.SlowShare)
	case r.SlowMinMs < 0 || r.SlowMaxMs < r.SlowMinMs:
		return errors.Newf("run_time.slow_min_ms and slow_max_ms are %d and %d; accepted are 0 and more, the smaller first", r.SlowMinMs, r.SlowMaxMs)
	}
	return nil
}

// maxTaskRunTime returns the longest run time of a task of a class.
func maxTaskRunTime(c schema.LoadClass) time.Duration {
	longest := max(c.RunTime.MaxMs, c.RunTime.MedianMs)
	if c.RunTime.SlowShare > 0 {
		longest = max(longest, c.RunTime.SlowMaxMs)
	}
	return time.Duration(longest) * time.Millisecond
}
