//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// event is what a stand-in has seen on its sockets.
type event struct {
	at     time.Duration
	kind   string
	task   string
	run    int64
	where  string
	detail string
}

// job returns the ID of the task's job.
func (e event) job() string { return strings.SplitN(e.task, ".", 2)[0] }

// eventLog collects what was sent, answered and run, and writes it to record.txt.
type eventLog struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	events  []event
}

func newEventLog(path string) *eventLog {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &eventLog{started: time.Now(), file: f}
}

func (l *eventLog) now() time.Duration { return time.Since(l.started) }

func (l *eventLog) add(e event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.at = l.now()
	l.events = append(l.events, e)
	line := fmt.Sprintf("%9.3f %s", e.at.Seconds(), e.kind)
	if e.task != "" {
		line += " " + e.task
	}
	if e.run > 0 {
		line += fmt.Sprintf(" run=%d", e.run)
	}
	if e.where != "" {
		line += " at=" + e.where
	}
	if e.detail != "" {
		line += " " + e.detail
	}
	fmt.Fprintln(l.file, line)
}

// note writes a line of the scenario itself.
func (l *eventLog) note(format string, args ...any) {
	l.add(event{kind: "note", detail: fmt.Sprintf(format, args...)})
	fmt.Printf("%7.3f %s\n", l.now().Seconds(), fmt.Sprintf(format, args...))
}

// of returns the events of a kind.
func (l *eventLog) of(kind string) (list []event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		if e.kind == kind {
			list = append(list, e)
		}
	}
	return list
}
