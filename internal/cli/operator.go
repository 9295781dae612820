// Calls of an entry's operator interface, and the history, export and hash-token commands.

package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
)

// operatorTimeout is the time limit for one call of the operator interface. An entry may take some
// seconds for a confirmation, because it checks the result when a reply of the platform was lost.
const operatorTimeout = 30 * time.Second

// operatorFlags name the entry to call and the operator's token.
type operatorFlags struct {
	URL   string `help:"URL of any entry's operator interface." env:"LAVENDERCLEAT_OPERATOR_URL" default:"http://127.0.0.1:7401"`
	Token string `help:"The operator's token." env:"LAVENDERCLEAT_OPERATOR_TOKEN"`
	JSON  bool   `help:"Print JSON instead of a table."`
}

// Validate checks the flags.
func (f *operatorFlags) Validate() error {
	if err := checkURL("url", f.URL); err != nil {
		return err
	}
	if f.Token == "" {
		return errors.New("--token is empty; accepted is an operator's token")
	}
	return nil
}

// call sends a request to the operator interface and decodes the response into out. It returns a
// response with a status other than 200 as an error.
func (f *operatorFlags) call(method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, f.URL+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+f.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "calling the entry's operator interface")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "reading the entry's response")
	}
	if resp.StatusCode != http.StatusOK {
		return parseOutcomeError(resp.Status, b)
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = b
		return nil
	}
	return json.Unmarshal(b, out)
}

// notAppliedError is the outcome of a plan that the entry did not apply.
type notAppliedError struct {
	schema.Outcome
}

// Error returns the outcome, its reason and message, and the plans that were applied in the meantime.
func (n *notAppliedError) Error() string {
	text := n.Outcome.Outcome + " (" + n.Reason + "): " + n.Message
	for _, h := range n.Moved {
		text += "\n  " + formatHistoryEntry(h)
	}
	return text
}

// parseOutcomeError returns the outcome in a response's body as an error.
func parseOutcomeError(status string, body []byte) error {
	var n notAppliedError
	if err := json.Unmarshal(body, &n.Outcome); err != nil || n.Outcome.Outcome == "" {
		return errors.Newf("expected status 200 or an outcome in JSON from the entry, got %s: %s", status, body)
	}
	return &n
}

// historyCommand lists the recently applied plans.
type historyCommand struct {
	operatorFlags
}

// Run prints the recently applied plans, newest last.
func (c *historyCommand) Run(s *streams) error {
	var h schema.History
	if err := c.call(http.MethodGet, "/v1/history", nil, &h); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, h)
	}
	return printHistory(s.out, h)
}

// exportCommand prints the configuration document in force.
type exportCommand struct {
	operatorFlags
}

// Run prints the document in the JSON format that plan init accepts.
func (c *exportCommand) Run(s *streams) error {
	var b []byte
	if err := c.call(http.MethodGet, "/v1/config", nil, &b); err != nil {
		return err
	}
	_, err := s.out.Write(b)
	return err
}

// hashTokenCommand prints a token's hash.
type hashTokenCommand struct{}

// Run reads a token and prints its hash, for token_sha256 and --operators. It reads the token from the
// standard input, because arguments are visible in the list of processes.
func (c *hashTokenCommand) Run(s *streams) error {
	b, err := io.ReadAll(io.LimitReader(s.in, 4096))
	if err != nil {
		return err
	}
	token := string(bytes.TrimSpace(b))
	if token == "" {
		return errors.New("expected a token on the standard input, got none")
	}
	_, err = io.WriteString(s.out, config.HashToken(token)+"\n")
	return err
}
