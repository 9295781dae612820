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

// explainCommand tells the story of one request from the logs of the daemons.
type explainCommand struct {
	ID   string   `arg:"" help:"Identifier of the job, or of the caller's request."`
	Logs []string `arg:"" optional:"" help:"Log files of the daemons; without any, or for -, the standard input."`
}

const (
	// storyMargin is how far around the request's own lines those about its workers and
	// peers are shown.
	storyMargin = time.Second
	// maxLogLine bounds a line; longer ones are skipped and counted.
	maxLogLine = 1 << 20
)

// logLine is one line of a log.
type logLine struct {
	at     time.Time
	source string
	fields []logField
}

type logField struct{ key, value string }

func (l *logLine) get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// Run prints the story.
func (c *explainCommand) Run(s *streams) error {
	lines, skipped, err := c.read(s.in)
	if err != nil {
		return err
	}
	own := ownLines(lines, c.ID)
	if len(own) == 0 {
		return errors.Newf("no line names %q among the %d of %d logs: is the log of the daemon that took the request among them, and from that time?", c.ID, len(lines), max(len(c.Logs), 1))
	}
	story := append(own, around(lines, own)...)
	slices.SortStableFunc(story, func(a, b *logLine) int { return a.at.Compare(b.at) })
	for _, l := range story {
		fmt.Fprintln(s.out, l)
	}
	for _, m := range missing(own, lines) {
		fmt.Fprintln(s.out, "missing:", m)
	}
	if skipped > 0 {
		fmt.Fprintf(s.out, "skipped: %d lines that are not of a daemon's log\n", skipped)
	}
	return nil
}

// String returns a line of the story.
func (l *logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.Format("15:04:05.000"), l.source, l.get("event"))
	for _, f := range l.fields {
		switch f.key {
		case "time", "level", "event":
		default:
			fmt.Fprintf(&b, " %s=%s", f.key, f.value)
		}
	}
	return b.String()
}

func (c *explainCommand) read(in io.Reader) (lines []*logLine, skipped int, err error) {
	names := c.Logs
	if len(names) == 0 {
		names = []string{"-"}
	}
	for _, name := range names {
		r := in
		if name != "-" {
			f, err := os.Open(name)
			if err != nil {
				return nil, 0, errors.Wrap(err, "opening a log")
			}
			defer f.Close()
			r = f
		}
		got, bad, err := readLog(r, strings.TrimSuffix(filepath.Base(name), ".log"))
		if err != nil {
			return nil, 0, errors.Wrapf(err, "reading %s", name)
		}
		lines, skipped = append(lines, got...), skipped+bad
	}
	return lines, skipped, nil
}

// readLog reads one log. What stands before the first field, as collectors of logs put
// there, names the source.
func readLog(r io.Reader, name string) (lines []*logLine, skipped int, err error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLogLine)
	for scan.Scan() {
		prefix, rest, ok := bytes.Cut(scan.Bytes(), []byte("time="))
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
	return lines, skipped, scan.Err()
}

func parseLine(b []byte) *logLine {
	d := logfmt.NewDecoder(bytes.NewReader(b))
	if !d.ScanRecord() {
		return nil
	}
	l := new(logLine)
	for d.ScanKeyval() {
		l.fields = append(l.fields, logField{string(d.Key()), string(d.Value())})
	}
	at, err := time.Parse(logging.TimeFormat, l.get("time"))
	if err != nil || d.Err() != nil {
		return nil
	}
	l.at = at
	return l
}

// ownLines returns the lines that name the job, or the job of the request.
func ownLines(lines []*logLine, id string) []*logLine {
	jobs := map[string]bool{id: true}
	for _, l := range lines {
		if l.get("request") == id && l.get("job") != "" {
			jobs[l.get("job")] = true
		}
	}
	var own []*logLine
	for _, l := range lines {
		if jobs[l.get("job")] || l.get("request") == id {
			own = append(own, l)
		}
	}
	return own
}

// around returns what the daemons believed of the workers, peers and store meanwhile.
func around(lines, own []*logLine) []*logLine {
	workers, sources := make(map[string]bool), make(map[string]bool)
	from, to := own[0].at, own[0].at
	for _, l := range own {
		if l.at.Before(from) {
			from = l.at
		}
		if l.at.After(to) {
			to = l.at
		}
		if w := l.get("worker"); w != "" {
			workers[w] = true
		}
		sources[l.source] = true
	}
	from, to = from.Add(-storyMargin), to.Add(storyMargin)
	var list []*logLine
	for _, l := range lines {
		if l.get("job") != "" || l.at.Before(from) || l.at.After(to) {
			continue
		}
		belief := l.get("peer") != "" || strings.HasPrefix(l.get("event"), "store_") || strings.HasPrefix(l.get("event"), "configuration_") ||
			strings.HasPrefix(l.get("event"), "domain_") ||
			l.get("event") == "started" || l.get("event") == "stopping" || l.get("event") == "suspended"
		if workers[l.get("worker")] && l.get("worker") != "" || belief && sources[l.source] {
			list = append(list, l)
		}
	}
	return list
}

// missing says which parts of the story no log tells.
func missing(own, lines []*logLine) []string {
	events, heard := make(map[string]bool), make(map[string]bool)
	for _, l := range own {
		events[l.get("event")] = true
	}
	for _, l := range lines {
		if l.get("event") == "started" {
			heard[l.get("address")] = true
		}
	}
	var list []string
	if !events["job_arrived"] {
		list = append(list, "the arrival: the log of the daemon that took the request, or its beginning")
	}
	if !events["job_answered"] {
		list = append(list, "the answer: the daemon ended before it, the caller left, or its log is cut")
	}
	asked := make(map[string]bool)
	for _, l := range own {
		to, _, _ := strings.Cut(strings.TrimPrefix(l.get("detail"), "to="), " ")
		if l.get("event") == "task_offered" && !heard[to] && !asked[to] {
			asked[to] = true
			list = append(list, "the log of the daemon at "+to+", which was offered a task, or its start")
		}
	}
	return list
}
