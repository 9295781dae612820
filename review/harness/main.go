//go:build review

// Command harness runs the cases of the review: it starts the project's daemons as processes, with
// stand-ins of the platform's store, the workers and the clients, and judges what those have seen.
//
// Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun bounds a case.
const maxRun = 115 * time.Second

// cases are the cases by name. Each returns the breaches of its rule that it has seen.
var cases = map[string]func(s *system, trouble bool) (breaches []string){}

// withCuts are the cases that cut machines off from each other.
var withCuts = map[string]bool{"soak": true, "lost": true}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: harness CASE RECORD")
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		cannotRun("stopped by a signal")
	}()
	if os.Args[1] != "soak" {
		time.AfterFunc(maxRun, func() { cannotRun("not done within %s", maxRun) })
	}
	log := newEventLog(os.Args[2])
	s := startSystem(log, withCuts[os.Args[1]])
	breaches := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	s.stop()
	for _, b := range breaches {
		log.note("BROKEN %s", b)
	}
	if len(breaches) > 0 {
		fmt.Println("rule broken:", len(breaches), "times")
		os.Exit(1)
	}
	log.note("the rule held")
}
