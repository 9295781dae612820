package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// splitAfterCut cuts a zone off for 45 s. Ten seconds after the end of the cut, jobs of one task of 5 s are
// handed in, with nothing wrong any more.
func splitAfterCut(s *system, trouble bool) (v verdict, err error) {
	if err := s.start(threeZones, zoneWorkers(64000), nil); err != nil {
		return v, err
	}
	if trouble {
		s.setZoneCut("krk-a", true)
	}
	time.Sleep(45 * time.Second)
	if trouble {
		s.setZoneCut("krk-a", false)
	}
	time.Sleep(10 * time.Second)
	const length = 5000
	job := map[string]any{"spec": spec(length, 2000), "steps": []any{step(1, 2000, length)}}
	var jobs []string
	for n := range 9 {
		id := newID()
		if s.submit(id, job, s.daemons[n%3], s.daemons[(n+1)%3]) {
			jobs = append(jobs, id)
		}
	}
	if len(jobs) == 0 {
		return v, fmt.Errorf("no job was accepted")
	}
	last := s.record.now()
	idle := make(map[string]time.Duration)
	for s.record.now() < last+30*time.Second {
		running, ended := s.atWork()
		for _, id := range jobs {
			if running[id] > 0 || ended[id] > 0 {
				delete(idle, id)
				continue
			}
			if _, ok := idle[id]; !ok {
				idle[id] = s.record.now()
			}
			if at := idle[id]; at > 0 && s.record.now()-at > 3*time.Second {
				v.add("LOST: job %s has had nothing running for 3 s (since %.2f), with the workers free", id, at.Seconds())
				idle[id] = -1
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, ended := s.atWork()
	for _, id := range jobs {
		status, body := s.daemons[1].call(context.Background(), http.MethodGet, id, nil, 2*time.Second)
		if ended[id] == 0 {
			v.add("LOST: job %s isn't done 30 s after it was accepted: %d %v", id, status, body)
		}
	}
	for _, o := range s.witness.overlaps(s.record.now()) {
		v.add("TWICE: %s", o)
	}
	for _, o := range s.witness.startsAfterEnd() {
		v.add("TWICE: %s", o)
	}
	return v, nil
}
