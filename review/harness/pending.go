//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pending"] = pendingAfterRollingStop }

// pendingAfterRollingStop: long jobs fill all workers, and further jobs, accepted by all daemons alike,
// wait. Then all machines are stopped gracefully and started again in turn, one each 2 s. Later, when all
// machines are in touch, each is asked for the number of the queue's pending jobs.
func pendingAfterRollingStop(s *system, trouble bool) (breaches []string) {
	const (
		longJobs    = 24 // of 4 tasks each: all that 48 workers can run
		waitingJobs = 30
		longTask    = 45 * time.Second
		waitingTask = 20 * time.Second
		gap         = 2 * time.Second
		asked       = 4 * time.Second
	)
	s.log.note("submitting %d jobs that fill all workers", longJobs)
	parallel(longJobs, func(i int) {
		if ok, _ := s.submit(i, newID(), jobBody(4, longTask, false)); !ok {
			s.log.note("a long job was not accepted")
		}
	})
	time.Sleep(1500 * time.Millisecond)
	var mu sync.Mutex
	accepted := make(map[string]time.Duration)
	parallel(waitingJobs, func(i int) {
		id := newID()
		if ok, _ := s.submit(i, id, jobBody(2, waitingTask, false)); ok {
			mu.Lock()
			accepted[id] = s.log.now()
			mu.Unlock()
		}
	})
	s.log.note("%d waiting jobs were accepted", len(accepted))
	if len(accepted) < waitingJobs/2 {
		cannotRun("only %d waiting jobs were accepted", len(accepted))
	}
	time.Sleep(time.Second)
	if trouble {
		s.log.note("all machines are stopped and started in turn")
		parallel(len(s.daemons), func(i int) {
			time.Sleep(time.Duration(i) * gap)
			s.terminate(s.daemons[i])
			time.Sleep(200 * time.Millisecond)
			s.writeSettings(s.daemons[i], false)
			s.startDaemon(s.daemons[i])
			s.awaitReady(s.daemons[i])
		})
	} else {
		time.Sleep(time.Duration(len(s.daemons)+2) * gap)
	}
	s.log.note("all machines run")
	time.Sleep(contact + time.Second)
	s.log.note("all machines are in touch")
	for begin := time.Now(); time.Since(begin) < asked; time.Sleep(500 * time.Millisecond) {
		for _, d := range s.daemons {
			askedAt := s.log.now()
			status, text := s.call(d, http.MethodGet, "", "", 2*time.Second)
			var answer struct{ Pending *int }
			if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil || answer.Pending == nil {
				continue
			}
			if waiting := notBegun(s.log, accepted, askedAt-visible-2*time.Second); 2**answer.Pending < waiting {
				breaches = append(breaches, fmt.Sprintf("MIXED: asked at %.2f s, %s gives pending %d, but %d jobs that were accepted over 5 s before have not begun",
					askedAt.Seconds(), d.name, *answer.Pending, waiting))
			}
		}
	}
	return breaches
}

// notBegun counts the jobs accepted before a time of which no task has started until now.
func notBegun(log *eventLog, accepted map[string]time.Duration, before time.Duration) (count int) {
	begun := make(map[string]bool)
	for _, e := range log.of("start") {
		begun[e.job()] = true
	}
	for id, at := range accepted {
		if !begun[id] && at < before {
			count++
		}
	}
	return count
}
