//go:build review

package main

import (
	"sync"
	"time"
)

// splitAfterCut cuts a zone off for 40 s. From 8 s after the end of the cut on, with nothing wrong any more, jobs
// of one task of 5 s are handed in for 35 s.
func splitAfterCut(s *system, trouble bool) (v verdict, err error) {
	if err := s.start(threeZones, zoneWorkers(64000), nil); err != nil {
		return v, err
	}
	if trouble {
		s.setZoneCut("krk-a", true)
	}
	time.Sleep(40 * time.Second)
	if trouble {
		s.setZoneCut("krk-a", false)
	}
	time.Sleep(8 * time.Second)
	const length = 5000
	job := map[string]any{"spec": spec(length, 2000), "steps": []any{step(1, 2000, length)}}
	var mu sync.Mutex
	var jobs []string
	go func() {
		for n := range 35 {
			go func() {
				if id := newID(); s.submit(id, job, s.daemons[n%3], s.daemons[(n+1)%3]) {
					mu.Lock()
					jobs = append(jobs, id)
					mu.Unlock()
				}
			}()
			time.Sleep(time.Second)
		}
	}()
	idle, reported := make(map[string]time.Duration), make(map[string]bool)
	for end := s.record.now() + 52*time.Second; s.record.now() < end; time.Sleep(20 * time.Millisecond) {
		mu.Lock()
		accepted := append([]string(nil), jobs...)
		mu.Unlock()
		running, ended := s.atWork()
		for _, id := range accepted {
			at, ok := idle[id]
			switch {
			case running[id] > 0 || ended[id] > 0:
				delete(idle, id)
			case !ok:
				idle[id] = s.record.now()
			case s.record.now()-at > 3*time.Second && !reported[id]:
				reported[id] = true
				v.add("LOST: job %s has had nothing running for 3 s (since %.2f), with the workers free", id, at.Seconds())
			}
		}
	}
	_, ended := s.atWork()
	open := 0
	for _, id := range jobs {
		if ended[id] == 0 {
			open++
		}
	}
	s.record.write("check", "%d jobs accepted, %d of them not done at the end", len(jobs), open)
	for _, o := range append(s.witness.overlaps(s.record.now()), s.witness.startsAfterEnd()...) {
		v.add("TWICE: %s", o)
	}
	return v, nil
}
