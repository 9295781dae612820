// Command lavendercleat dispatches jobs of sub-second tasks to workers.
package main

import (
	"os"

	"github.com/lavendercleat/lavendercleat/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
