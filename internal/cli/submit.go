// The submit command: one job from a file.

package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
)

// maxSubmitTimeout is the longest accepted --timeout.
const maxSubmitTimeout = time.Hour

// submitCommand submits one job and prints its answer.
type submitCommand struct {
	URL     string        `help:"URL of an entry's caller interface, or of the balancer." env:"LAVENDERCLEAT_URL" default:"http://127.0.0.1:7400"`
	Token   string        `help:"Token of the caller's team." env:"LAVENDERCLEAT_TOKEN" required:""`
	Timeout time.Duration `help:"How long to wait for the answer, with retries." default:"2m"`
	File    string        `arg:"" type:"existingfile" help:"File with the job in JSON; - for the standard input."`
}

// Validate checks the flags.
func (c *submitCommand) Validate() error {
	if c.Timeout <= 0 || c.Timeout > maxSubmitTimeout {
		return errors.Newf("--timeout is %s; accepted are durations above 0s up to %s", c.Timeout, maxSubmitTimeout)
	}
	if c.Token == "" {
		return errors.New("--token is empty; accepted is the token of the caller's team")
	}
	return checkURL("url", c.URL)
}

// Run submits the job and prints the answer.
func (c *submitCommand) Run(s *streams) error {
	job, err := readJob(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	caller := client.Client{URL: c.URL, Token: c.Token}
	r, err := caller.Submit(ctx, job)
	if err != nil {
		return err
	}
	return printAnswer(s.out, r.Answer)
}

// readJob reads a job in JSON from a file, or from the standard input for -.
func readJob(file string) (schema.Job, error) {
	var j schema.Job
	in := io.Reader(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return j, err
		}
		defer f.Close()
		in = f
	}
	if err := json.NewDecoder(in).Decode(&j); err != nil {
		return j, errors.Wrapf(err, "reading %s: expected a job in JSON", file)
	}
	return j, nil
}

// printAnswer prints an answer, and returns an error if the job failed.
func printAnswer(w io.Writer, a schema.Answer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(a); err != nil {
		return err
	}
	if a.Outcome != client.Complete {
		return errors.Newf("the job failed (%s): %s", a.Verdict, a.Reason)
	}
	return nil
}
