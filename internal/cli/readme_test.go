package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
)

// startDevCommand runs the dev command on free ports until the test ends, and returns the addresses
// from its first line.
func startDevCommand(t *testing.T) entryReady {
	t.Helper()
	in, out := io.Pipe()
	var log bytes.Buffer
	code := make(chan int, 1)
	go func() { code <- Main([]string{"dev", "--port=0", "--log-level=error"}, out, &log) }()
	line, err := bufio.NewReader(in).ReadBytes('\n')
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM)) // the dev command stops on SIGTERM
		select {
		case c := <-code:
			assert.Equal(t, c, exitOK, log.String())
		case <-time.After(30 * time.Second):
			t.Error("dev did not stop")
		}
	})
	var first map[string]any
	assert.NilError(t, json.Unmarshal(line, &first), "%s", line)
	for _, key := range []string{"caller_url", "operator_url", "metrics_url"} {
		url, _ := first[key].(string)
		assert.Assert(t, strings.HasPrefix(url, "http://127.0.0.1:"), "%s in %s", key, line)
	}
	var ready entryReady
	assert.NilError(t, json.Unmarshal(line, &ready))
	return ready
}

// readmeSession returns the README's shell session, with the addresses replaced by those of a running
// dev command.
func readmeSession(t *testing.T, addresses entryReady) string {
	t.Helper()
	b, err := os.ReadFile("../../README.md")
	assert.NilError(t, err)
	_, rest, ok := strings.Cut(string(b), "```sh\n")
	assert.Assert(t, ok)
	session, _, ok := strings.Cut(rest, "```")
	assert.Assert(t, ok)
	return strings.NewReplacer(
		"http://127.0.0.1:7400", addresses.CallerURL,
		"http://127.0.0.1:7401", addresses.OperatorURL,
		"http://127.0.0.1:7402/metrics", addresses.MetricsURL,
	).Replace(session)
}

// A call of the README's shell session gives another answer than the comment above it says. The session
// runs as printed, on other ports.
func TestReadmeSessionGivesDocumentedAnswers(t *testing.T) {
	if _, err := exec.LookPath("curl"); err != nil {
		t.Skip("needs curl")
	}
	session := readmeSession(t, startDevCommand(t))
	// curl prints no newline after a response. The wrapper adds one to separate the responses.
	session = "curl() { command curl \"$@\" && echo; }\n" + session
	out, err := exec.CommandContext(t.Context(), "sh", "-eu", "-c", session).Output()
	assert.NilError(t, err)
	dec := json.NewDecoder(bytes.NewReader(out))
	var booked, repeated, quoted, refused schema.Answer
	for _, a := range []*schema.Answer{&booked, &repeated, &quoted, &refused} {
		assert.NilError(t, dec.Decode(a), "%s", out)
	}
	assert.Equal(t, booked.Outcome, client.Complete)
	assert.Equal(t, len(booked.Results), 1)
	assert.DeepEqual(t, repeated, booked)
	assert.Equal(t, quoted.Outcome, client.Complete)
	assert.Equal(t, len(quoted.Results), 2)
	assert.Equal(t, refused.Reason, "unknown_kind")
	assert.Equal(t, refused.Verdict, "not-run")
	assert.Equal(t, refused.Resubmit, "safe")
	var state schema.FleetStatus
	assert.NilError(t, dec.Decode(&state))
	assert.Equal(t, len(state.Entries), 1)
	assert.Equal(t, state.Entries[0].Domain, devDomain)
	assert.Equal(t, state.Entries[0].ConfigRevision, state.Revision)
	assert.Assert(t, bytes.Contains(out, []byte("lavendercleat_task_starts_total 3")), "%s", out)
}

// The README omits a command or a required setting of entry, or lists a command that does not exist.
func TestReadmeListsCommandsAndRequiredSettings(t *testing.T) {
	b, err := os.ReadFile("../../README.md")
	assert.NilError(t, err)
	var c commands
	parser, err := kong.New(&c, valueMappers()...)
	assert.NilError(t, err)
	exists := make(map[string]*kong.Node)
	for _, leaf := range parser.Model.Leaves(true) {
		exists[leaf.Path()] = leaf
	}
	named := make(map[string]bool)
	for _, row := range regexp.MustCompile("(?m)^\\| `lavendercleat ([a-z -]*[a-z])").FindAllSubmatch(b, -1) {
		command := string(row[1])
		assert.Assert(t, exists[command] != nil, "no command %s", command)
		named[strings.Fields(command)[0]] = true
	}
	for _, command := range parser.Model.Children {
		assert.Assert(t, named[command.Name], "the README does not name %s", command.Name)
	}
	for _, flag := range exists["entry"].Flags {
		assert.Assert(t, !flag.Required || bytes.Contains(b, []byte("`--"+flag.Name+"`")), "no flag %s", flag.Name)
	}
}
