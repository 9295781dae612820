// Command lavendercleat runs the dispatcher of jobs of sub-second tasks, and its operator and test
// commands.
package main

import (
	"os"

	"github.com/lavendercleat/lavendercleat/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
