// Experiments: runs of several loads, policies and faults on a system in this process.

package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	standin "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Faults that an experiment can inject.
const (
	faultNone = "none"
	// faultBlackHole makes one worker fail every task immediately.
	faultBlackHole = "black-hole"
	// faultStraggler makes one worker slower by stragglerFactor.
	faultStraggler = "straggler"
	// faultCancelWave cancels every job in flight.
	faultCancelWave = "cancel-wave"
	// faultEntryKilled aborts one entry.
	faultEntryKilled = "entry-killed"
	// stragglerFactor is the factor by which a straggler's run times grow.
	stragglerFactor = 5
)

// CheckExperiment returns an error that names the invalid flag and the accepted values.
func CheckExperiment(s schema.ExperimentSettings) error {
	for _, b := range []struct {
		flag      string
		value     int32
		low, high int32
	}{
		{"domains", s.Domains, 1, 16},
		{"entries", s.Entries, 1, 16},
		{"workers", s.Workers, s.Domains, 2000},
		{"slots", s.Slots, 1, 1024},
		{"connections", s.Connections, 1, 4096},
		{"runs", s.Runs, 1, 100},
	} {
		if b.value < b.low || b.value > b.high {
			return errors.Newf("--%s is %d; accepted are %d to %d", b.flag, b.value, b.low, b.high)
		}
	}
	for _, l := range s.Load {
		if l <= 0 || l > 10 {
			return errors.Newf("--load is %v; accepted are shares of the slots above 0 up to 10", l)
		}
	}
	for _, policy := range s.Policy {
		if _, err := schedulerConfig(policy); err != nil {
			return err
		}
	}
	if s.Deadline < 0 {
		return errors.Newf("--deadline is %s; accepted are 0s and more", s.Deadline)
	}
	if s.Fault == faultEntryKilled && s.OneEntry {
		return errors.New("--fault entry-killed with --one-entry aborts the only entry that gets jobs; set only one of them")
	}
	return nil
}

// RunExperiment runs every combination of load and policy as often as the settings say, and calls done
// with each report, in order.
func RunExperiment(ctx context.Context, s schema.ExperimentSettings, p schema.LoadProfile, progress io.Writer, done func(schema.LoadReport) error) error {
	if err := CheckExperiment(s); err != nil {
		return err
	}
	if s.Deadline > 0 {
		p = withDeadline(p, s.Deadline)
	}
	for run := range s.Runs {
		for _, load := range s.Load {
			if err := runPolicies(ctx, s, p, load, s.Seed+uint64(run), progress, done); err != nil {
				return err
			}
		}
	}
	return nil
}

// withDeadline returns the profile with the same deadline for all classes.
func withDeadline(p schema.LoadProfile, d time.Duration) schema.LoadProfile {
	p.Classes = slices.Clone(p.Classes)
	for i := range p.Classes {
		p.Classes[i].DeadlineMs = d.Milliseconds()
	}
	return p
}

// runPolicies runs one load under every policy, one after another or concurrently. In concurrent runs,
// other work on the machine affects all policies alike.
func runPolicies(ctx context.Context, s schema.ExperimentSettings, p schema.LoadProfile, load float64, seed uint64, progress io.Writer, done func(schema.LoadReport) error) error {
	reports := make([]schema.LoadReport, len(s.Policy))
	var group errgroup.Group
	if !s.SideBySide {
		group.SetLimit(1)
	} else if len(s.Policy) > 1 {
		progress = nil // concurrent runs would overwrite each other's progress line
	}
	for i, policy := range s.Policy {
		group.Go(func() (err error) {
			reports[i], err = runExperiment(ctx, s, p, load, policy, seed, progress)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, r := range reports {
		if err := done(r); err != nil {
			return err
		}
	}
	return nil
}

// runExperiment starts a new local cluster, runs one load and stops the cluster.
func runExperiment(ctx context.Context, s schema.ExperimentSettings, p schema.LoadProfile, load float64, policy string, seed uint64, progress io.Writer) (schema.LoadReport, error) {
	c, err := schedulerConfig(policy)
	if err != nil {
		return schema.LoadReport{}, err
	}
	cluster, err := startLocalCluster(ctx, s, p, c)
	if err != nil {
		return schema.LoadReport{}, err
	}
	r := cluster.newRun(p, load)
	r.Name = runName(s, load, policy)
	r.Seed, r.Progress = seed, progress
	report, err := r.Do(ctx)
	return report, errors.CombineErrors(err, cluster.stop())
}

// runName returns the name of a run in the report, such as "80% default straggler".
func runName(s schema.ExperimentSettings, load float64, policy string) string {
	name := fmt.Sprintf("%.0f%% %s", 100*load, policy)
	if s.Fault != faultNone {
		name += " " + s.Fault
	}
	if s.OneEntry {
		name += " one-entry"
	}
	return name
}

// newRun returns a run whose load is a share of the cluster's slots.
func (s *localCluster) newRun(p schema.LoadProfile, load float64) Run {
	slots := float64(s.settings.Workers * s.settings.Slots)
	r := Run{
		Profile: p, URLs: s.urls(), Token: loadToken,
		JobsPerSecond: load * slots / meanJobRunTime(p).Seconds(),
		Duration:      s.settings.Duration, WarmUp: s.settings.WarmUp,
		counters: s,
	}
	if s.settings.Fault != faultNone {
		r.injectFault = func(d *driver) { s.injectFault(s.settings.Fault, d) }
	}
	return r
}

// schedulerConfig returns the scheduler's configuration for a policy.
func schedulerConfig(policy string) (sched.Config, error) {
	c := sched.DefaultConfig()
	var err error
	if c.Policy, err = sched.ParsePolicy(policy); err != nil {
		return c, errors.Wrap(err, "--policy")
	}
	return c, nil
}

// injectFault causes a fault in the running cluster.
func (s *localCluster) injectFault(fault string, d *driver) {
	switch fault {
	case faultBlackHole:
		s.fleet.Servers[0].SetBehaviour(standin.Behaviour{Mode: standin.Fail})
	case faultStraggler:
		s.fleet.Servers[0].SetBehaviour(standin.Behaviour{Mode: standin.Serve, SlowBy: stragglerFactor})
	case faultCancelWave:
		d.cancelAll()
	case faultEntryKilled:
		s.abortEntry(0)
	}
}
