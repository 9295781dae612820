// Package cli is the command line: it reads and checks settings and starts what a
// sub-command names.
package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Exit codes.
const (
	exitOK = iota
	// exitFailure: the command was carried out and failed.
	exitFailure
	// exitUsage: the command line or a setting is wrong; nothing was done.
	exitUsage
)

// commands are the sub-commands with their settings.
type commands struct {
	schema.LogSettings

	Entry   entryCommand   `cmd:"" help:"Run the daemon of an entry VM."`
	Dev     devCommand     `cmd:"" help:"Run an entry, a stand-in platform and stand-in backend servers in one process."`
	Submit  submitCommand  `cmd:"" help:"Submit a job and print its answer."`
	Status  statusCommand  `cmd:"" help:"Show the state of an entry."`
	Load    loadCommand    `cmd:"" help:"Measure entries under load."`
	Standin standinCommand `cmd:"" help:"Run a stand-in of an outside system, for tests."`
}

// streams are the command's outputs.
type streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c commands
	parser, err := kong.New(&c, append(valueMappers(),
		kong.Name("lavendercleat"),
		kong.Description("Dispatches jobs of sub-second tasks; every accepted job ends in one whole answer or one clear failure."),
		kong.Writers(out, errOut),
		kong.UsageOnError(),
	)...)
	if err != nil {
		fmt.Fprintln(errOut, "lavendercleat:", err)
		return exitUsage
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "lavendercleat:", err)
		fmt.Fprintln(errOut, "lavendercleat --help lists the commands, lavendercleat COMMAND --help its settings")
		return exitUsage
	}
	if err := ctx.Run(&streams{out: out, err: errOut}, &c.LogSettings); err != nil {
		fmt.Fprintln(errOut, "lavendercleat:", err)
		return exitFailure
	}
	return exitOK
}
