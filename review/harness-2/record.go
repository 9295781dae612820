//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the protocol of a play: what was sent, answered and run, with the time since the start.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f}, nil
}

// now returns the time since the start of the play.
func (r *record) now() time.Duration { return time.Since(r.started) }

// write appends one line.
func (r *record) write(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f %-8s %s\n", r.now().Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	if who == "verdict" || who == "trouble" {
		fmt.Print(line)
	}
}

func (r *record) close() { _ = r.file.Close() }
