//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["cancel"] = cancelWhileAnswersAreLost }

// cancelWhileAnswersAreLost: long jobs fill all workers, and further jobs wait. While the store loses the
// answers of 35% of the writes for 4.5 s, the clients cancel the waiting jobs. The long jobs end seconds
// after the store is sound again. No task of a cancelled job may start then.
func cancelWhileAnswersAreLost(s *system, trouble bool) (breaches []string) {
	const (
		longJobs    = 24 // of 4 tasks each: all that 48 workers can run
		waitingJobs = 20
		longTask    = 14 * time.Second
		shortTask   = 6 * time.Second
		troubleTime = 4500 * time.Millisecond
	)
	s.log.note("submitting %d jobs that fill all workers", longJobs)
	parallel(longJobs, func(i int) {
		if ok, _ := s.submit(i, newID(), jobBody(4, longTask, false)); !ok {
			s.log.note("a long job was not accepted")
		}
	})
	time.Sleep(1500 * time.Millisecond)
	ids := make([]string, waitingJobs)
	parallel(waitingJobs, func(i int) {
		id := newID()
		if ok, _ := s.submit(i, id, jobBody(2, shortTask, false)); ok {
			ids[i] = id
		}
	})
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.loseWrites(350)
		s.log.note("the store loses the answers of 35%% of the writes")
	}
	begun := time.Now()
	acks := make([]time.Duration, waitingJobs)
	parallel(waitingJobs, func(i int) {
		if ids[i] == "" {
			return
		}
		time.Sleep(time.Duration(i) * 60 * time.Millisecond)
		for attempt := range 6 {
			// The next daemon than the one that accepted the job, as another connection may reach.
			status, _ := s.call(s.daemons[(i+1+attempt)%len(s.daemons)], http.MethodDelete, ids[i], "", 3*time.Second)
			if status/100 == 2 || status == http.StatusGone {
				acks[i] = s.log.now()
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
	time.Sleep(time.Until(begun.Add(troubleTime)))
	s.loseWrites(0)
	sound := s.log.now()
	s.log.note("the store is sound")
	time.Sleep(20 * time.Second)
	cancelled := make(map[string]time.Duration)
	for i, id := range ids {
		if acks[i] > 0 {
			cancelled[id] = acks[i]
		}
	}
	s.log.note("%d jobs were accepted and cancelled with an ack", len(cancelled))
	if len(cancelled) < waitingJobs/2 {
		cannotRun("only %d jobs were accepted and cancelled", len(cancelled))
	}
	for _, e := range s.log.of("start") {
		ack, ok := cancelled[e.job()]
		if ok && e.at > ack+cancelTime && e.at > sound+contact {
			breaches = append(breaches, fmt.Sprintf("UNASKED: task %s started at %s %.1f s after the ack of its job's cancelling, and %.1f s after the store was sound again",
				e.task, e.where, (e.at-ack).Seconds(), (e.at-sound).Seconds()))
		}
	}
	return breaches
}

// loseWrites sets the share of the writes, in thousandths, that the store does and doesn't answer.
func (s *system) loseWrites(share int64) {
	for _, d := range s.daemons {
		d.store.loseWrites.Store(share)
	}
}
