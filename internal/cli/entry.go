// The entry command: the daemon of an entry VM.

package cli

import (
	"go.uber.org/fx"

	"github.com/lavendercleat/lavendercleat/internal/entry"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/schema"
)

// entryCommand runs the daemon of an entry VM: the VM that accepts jobs from callers.
type entryCommand struct {
	schema.EntrySettings
}

// Validate checks the settings and the credential files that they name.
func (c *entryCommand) Validate() error {
	if err := entry.CheckSettings(c.EntrySettings); err != nil {
		return err
	}
	_, err := peer.LoadCredentials(c.CaFile, c.CertFile, c.KeyFile)
	return err
}

// Run runs the daemon until SIGTERM or SIGINT.
func (c *entryCommand) Run(s *streams, l *schema.LogSettings) error {
	stop := c.StopDelay + c.StopTimeout + stopMargin
	return runApp(newApp(s, l, stop,
		fx.Supply(c.EntrySettings),
		fx.Provide(
			func(e schema.EntrySettings) (peer.Credentials, error) {
				return peer.LoadCredentials(e.CaFile, e.CertFile, e.KeyFile)
			},
			entry.New,
		),
		fx.Invoke(addEntryHooks, func(lc fx.Lifecycle, e *entry.Entry) {
			lc.Append(fx.StartHook(func() error { return printReady(s.out, e) }))
		}),
	))
}
