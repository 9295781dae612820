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

// operatorTimeout bounds one call of the operator interface; a confirmation follows
// up a lost reply for some seconds.
const operatorTimeout = 30 * time.Second

// operatorFlags say which entry to ask, and as whom.
type operatorFlags struct {
	URL   string `help:"URL of any entry's operator interface." env:"LAVENDERCLEAT_OPERATOR_URL" default:"http://127.0.0.1:7401"`
	Token string `help:"The operator's token." env:"LAVENDERCLEAT_OPERATOR_TOKEN"`
	JSON  bool   `help:"Print JSON instead of a table."`
}

// Validate checks the settings.
func (f *operatorFlags) Validate() error {
	if err := checkURL("url", f.URL); err != nil {
		return err
	}
	if f.Token == "" {
		return errors.New("--token is empty; accepted is an operator's token")
	}
	return nil
}

// call makes one call and decodes the reply into out. A reply that is not 200 is
// decoded as an outcome and returned as an error.
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
		return errors.Wrap(err, "asking the entry")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "reading the entry's answer")
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

// notApplied is a plan that was not applied, as an error.
type notAppliedError struct {
	schema.Outcome
}

// Error implements error.
func (n *notAppliedError) Error() string {
	text := n.Outcome.Outcome + " (" + n.Reason + "): " + n.Message
	for _, h := range n.Moved {
		text += "\n  " + formatHistoryEntry(h)
	}
	return text
}

func parseOutcomeError(status string, body []byte) error {
	var n notAppliedError
	if err := json.Unmarshal(body, &n.Outcome); err != nil || n.Outcome.Outcome == "" {
		return errors.Newf("the entry answered %s: %s", status, body)
	}
	return &n
}

// historyCommand lists the recent plans.
type historyCommand struct {
	operatorFlags
}

// Run prints the recent plans, newest last.
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

// exportCommand prints the document in force.
type exportCommand struct {
	operatorFlags
}

// Run prints the document in JSON, as plan init accepts it.
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

// Run reads a token from the standard input, so that it doesn't show in the list of
// processes, and prints the hash for token_sha256 or --operators.
func (c *hashTokenCommand) Run(s *streams) error {
	b, err := io.ReadAll(io.LimitReader(s.in, 4096))
	if err != nil {
		return err
	}
	token := string(bytes.TrimSpace(b))
	if token == "" {
		return errors.New("the standard input holds no token")
	}
	_, err = io.WriteString(s.out, config.HashToken(token)+"\n")
	return err
}
