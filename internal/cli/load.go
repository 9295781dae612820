package cli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/mattn/go-isatty"

	"github.com/lavendercleat/lavendercleat/internal/load"
	"github.com/lavendercleat/lavendercleat/schema"
)

// loadCommand measures entries under load.
type loadCommand struct {
	Run        loadRunCommand        `cmd:"" default:"withargs" help:"Send jobs to running entries and report what their callers see."`
	Experiment loadExperimentCommand `cmd:"" help:"Run entries, backend servers and platform in this process under a load and compare policies."`
}

// loadRunCommand sends a load to running entries.
type loadRunCommand struct {
	schema.LoadSettings
}

// Run sends the load and prints the report.
func (c *loadRunCommand) Run(s *streams) error {
	p := load.SettingsProfile(c.LoadSettings)
	if c.Profile != "" {
		var err error
		if p, err = load.ReadProfile(c.Profile); err != nil {
			return err
		}
	}
	ctx, cancel := untilSignal()
	defer cancel()
	r, err := load.Remote(c.LoadSettings, p, terminal(s.err)).Do(ctx)
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

// Run runs the experiments and prints their reports.
func (c *loadExperimentCommand) Run(s *streams) error {
	p := load.DefaultProfile()
	if c.Profile != "" {
		var err error
		if p, err = load.ReadProfile(c.Profile); err != nil {
			return err
		}
	}
	ctx, cancel := untilSignal()
	defer cancel()
	var reports []schema.LoadReport
	err := load.Experiment(ctx, c.ExperimentSettings, p, terminal(s.err), func(r schema.LoadReport) error {
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

// untilSignal returns a context that ends with SIGINT or SIGTERM.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// terminal returns w for progress if it is a terminal, else nil.
func terminal(w io.Writer) io.Writer {
	if f, ok := w.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		return w
	}
	return nil
}
