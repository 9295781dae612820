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
	Run        loadRunCommand        `cmd:"" default:"withargs" help:"Send jobs to running entries and report what their callers see."`
	Experiment loadExperimentCommand `cmd:"" help:"Run entries, backend servers and platform in this process under a load and compare policies."`
	Fleet      loadFleetCommand      `cmd:"" help:"Work out what the daemons of a large fleet hold, read and send at several sizes."`
}

// loadRunCommand sends a load to running entries.
type loadRunCommand struct {
	schema.LoadSettings
}

// Validate checks the settings, the profile's file included.
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

// profile returns the profile of the file, or of the flags without one.
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

// loadExperimentCommand runs experiments.
type loadExperimentCommand struct {
	schema.ExperimentSettings
}

// Validate checks the settings, the profile's file included.
func (c *loadExperimentCommand) Validate() error {
	if _, err := c.profile(); err != nil {
		return err
	}
	return load.CheckExperiment(c.ExperimentSettings)
}

// profile returns the profile of the file, or today's mix of jobs without one.
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

// loadFleetCommand works out a fleet at several sizes.
type loadFleetCommand struct {
	File string `arg:"" help:"Fleet's profile, in JSON."`
	JSON bool   `name:"json" help:"Print the reports as JSON."`
}

// Run prints a line for each size.
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

// untilSignal returns a context that ends with SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// terminal returns w for progress if it is a terminal, else nil.
func terminalOrNil(w io.Writer) io.Writer {
	if f, ok := w.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		return w
	}
	return nil
}
