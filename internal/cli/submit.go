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

// maxSubmitTimeout bounds --timeout.
const maxSubmitTimeout = time.Hour

// submitCommand submits one job.
type submitCommand struct {
	URL     string        `help:"URL of an entry's caller interface, or of the balancer." env:"LAVENDERCLEAT_URL" default:"http://127.0.0.1:7400"`
	Token   string        `help:"Token of the caller's team." env:"LAVENDERCLEAT_TOKEN" required:""`
	Timeout time.Duration `help:"Longest time to ask for the answer." default:"2m"`
	File    string        `arg:"" type:"existingfile" help:"File with the job in JSON; - for standard input."`
}

// Validate checks the settings.
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
		return j, errors.Wrapf(err, "%s holds no job in JSON", file)
	}
	return j, nil
}

// printAnswer prints an answer and returns an error when it is a failure.
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
