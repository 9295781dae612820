//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

var threeZones = []string{"krk-a", "krk-b", "kat-c"}

// zoneWorkers returns one worker a zone.
func zoneWorkers(cpu int64) (list []workerSpec) {
	for i, z := range threeZones {
		list = append(list, workerSpec{fmt.Sprintf("w%d", i), z, cpu})
	}
	return list
}

// spec is what a task does, for the stand-in of the worker.
func spec(ms, cpu int) string { return fmt.Sprintf("ms=%d cpu=%d", ms, cpu) }

// longPartition cuts a zone off for 50 s. Jobs of one task of 10 s are handed in there from 32 s after the
// beginning of the cut on.
func longPartition(s *system, trouble bool) (v verdict, err error) {
	if err := s.start(threeZones, zoneWorkers(64000), nil); err != nil {
		return v, err
	}
	job := func(ms int) map[string]any {
		return map[string]any{"spec": spec(ms, 2000), "steps": []any{step(1, 2000, ms)}}
	}
	for _, d := range s.daemons {
		s.submit(newID(), job(200), d)
	}
	time.Sleep(time.Second)
	if trouble {
		s.setZoneCut("krk-a", true)
	}
	time.Sleep(32 * time.Second)
	accepted := 0
	for range 4 {
		if s.submit(newID(), job(10000), s.daemons[0]) {
			accepted++
		}
		time.Sleep(time.Second)
	}
	if accepted == 0 {
		return v, fmt.Errorf("no job was accepted")
	}
	time.Sleep(14 * time.Second)
	if trouble {
		s.setZoneCut("krk-a", false)
	}
	time.Sleep(3 * time.Second)
	for _, o := range s.witness.overlaps(s.record.now()) {
		v.add("TWICE: %s", o)
	}
	return v, nil
}

// pendingAfterKill kills a daemon that has accepted jobs which wait, and asks the other daemons, which nothing
// happens to, how many jobs wait.
func pendingAfterKill(s *system, trouble bool) (v verdict, err error) {
	if err := s.start(threeZones, zoneWorkers(8000), nil); err != nil {
		return v, err
	}
	// 24 tasks fill the workers for 40 s. The others wait.
	job := map[string]any{"spec": spec(40000, 1000), "steps": []any{step(1, 1000, 400)}}
	for n := range 24 {
		s.submit(newID(), job, s.daemons[2*(n%2)])
	}
	time.Sleep(time.Second)
	var accepted []string
	for range 16 {
		if id := newID(); s.submit(id, job, s.daemons[1]) {
			accepted = append(accepted, id)
		}
	}
	time.Sleep(5500 * time.Millisecond)
	if trouble {
		s.daemons[1].signal(syscall.SIGKILL)
		time.AfterFunc(time.Second, func() { _ = s.daemons[1].start() })
	}
	low := 0
	asked := 0
	for range 60 {
		for _, d := range []*daemon{s.daemons[0], s.daemons[2]} {
			status, body := d.call(context.Background(), http.MethodGet, "", nil, 2*time.Second)
			waiting := s.waiting(accepted) // those that began before or during the call don't count
			n, ok := body["pending"].(float64)
			asked++
			if status == http.StatusOK && ok && waiting >= 4 && 2*int(n) < waiting {
				low++
				if low <= 2 {
					v.add("MIXED: %s gave pending %d while %d jobs that were accepted over 5 s before had not begun", d.name, int(n), waiting)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if low > 2 {
		v.add("MIXED: so in %d of %d answers", low, asked)
	}
	return v, nil
}

// waiting counts the jobs of which no task has started.
func (s *system) waiting(jobs []string) (n int) {
	started := make(map[string]bool)
	for _, e := range s.witness.all() {
		if e.what == "start" {
			started[jobOf(e.task)] = true
		}
	}
	for _, id := range jobs {
		if !started[id] {
			n++
		}
	}
	return n
}

// restartAndRemoval restarts two of the three daemons in turn and then removes the third, which owns a job of
// ten steps of 7 s.
func restartAndRemoval(s *system, trouble bool) (v verdict, err error) {
	if err := s.start(threeZones, zoneWorkers(64000), nil); err != nil {
		return v, err
	}
	const steps, length = 10, 7000
	list := []any{step(1, 2000, length)}
	for n := range steps - 1 {
		list = append(list, step(1, 2000, length, n))
	}
	id := newID()
	if !s.submit(id, map[string]any{"spec": spec(length, 2000), "steps": list}, s.daemons[0]) {
		return v, fmt.Errorf("the job wasn't accepted")
	}
	time.Sleep(2 * time.Second)
	for _, d := range s.daemons[1:] {
		if trouble {
			d.signal(syscall.SIGTERM)
			if err := d.start(); err != nil {
				return v, err
			}
			if err := d.waitReady(); err != nil {
				return v, err
			}
		}
		time.Sleep(5 * time.Second)
	}
	if trouble {
		s.daemons[0].signal(syscall.SIGTERM)
	}
	time.Sleep(4 * time.Second)
	// All has been calm for 4 s.
	idleSince := s.record.now()
	for end := s.record.now() + 28*time.Second; s.record.now() < end; time.Sleep(10 * time.Millisecond) {
		running, ended := s.atWork()
		if running[id] > 0 || ended[id] == steps {
			idleSince = s.record.now()
		}
		if s.record.now()-idleSince > 3*time.Second {
			status, state := s.daemons[1].call(context.Background(), http.MethodGet, id, nil, 2*time.Second)
			v.add("LOST: job %s has had nothing running for 3 s (since %.2f) with the workers free; it is shown as %d %v", id, idleSince.Seconds(), status, state)
			break
		}
	}
	for end := s.record.now() + 40*time.Second; len(v.broken) > 0 && s.record.now() < end; time.Sleep(10 * time.Millisecond) {
		if running, _ := s.atWork(); running[id] > 0 {
			s.record.write("check", "a task of the job runs again after %.1f s", (s.record.now() - idleSince).Seconds())
			break
		}
	}
	return v, nil
}

// atWork returns how many tasks of each job are at work, and how many have ended done.
func (s *system) atWork() (running, ended map[string]int) {
	running, ended = make(map[string]int), make(map[string]int)
	for _, e := range s.witness.all() {
		id := jobOf(e.task)
		switch e.what {
		case "start":
			running[id]++
		case "done":
			running[id]--
			ended[id]++
		case "failed", "stopped", "lapsed":
			running[id]--
		}
	}
	return running, ended
}
