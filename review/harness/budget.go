//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["budget"] = attemptsAfterKills }

// attemptsAfterKills: durable jobs come that can never be done; their queue allows 2 attempts. All machines'
// processes are killed at the same time, twice, 6 s apart, and started again at once.
func attemptsAfterKills(s *system, trouble bool) (breaches []string) {
	const attempts, poison, kills = 2, 40, 2
	s.configure(4, attempts)
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	accepted := make(map[string]bool)
	parallel(poison, func(i int) {
		time.Sleep(time.Duration(i) * 20 * time.Millisecond)
		id := newID()
		if ok, _ := s.submit(i, id, failingJob(time.Second+time.Duration(i)*3*time.Second/poison)); ok {
			mu.Lock()
			accepted[id] = true
			mu.Unlock()
		}
	})
	s.log.note("%d jobs that can't be done were accepted", len(accepted))
	if len(accepted) < poison/2 {
		cannotRun("only %d jobs were accepted", len(accepted))
	}
	for range kills {
		if trouble {
			s.log.note("all processes are killed")
			parallel(len(s.daemons), func(i int) {
				s.kill(s.daemons[i])
				time.Sleep(300 * time.Millisecond)
				s.writeSettings(s.daemons[i], false)
				s.startDaemon(s.daemons[i])
			})
		}
		time.Sleep(6 * time.Second)
	}
	time.Sleep(25 * time.Second)
	noted := make(map[string]bool)
	for _, e := range s.log.of("noted") {
		noted[fmt.Sprintf("%s/%d/%s", e.task, e.run, e.where)] = true
	}
	s.log.mu.Lock()
	events := append([]event(nil), s.log.events...)
	s.log.mu.Unlock()
	failed := make(map[string]int)
	for _, e := range events {
		if !accepted[e.job()] {
			continue
		}
		switch {
		case e.kind == "end" && e.detail == "failed" && noted[fmt.Sprintf("%s/%d/%s", e.task, e.run, e.where)]:
			failed[e.task]++
		case e.kind == "start" && failed[e.task] >= attempts:
			breaches = append(breaches, fmt.Sprintf("BUDGET: run %d of %s starts at %.2f s after %d of its runs have ended failed and were taken note of; its queue allows %d",
				e.run, e.task, e.at.Seconds(), failed[e.task], attempts))
		}
	}
	return breaches
}

// failingJob is the body of a job whose task always fails.
func failingJob(length time.Duration) string {
	return fmt.Sprintf(`{"spec":"cpu=%d ms=%d fail=100","steps":[{"count":1,"cpu":%d,"mem-mb":64,"estimate-ms":%d}]}`, taskCPU, length.Milliseconds(), taskCPU, length.Milliseconds())
}
