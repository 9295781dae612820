//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["lost"] = machineIsTurnedAwayAndCutOff }

// finish is finish_s.
const finish = 14 * time.Second

// machineIsTurnedAwayAndCutOff: the store turns one machine away for 9 s, and for the first 3 s of them this
// machine is cut off from the other machines too. Callers keep submitting durable jobs of some seconds.
// finish_s after the end of the traffic all accepted jobs are asked for.
func machineIsTurnedAwayAndCutOff(s *system, trouble bool) (breaches []string) {
	const (
		callers    = 24
		turnedAway = 9 * time.Second
		cutOff     = 3 * time.Second
		after      = 12 * time.Second
	)
	var mu sync.Mutex
	var jobs []*soakJob
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				j := &soakJob{id: newID(), durable: true, steps: []int{2}, shownFirst: make(map[string]time.Duration)}
				if ok, _ := s.submit(c+n, j.id, jobBody(2, 5*time.Second, false)); ok {
					j.accepted = s.log.now()
					mu.Lock()
					jobs = append(jobs, j)
					mu.Unlock()
				}
				time.Sleep(3*time.Second + time.Duration(rand.IntN(2000))*time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	d := s.daemons[1]
	if trouble {
		s.log.note("the store turns %s away, and it is cut off from the other machines", d.name)
		d.store.mode.Store(modeBusy)
		d.peers.setCut(true)
	}
	time.Sleep(cutOff)
	if trouble {
		s.log.note("%s is connected with the other machines again", d.name)
		d.peers.setCut(false)
	}
	time.Sleep(turnedAway - cutOff)
	if trouble {
		s.log.note("the store serves %s again", d.name)
		d.store.mode.Store(modeSound)
	}
	time.Sleep(after)
	close(stop)
	wg.Wait()
	s.log.note("the traffic has ended: %d jobs were accepted", len(jobs))
	time.Sleep(finish)
	ask := func() {
		parallel(8, func(k int) {
			for i := k; i < len(jobs); i += 8 {
				if !final(jobs[i].state) {
					s.look(jobs[i], i)
				}
			}
		})
	}
	ask()
	from := s.log.now()
	time.Sleep(4 * time.Second)
	ask()
	for _, j := range jobs {
		if final(j.state) {
			continue
		}
		if j.state == "" || j.state == "gone" {
			breaches = append(breaches, fmt.Sprintf("LOST: %s, accepted at %.1f s, isn't known or gets no answer", j.id, j.accepted.Seconds()))
		} else if n := s.runningSince(j.id, from); n == 0 {
			breaches = append(breaches, fmt.Sprintf("LOST: %s, accepted at %.1f s, is %s, and for 4 s nothing of it has run; the last that ran: %s", j.id, j.accepted.Seconds(), j.state, s.lastRun(j.id)))
		}
	}
	return breaches
}

func final(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// runningSince counts the runs of a job that were at work at any time since the given one.
func (s *system) runningSince(job string, from time.Duration) (n int) {
	running := make(map[string]bool)
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	for _, e := range s.log.events {
		if e.kind != "start" && e.kind != "end" || e.job() != job {
			continue
		}
		key := fmt.Sprintf("%s/%d/%s", e.task, e.run, e.where)
		if e.kind == "start" {
			running[key] = true
		} else {
			delete(running, key)
		}
		if e.at >= from {
			n++
		}
	}
	return n + len(running)
}

// lastRun describes the last event of the job's runs.
func (s *system) lastRun(job string) (last string) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	for _, e := range s.log.events {
		if (e.kind == "start" || e.kind == "end" || e.kind == "noted") && e.job() == job {
			last = fmt.Sprintf("%.1f s %s %s run %d at %s %s", e.at.Seconds(), e.kind, e.task, e.run, e.where, e.detail)
		}
	}
	return last
}
