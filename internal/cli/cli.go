// Package cli is the command line: it reads and checks settings and starts what a
// sub-command names.
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
	// exitFailure: the command was carried out and failed.
	exitFailure
	// exitUsage: the command line or a setting is wrong; nothing was done.
	exitUsage
)

// commands are the sub-commands with their settings.
type commands struct {
	schema.LogSettings

	Entry     entryCommand     `cmd:"" help:"Run the daemon of an entry VM."`
	Node      nodeCommand      `cmd:"" help:"Run the daemon that serves jobs on the users' platform."`
	Explain   explainCommand   `cmd:"" help:"Tell the story of one request from the daemons' logs."`
	Dev       devCommand       `cmd:"" help:"Run an entry, a stand-in platform and stand-in backend servers in one process."`
	Submit    submitCommand    `cmd:"" help:"Submit a job and print its answer."`
	Plan      planCommand      `cmd:"" help:"Show what an intent would change; nothing changes."`
	Confirm   confirmCommand   `cmd:"" help:"Carry out a plan."`
	Status    statusCommand    `cmd:"" help:"Show the state of all entries."`
	History   historyCommand   `cmd:"" help:"List the recent plans."`
	Export    exportCommand    `cmd:"" help:"Print the configuration in force."`
	HashToken hashTokenCommand `cmd:"" help:"Print the hash of a token read from the standard input."`
	Load      loadCommand      `cmd:"" help:"Measure entries under load."`
	Standin   standinCommand   `cmd:"" help:"Run a stand-in of an outside system, for tests."`
}

// streams are the command's input and outputs.
type streams struct {
	in  io.Reader
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
	if err := ctx.Run(&streams{in: os.Stdin, out: out, err: errOut}, &c.LogSettings); err != nil {
		fmt.Fprintln(errOut, "lavendercleat:", err)
		return exitFailure
	}
	return exitOK
}
