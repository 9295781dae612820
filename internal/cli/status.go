package cli

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// statusCommand shows the state of an entry.
type statusCommand struct {
	URL string `help:"URL of an entry's operator interface." env:"LAVENDERCLEAT_OPERATOR_URL" default:"http://127.0.0.1:7401"`
}

// Validate checks the settings.
func (c *statusCommand) Validate() error { return checkURL("url", c.URL) }

// Run prints the entry's state.
func (c *statusCommand) Run(s *streams) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+"/v1/status", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "asking the entry")
	}
	defer resp.Body.Close()
	_, err = io.Copy(s.out, resp.Body)
	return err
}
