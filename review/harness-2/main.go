//go:build review

// Command review-2 plays one case of the second independent review: it starts daemons as the deploy
// file does, with stand-ins of the store, the workers and the clients on loopback addresses, makes the
// trouble of the case and checks one rule by what clients and workers have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case: what broke the rule, or nothing.
type verdict struct{ broken []string }

func (v *verdict) add(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// cases holds the plays by the name of their folder.
var cases = map[string]func(s *system, trouble bool) (verdict, error){
	"4":      splitAfterCut,
	"5":      longPartition,
	"6":      manyCompletions,
	"7":      pendingAfterKill,
	"8":      restartAndRemoval,
	"cancel": cancelElsewhere,
	"soak":   soak,
}

// maxPlay bounds a play, with a reserve below the 120 s that a script may take.
const maxPlay = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE PROGRAM RECORD")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s := newSystem(program, record)
	defer s.close()
	type result struct {
		verdict
		error
	}
	done := make(chan result, 1)
	go func() {
		v, err := cases[os.Args[1]](s, trouble)
		done <- result{v, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	var r result
	select {
	case r = <-done:
	case <-ended:
		r.error = errors.New("the play was ended")
	case <-time.After(maxPlay):
		r.error = errors.New("the play took too long")
	}
	switch {
	case r.error != nil:
		record.write("verdict", "the case couldn't run: %v", r.error)
		return exitNotRun
	case len(r.broken) > 0:
		for _, b := range r.broken {
			record.write("verdict", "BROKEN: %s", b)
		}
		return exitBroken
	}
	record.write("verdict", "the rule held")
	return exitHeld
}
