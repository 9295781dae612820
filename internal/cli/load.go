// The load commands: load on running entries, experiments in this process, and fleet estimates.

package cli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/mattn/go-isatty"

	"github.com/lavendercleat/lavendercleat/internal/load"
	"github.com/lavendercleat/lavendercleat/schema"
)

// loadCommand measures entries under load.
type loadCommand struct {
	Run        loadRunCommand        `cmd:"" default:"withargs" help:"Send jobs to running entries and report response times, refusals and failures."`
	Experiment loadExperimentCommand `cmd:"" help:"Run entries, backend servers and the platform in this process under load, and compare scheduling policies."`
	Fleet      loadFleetCommand      `cmd:"" help:"Estimate what the daemons of a large fleet hold, read and send, at several fleet sizes."`
}

// loadRunCommand sends load to entries that are already running.
type loadRunCommand struct {
	schema.LoadSettings
}

// Validate checks the flags and the profile's file.
func (c *loadRunCommand) Validate() error {
	for _, u := range c.Urls {
		if err := checkURL("urls", u); err != nil {
			return err
		}
	}
	for _, u := range c.MetricsUrls {
		if err := checkURL("metrics-urls", strings.TrimSuffix(u, "/metrics")); err != nil {
			return err
		}
	}
	p, err := c.profile()
	if err != nil {
		return err
	}
	return load.RemoteRun(c.LoadSettings, p, nil).Check()
}

// profile returns the profile from the file, or one built from the flags if no file is given.
func (c *loadRunCommand) profile() (schema.LoadProfile, error) {
	if c.Profile != "" {
		return load.ReadProfile(c.Profile)
	}
	return load.ProfileFromSettings(c.LoadSettings), nil
}

// Run sends the load and prints the report.
func (c *loadRunCommand) Run(s *streams) error {
	p, err := c.profile()
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	r, err := load.RemoteRun(c.LoadSettings, p, terminalOrNil(s.err)).Do(ctx)
	if err != nil {
		return err
	}
	if c.Json {
		return printJSON(s.out, r)
	}
	return load.WriteTable(s.out, []schema.LoadReport{r})
}

// loadExperimentCommand runs load experiments on a system in this process.
type loadExperimentCommand struct {
	schema.ExperimentSettings
}

// Validate checks the flags and the profile's file.
func (c *loadExperimentCommand) Validate() error {
	if _, err := c.profile(); err != nil {
		return err
	}
	return load.CheckExperiment(c.ExperimentSettings)
}

// profile returns the profile from the file, or the default profile if no file is given.
func (c *loadExperimentCommand) profile() (schema.LoadProfile, error) {
	if c.Profile != "" {
		return load.ReadProfile(c.Profile)
	}
	return load.DefaultProfile(), nil
}

// Run runs the experiments and prints their reports.
func (c *loadExperimentCommand) Run(s *streams) error {
	p, err := c.profile()
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	var reports []schema.LoadReport
	err = load.RunExperiment(ctx, c.ExperimentSettings, p, terminalOrNil(s.err), func(r schema.LoadReport) error {
		reports = append(reports, r)
		if c.Json {
			return printJSON(s.out, r)
		}
		return nil
	})
	if c.Json {
		return err
	}
	if tableErr := load.WriteTable(s.out, reports); tableErr != nil {
		return tableErr
	}
	return err
}

// loadFleetCommand estimates the load of a fleet at several sizes.
type loadFleetCommand struct {
	File string `arg:"" help:"File with the fleet's profile, in JSON."`
	JSON bool   `name:"json" help:"Print the reports as JSON."`
}

// Run prints one line for each size.
func (c *loadFleetCommand) Run(s *streams) error {
	p, err := load.ReadFleetProfile(c.File)
	if err != nil {
		return err
	}
	reports := load.EstimateFleet(p)
	if c.JSON {
		return printJSON(s.out, reports)
	}
	return load.WriteFleetTable(s.out, reports)
}

// signalContext returns a context that SIGINT and SIGTERM cancel.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// terminalOrNil returns w if it is a terminal, and nil otherwise. Progress is shown on terminals only.
func terminalOrNil(w io.Writer) io.Writer {
	if f, ok := w.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		return w
	}
	return nil
}
