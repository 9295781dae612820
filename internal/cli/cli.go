// Package cli implements the command line of lavendercleat. It parses and validates the settings and
// runs the chosen sub-command.
package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Exit codes.
const (
	exitOK = iota
	// exitFailure: the command ran and failed.
	exitFailure
	// exitUsage: the command line or a setting is invalid. The command has not run.
	exitUsage
)

// commands are the sub-commands and their settings.
type commands struct {
	schema.LogSettings

	Entry     entryCommand     `cmd:"" help:"Run the daemon of an entry VM."`
	Node      nodeCommand      `cmd:"" help:"Run the daemon that serves jobs on the users' platform."`
	Explain   explainCommand   `cmd:"" help:"Show what happened to one request, from the daemons' logs."`
	Dev       devCommand       `cmd:"" help:"Run an entry, a stand-in platform and stand-in backend servers in one process."`
	Submit    submitCommand    `cmd:"" help:"Submit a job and print its answer."`
	Plan      planCommand      `cmd:"" help:"Show what an operation would change, without changing anything."`
	Confirm   confirmCommand   `cmd:"" help:"Apply a plan."`
	Status    statusCommand    `cmd:"" help:"Show the state of all entries."`
	History   historyCommand   `cmd:"" help:"List the recently applied plans."`
	Export    exportCommand    `cmd:"" help:"Print the configuration in force."`
	HashToken hashTokenCommand `cmd:"" help:"Print the hash of a token read from the standard input."`
	Load      loadCommand      `cmd:"" help:"Measure entries under load."`
	Standin   standinCommand   `cmd:"" help:"Run a stand-in of an external system, for tests."`
}

// streams are the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// Main parses the arguments, runs the command and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c commands
	parser, err := kong.New(&c, append(valueMappers(),
		kong.Name("lavendercleat"),
		kong.Description("Dispatches jobs of sub-second tasks. Every accepted job ends with either a complete answer or a definite failure."),
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
		fmt.Fprintln(errOut, "run lavendercleat --help for the commands, and lavendercleat COMMAND --help for the settings of a command")
		return exitUsage
	}
	if err := ctx.Run(&streams{in: os.Stdin, out: out, err: errOut}, &c.LogSettings); err != nil {
		fmt.Fprintln(errOut, "lavendercleat:", err)
		return exitFailure
	}
	return exitOK
}
