//go:build review

package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["partition"] = partition }

func partition(s *system, trouble bool) (breaches []string) {
	var mu sync.Mutex
	var jobs []*soakJob
	end := time.Now().Add(45 * time.Second)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			for time.Now().Before(end) {
				j := &soakJob{id: newID(), durable: true, steps: []int{2}, attempts: 4, shownFirst: make(map[string]time.Duration)}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				first := rand.IntN(5)
				if ok, _ := s.submit(first, j.id, jobBody(2, 900*time.Millisecond, false)); !ok {
					s.log.add(event{kind: "refused"})
					time.Sleep(300 * time.Millisecond)
					continue
				}
				j.accepted = s.log.now()
				for time.Now().Before(end) && j.state != "completed" {
					time.Sleep(300 * time.Millisecond)
					s.look(j, rand.IntN(5))
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		s.log.note("cut")
		s.daemons[5].peers.setCut(true)
	}
	for range 35 {
		time.Sleep(time.Second)
		mu.Lock()
		n, open := 0, 0
		var oldest time.Duration
		for _, j := range jobs {
			if j.shownDone > 0 && j.shownDone > s.log.now()-time.Second {
				n++
			}
			if j.accepted > 0 && j.shownDone == 0 {
				open++
				oldest = max(oldest, s.log.now()-j.accepted)
			}
		}
		s.log.note("completed in the last second: %d, open: %d, oldest %s", n, open, oldest)
		mu.Unlock()
	}
	wg.Wait()
	return s.judge(jobs)
}
