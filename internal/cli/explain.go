// The explain command: what happened to one request, from the logs of several daemons.

package cli

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"github.com/lavendercleat/lavendercleat/internal/logging"
)

// explainCommand prints the log lines about one request, from the logs of several daemons.
type explainCommand struct {
	ID   string   `arg:"" help:"Identifier of the job or of the caller's request."`
	Logs []string `arg:"" optional:"" help:"Log files of the daemons. Without a file, or for -, the command reads the standard input."`
}

const (
	// contextMargin is the time before the request's first line and after its last one for which the
	// command shows lines about the request's workers and about peers.
	contextMargin = time.Second
	// maxLogLineBytes is the largest length of a log line. The scanner stops with an error at a longer one.
	maxLogLineBytes = 1 << 20
)

// logLine is one parsed line of a daemon's log. source names the daemon.
type logLine struct {
	time   time.Time
	source string
	fields []logField
}

// logField is one key=value pair of a log line.
type logField struct{ key, value string }

// field returns the value of a key, or "" if the line does not have it.
func (l *logLine) field(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// Run prints the lines about the request in the order of their times, and lists the logs that are missing.
func (c *explainCommand) Run(s *streams) error {
	lines, skipped, err := c.readLogs(s.in)
	if err != nil {
		return err
	}
	requestLog := requestLines(lines, c.ID)
	if len(requestLog) == 0 {
		return errors.Newf("no line names %q; read %d lines from %d logs: expected the log of the daemon that received the request, from the time of the request", c.ID, len(lines), max(len(c.Logs), 1))
	}
	shown := append(requestLog, contextLines(lines, requestLog)...)
	slices.SortStableFunc(shown, func(a, b *logLine) int { return a.time.Compare(b.time) })
	for _, l := range shown {
		fmt.Fprintln(s.out, l)
	}
	for _, m := range missingLogs(requestLog, lines) {
		fmt.Fprintln(s.out, "missing:", m)
	}
	if skipped > 0 {
		fmt.Fprintf(s.out, "skipped: %d lines that are not in the format of a daemon's log\n", skipped)
	}
	return nil
}

// String formats the line for the output: time, source, event and the other fields.
func (l *logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.time.Format("15:04:05.000"), l.source, l.field("event"))
	for _, f := range l.fields {
		switch f.key {
		case "time", "level", "event":
		default:
			fmt.Fprintf(&b, " %s=%s", f.key, f.value)
		}
	}
	return b.String()
}

// readLogs reads all files and returns their lines and the number of lines that it can't parse.
func (c *explainCommand) readLogs(in io.Reader) (lines []*logLine, skipped int, err error) {
	names := c.Logs
	if len(names) == 0 {
		names = []string{"-"}
	}
	for _, name := range names {
		r := in
		if name != "-" {
			f, err := os.Open(name)
			if err != nil {
				return nil, 0, errors.Wrap(err, "opening a log file")
			}
			defer f.Close()
			r = f
		}
		read, malformed, err := readLog(r, strings.TrimSuffix(filepath.Base(name), ".log"))
		if err != nil {
			return nil, 0, errors.Wrapf(err, "reading %s", name)
		}
		lines, skipped = append(lines, read...), skipped+malformed
	}
	return lines, skipped, nil
}

// readLog parses one log. Log collectors put a prefix before the first field; if there is one, its
// last word is the source. Otherwise the source is the given name.
func readLog(r io.Reader, name string) (lines []*logLine, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		prefix, rest, ok := bytes.Cut(scanner.Bytes(), []byte("time="))
		l := parseLine(append([]byte("time="), rest...))
		if !ok || l == nil {
			skipped++
			continue
		}
		l.source = name
		if p := strings.Fields(string(prefix)); len(p) > 0 {
			l.source = p[len(p)-1]
		}
		lines = append(lines, l)
	}
	return lines, skipped, scanner.Err()
}

// parseLine parses a line in logfmt. It returns nil if the line is malformed or has no valid time.
func parseLine(b []byte) *logLine {
	d := logfmt.NewDecoder(bytes.NewReader(b))
	if !d.ScanRecord() {
		return nil
	}
	l := new(logLine)
	for d.ScanKeyval() {
		l.fields = append(l.fields, logField{string(d.Key()), string(d.Value())})
	}
	at, err := time.Parse(logging.TimeFormat, l.field("time"))
	if err != nil || d.Err() != nil {
		return nil
	}
	l.time = at
	return l
}

// requestLines returns the lines that name the identifier or a job of the request with this identifier.
func requestLines(lines []*logLine, id string) []*logLine {
	jobs := map[string]bool{id: true}
	for _, l := range lines {
		if l.field("request") == id && l.field("job") != "" {
			jobs[l.field("job")] = true
		}
	}
	var list []*logLine
	for _, l := range lines {
		if jobs[l.field("job")] || l.field("request") == id {
			list = append(list, l)
		}
	}
	return list
}

// contextLines returns the lines about the request's workers, about peers, the store, the configuration
// and failure domains that daemons logged around the time of the request. They show the state on which
// the daemons decided.
func contextLines(lines, request []*logLine) []*logLine {
	workers, sources := make(map[string]bool), make(map[string]bool)
	from, to := request[0].time, request[0].time
	for _, l := range request {
		if l.time.Before(from) {
			from = l.time
		}
		if l.time.After(to) {
			to = l.time
		}
		if w := l.field("worker"); w != "" {
			workers[w] = true
		}
		sources[l.source] = true
	}
	from, to = from.Add(-contextMargin), to.Add(contextMargin)
	var list []*logLine
	for _, l := range lines {
		if l.field("job") != "" || l.time.Before(from) || l.time.After(to) {
			continue
		}
		isDaemonEvent := l.field("peer") != "" || strings.HasPrefix(l.field("event"), "store_") || strings.HasPrefix(l.field("event"), "configuration_") ||
			strings.HasPrefix(l.field("event"), "domain_") ||
			l.field("event") == "started" || l.field("event") == "stopping" || l.field("event") == "suspended"
		if workers[l.field("worker")] && l.field("worker") != "" || isDaemonEvent && sources[l.source] {
			list = append(list, l)
		}
	}
	return list
}

// missingLogs lists the parts of the request for which no log has lines.
func missingLogs(request, lines []*logLine) []string {
	events, started := make(map[string]bool), make(map[string]bool)
	for _, l := range request {
		events[l.field("event")] = true
	}
	for _, l := range lines {
		if l.field("event") == "started" {
			started[l.field("address")] = true
		}
	}
	var list []string
	if !events["job_arrived"] {
		list = append(list, "the arrival: the log of the daemon that received the request, or the start of that log")
	}
	if !events["job_answered"] {
		list = append(list, "the answer: the daemon stopped before it answered, the caller disconnected, or the log is truncated")
	}
	listed := make(map[string]bool)
	for _, l := range request {
		to, _, _ := strings.Cut(strings.TrimPrefix(l.field("detail"), "to="), " ")
		if l.field("event") == "task_offered" && !started[to] && !listed[to] {
			listed[to] = true
			list = append(list, "the log of the daemon at "+to+", which was offered a task, or the start of that log")
		}
	}
	return list
}
