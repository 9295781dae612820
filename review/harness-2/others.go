//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// manyCompletions kills a daemon while one of its workers lists over 500 ends that are not taken note of.
func manyCompletions(s *system, trouble bool) (v verdict, err error) {
	if err := s.start(threeZones, zoneWorkers(64000), nil); err != nil {
		return v, err
	}
	job := map[string]any{"spec": spec(400, 100), "steps": []any{step(160, 100, 400)}}
	killed := s.daemons[2]
	if trouble {
		s.record.write("trouble", "the store takes 60 times as long")
		s.store.setDelay(60 * usualDelay)
		time.AfterFunc(4500*time.Millisecond, func() {
			s.store.setDelay(usualDelay)
			s.record.write("trouble", "the store is as fast as usual")
		})
	}
	most := 0
	for range 2 {
		var wg sync.WaitGroup
		for n := range 11 {
			wg.Go(func() { s.submit(newID(), job, s.daemons[n%2]) })
		}
		for end := s.record.now() + 2*time.Second; s.record.now() < end; time.Sleep(time.Millisecond) {
			n := s.workers[2].unacknowledged()
			most = max(most, n)
			if n > 540 && trouble && killed != nil {
				s.record.write("check", "%s lists %d ends that are not taken note of", s.workers[2].id, n)
				killed.signal(syscall.SIGKILL)
				killed = nil
			}
		}
		wg.Wait()
		if killed == nil {
			break
		}
	}
	s.record.write("check", "%s listed up to %d ends", s.workers[2].id, most)
	if trouble && killed != nil {
		return v, fmt.Errorf("no more than %d ends were listed at a time, so nothing was killed", most)
	}
	time.Sleep(12 * time.Second)
	list := s.witness.startsAfterEnd()
	for _, l := range list[:min(len(list), 3)] {
		v.add("TWICE: %s", l)
	}
	if len(list) > 3 {
		v.add("TWICE: so for %d tasks", len(list))
	}
	return v, nil
}

// startsAfterEnd returns the tasks that were started after a run had ended done, where that end was taken
// note of.
func (w *witness) startsAfterEnd() (list []string) {
	type key struct {
		worker, task string
		run          int64
	}
	acked, done := make(map[key]bool), make(map[string]runEvent)
	events := w.all()
	for _, e := range events {
		if e.what == "acked done" {
			acked[key{e.worker, e.task, e.run}] = true
		}
	}
	for _, e := range events {
		switch e.what {
		case "done":
			if acked[key{e.worker, e.task, e.run}] {
				done[e.task] = e
			}
		case "start":
			if d, ok := done[e.task]; ok {
				list = append(list, fmt.Sprintf("task %s started at %.3f on %s (run %d), after run %d had ended done at %.3f on %s", e.task, e.at.Seconds(), e.worker, e.run, d.run, d.at.Seconds(), d.worker))
			}
		}
	}
	return list
}

// cancelElsewhere cancels a job that needn't be kept at another daemon than the one that runs it.
func cancelElsewhere(s *system, trouble bool) (v verdict, err error) {
	if err := s.start(threeZones, zoneWorkers(64000), nil); err != nil {
		return v, err
	}
	id := newID()
	job := map[string]any{"spec": spec(7000, 2000), "steps": []any{step(4, 2000, 7000)}, "best-effort": true}
	go s.daemons[0].call(context.Background(), http.MethodPost, id, job, 9*time.Second)
	time.Sleep(700 * time.Millisecond)
	if !trouble {
		time.Sleep(9 * time.Second)
		return v, nil
	}
	status, _ := s.daemons[1].call(context.Background(), http.MethodDelete, id, nil, 3*time.Second)
	acked := s.record.now()
	time.Sleep(3500 * time.Millisecond)
	running, _ := s.atWork()
	if (status/100 == 2 || status == http.StatusGone) && running[id] > 0 {
		v.add("UNASKED: %d tasks of job %s run on %.1f s after its cancelling was answered with %d", running[id], id, (s.record.now() - acked).Seconds(), status)
	}
	return v, nil
}
