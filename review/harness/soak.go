//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = soak }

type soakJob struct {
	id         string
	durable    bool
	steps      []int // tasks of each step; each step is after the one before
	attempts   int
	accepted   time.Duration
	rejected   int
	unclear    int
	cancelAt   time.Duration
	cancelled  time.Duration
	state      string
	shownDone  time.Duration
	shownFirst map[string]time.Duration
}

// soak plays random faults with durable and best-effort jobs, and checks the rules for jobs.
func soak(s *system, trouble bool) (breaches []string) {
	seconds := 50
	if n, err := strconv.Atoi(os.Getenv("SECONDS_OF_FAULTS")); err == nil {
		seconds = n
	}
	var mu sync.Mutex
	var jobs []*soakJob
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	if trouble {
		go s.faults(end.Add(-5 * time.Second))
	}
	var wg sync.WaitGroup
	for c := range 24 {
		wg.Go(func() {
			for time.Now().Before(end) {
				j := newSoakJob(c%3 != 0)
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				s.play(j, c)
				time.Sleep(time.Duration(rand.IntN(700)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	s.log.note("traffic ended")
	for _, d := range s.daemons {
		s.awaitReady(d)
	}
	settle := time.Now().Add(30 * time.Second)
	for time.Now().Before(settle) {
		open := 0
		parallel(8, func(k int) {
			for i, j := range jobs {
				if i%8 != k || !j.durable || j.accepted == 0 || j.state == "completed" || j.state == "failed" || j.state == "cancelled" {
					continue
				}
				s.look(j, i)
			}
		})
		for _, j := range jobs {
			if j.durable && j.accepted > 0 && j.state != "completed" && j.state != "failed" && j.state != "cancelled" {
				open++
			}
		}
		if open == 0 {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	return s.judge(jobs)
}

func newSoakJob(durable bool) *soakJob {
	j := &soakJob{id: newID(), durable: durable, attempts: 4, shownFirst: make(map[string]time.Duration)}
	for range 1 + rand.IntN(3) {
		j.steps = append(j.steps, 1+rand.IntN(5))
	}
	return j
}

func (j *soakJob) body() string {
	lengths := []int{60, 200, 200, 900, 2500}
	length := lengths[rand.IntN(len(lengths))]
	var steps []map[string]any
	for i, n := range j.steps {
		st := map[string]any{"count": n, "cpu": taskCPU, "mem-mb": 64, "estimate-ms": max(50, length+rand.IntN(100)-50)}
		if i > 0 {
			st["after"] = []int{i - 1}
		}
		steps = append(steps, st)
	}
	body := map[string]any{"spec": fmt.Sprintf("cpu=%d ms=%d fail=%d", taskCPU, length, []int{0, 0, 5, 30}[rand.IntN(4)]), "steps": steps}
	if !j.durable {
		body["best-effort"] = true
	}
	b, _ := json.Marshal(body)
	return string(b)
}

func (s *system) play(j *soakJob, c int) {
	body := j.body()
	first := rand.IntN(len(s.daemons))
	for i := range 5 {
		status, text := s.call(s.daemons[(first+i)%len(s.daemons)], http.MethodPost, j.id, body, 4*time.Second)
		switch {
		case status/100 == 2:
			j.accepted = s.log.now()
			if !j.durable {
				j.state = stateOf(text)
				j.shownDone = j.accepted
				return
			}
		case status == 429 || status == 503 || status == 404:
			j.rejected++
			return
		default:
			j.unclear++
			if j.durable {
				time.Sleep(200 * time.Millisecond)
			} else {
				time.Sleep(1300 * time.Millisecond)
			}
			continue
		}
		break
	}
	if j.accepted == 0 {
		return
	}
	if rand.IntN(10) == 0 { // again, seconds after the answer
		go func() {
			time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
			s.call(s.daemons[rand.IntN(6)], http.MethodPost, j.id, body, 4*time.Second)
		}()
	}
	if rand.IntN(8) == 0 {
		time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
		j.cancelAt = s.log.now()
		for range 6 {
			status, _ := s.call(s.daemons[rand.IntN(6)], http.MethodDelete, j.id, "", 2*time.Second)
			if status/100 == 2 || status == http.StatusGone {
				j.cancelled = s.log.now()
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		return
	}
	for range 6 {
		time.Sleep(time.Duration(100+rand.IntN(900)) * time.Millisecond)
		if s.look(j, rand.IntN(6)); j.state == "completed" || j.state == "failed" {
			return
		}
	}
}

// look asks for the state of a job.
func (s *system) look(j *soakJob, i int) {
	asked := s.log.now()
	status, text := s.call(s.daemons[i%len(s.daemons)], http.MethodGet, j.id, "", 2*time.Second)
	state := stateOf(text)
	if status == http.StatusGone {
		state = "gone"
	}
	if status != http.StatusOK && status != http.StatusGone {
		return
	}
	if state == "gone" && asked < j.accepted+visible {
		return
	}
	j.state = state
	if j.shownFirst[state] == 0 {
		j.shownFirst[state] = s.log.now()
	}
	if state == "completed" && j.shownDone == 0 {
		j.shownDone = s.log.now()
	}
}

func stateOf(text string) string {
	var a struct{ State string }
	_ = json.Unmarshal([]byte(text), &a)
	return a.State
}

// faults plays random faults until a time, and lifts them.
func (s *system) faults(until time.Time) {
	var wg sync.WaitGroup
	busy := make([]sync.Mutex, len(s.daemons))
	for time.Now().Before(until) {
		kind := rand.IntN(17)
		if only := os.Getenv("FAULTS"); only != "" {
			list := strings.Split(only, ",")
			kind, _ = strconv.Atoi(list[rand.IntN(len(list))])
		}
		i := rand.IntN(len(s.daemons))
		d := s.daemons[i]
		length := time.Duration(500+rand.IntN(4500)) * time.Millisecond
		ws := s.workers[:0:0]
		for _, w := range s.workers {
			if rand.IntN(6) == 0 {
				ws = append(ws, w)
			}
		}
		wg.Go(func() {
			if kind <= 3 {
				if !busy[i].TryLock() {
					return
				}
				defer busy[i].Unlock()
			}
			s.log.note("fault %d %s %s workers=%d", kind, d.name, length, len(ws))
			switch kind {
			case 0: // kill, restarted at once
				s.kill(d)
				time.Sleep(300 * time.Millisecond)
				s.writeSettings(d, false)
				s.startDaemon(d)
				s.awaitReady(d)
			case 1: // loss of power
				s.kill(d)
				time.Sleep(length)
				s.writeSettings(d, false)
				s.startDaemon(d)
				s.awaitReady(d)
			case 2: // frozen
				_ = d.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(length)
				_ = d.cmd.Process.Signal(syscall.SIGCONT)
			case 3: // planned stop
				s.terminate(d)
				time.Sleep(300 * time.Millisecond)
				s.writeSettings(d, false)
				s.startDaemon(d)
				s.awaitReady(d)
			case 4: // the store loses answers
				s.loseWrites(350)
				time.Sleep(length)
				s.loseWrites(0)
			case 5: // the store does writes late
				for _, d := range s.daemons {
					d.store.lateWrites.Store(300)
				}
				time.Sleep(length)
				for _, d := range s.daemons {
					d.store.lateWrites.Store(0)
				}
			case 6: // one machine has no path to the store
				d.store.mode.Store(int64(1 + rand.IntN(2)))
				time.Sleep(length)
				d.store.mode.Store(modeSound)
			case 7: // the store is down or slow
				mode := int64(1 + rand.IntN(3))
				for _, d := range s.daemons {
					d.store.mode.Store(mode)
				}
				time.Sleep(length)
				for _, d := range s.daemons {
					d.store.mode.Store(modeSound)
				}
			case 8: // one machine is cut off from the others
				d.peers.setCut(true)
				time.Sleep(length)
				d.peers.setCut(false)
			case 9: // workers are cut off and run on
				for _, w := range ws {
					w.mu.Lock()
					w.cutUntil = time.Now().Add(length)
					w.mu.Unlock()
				}
			case 10: // orders are carried out late
				s.eachWorker(func(w *workerStandIn) { w.lateShare = 55 })
				time.Sleep(length)
				s.eachWorker(func(w *workerStandIn) { w.lateShare = 0 })
			case 11: // answers of workers are lost
				s.eachWorker(func(w *workerStandIn) { w.lostShare = 100 })
				time.Sleep(length)
				s.eachWorker(func(w *workerStandIn) { w.lostShare = 0 })
			case 13: // half of the machines are cut off
				for _, d := range s.daemons[:3] {
					d.peers.setCut(true)
				}
				time.Sleep(length)
				for _, d := range s.daemons[:3] {
					d.peers.setCut(false)
				}
			case 14: // some workers crash and start again under their IDs
				for _, w := range ws[:min(len(ws), 4)] {
					w.restart()
					s.store.store.Put("servers/"+w.id, w.entry(2))
				}
			case 15: // all processes are killed
				parallel(len(s.daemons), func(i int) {
					if !busy[i].TryLock() {
						return
					}
					defer busy[i].Unlock()
					s.kill(s.daemons[i])
					time.Sleep(300 * time.Millisecond)
					s.writeSettings(s.daemons[i], false)
					s.startDaemon(s.daemons[i])
					s.awaitReady(s.daemons[i])
				})
			case 16: // the history of the store is dropped
				s.store.store.Compact()
			case 12: // tasks on some workers stand still
				for _, w := range ws {
					w.mu.Lock()
					w.stallUntil = time.Now().Add(length)
					w.mu.Unlock()
				}
			}
		})
		time.Sleep(time.Duration(300+rand.IntN(2500)) * time.Millisecond)
	}
	wg.Wait()
	s.log.note("faults ended")
}

func (s *system) eachWorker(f func(w *workerStandIn)) {
	for _, w := range s.workers {
		w.mu.Lock()
		f(w)
		w.mu.Unlock()
	}
}

// judge checks the rules on what the stand-ins have seen.
func (s *system) judge(jobs []*soakJob) (breaches []string) {
	bad := func(format string, args ...any) { breaches = append(breaches, fmt.Sprintf(format, args...)) }
	byID := make(map[string]*soakJob)
	for _, j := range jobs {
		byID[j.id] = j
	}
	noted := make(map[string]bool)
	for _, e := range s.log.of("noted") {
		noted[fmt.Sprintf("%s/%d/%s", e.task, e.run, e.where)] = true
	}
	s.log.mu.Lock()
	events := append([]event(nil), s.log.events...)
	s.log.mu.Unlock()
	running := make(map[string]string)
	done := make(map[string]event)
	notedDone := make(map[string]event)
	failed := make(map[string]int)
	notedFailed := make(map[string]int)
	started := make(map[string]bool)
	lastStart := make(map[string]event)
	for _, e := range events {
		key := fmt.Sprintf("%s/%d/%s", e.task, e.run, e.where)
		j := byID[e.job()]
		switch e.kind {
		case "start":
			started[e.job()] = true
			if j == nil {
				bad("UNASKED: start of unknown %s", e.task)
				continue
			}
			lastStart[e.task] = e
			if at := running[e.task]; at != "" {
				bad("TWICE: %s run %d starts at %s at %.3f while it runs at %s", e.task, e.run, e.where, e.at.Seconds(), at)
			}
			if d, ok := notedDone[e.task]; ok && j.durable {
				bad("TWICE: %s run %d starts at %s at %.3f after run %d ended done at %s at %.3f, taken note of", e.task, e.run, e.where, e.at.Seconds(), d.run, d.where, d.at.Seconds())
			}
			if j.durable && notedFailed[e.task] >= j.attempts {
				bad("BUDGET: %s run %d starts at %.3f after %d failed runs taken note of", e.task, e.run, e.at.Seconds(), notedFailed[e.task])
			}
			if j.shownDone > 0 && e.at > j.shownDone+time.Second {
				bad("TWICE: %s run %d starts at %.3f after its job was shown as completed at %.3f", e.task, e.run, e.at.Seconds(), j.shownDone.Seconds())
			}
			if j.cancelled > 0 && e.at > j.cancelled+cancelTime {
				bad("UNASKED: %s starts at %.3f, %.1f s after the ack of cancelling", e.task, e.at.Seconds(), (e.at - j.cancelled).Seconds())
			}
			var step int
			parts := strings.Split(e.task, ".")
			step, _ = strconv.Atoi(parts[2])
			if step > 0 {
				for i := range j.steps[step-1] {
					if _, ok := done[fmt.Sprintf("%s.0.%d.%d", j.id, step-1, i)]; !ok {
						bad("ORDER: %s starts at %.3f before task %d of step %d is done", e.task, e.at.Seconds(), i, step-1)
					}
				}
			}
			running[e.task] = e.where
		case "crash":
			for t, at := range running {
				if at == e.where {
					delete(running, t)
				}
			}
		case "end":
			if running[e.task] == e.where {
				delete(running, e.task)
			}
			switch e.detail {
			case "done":
				done[e.task] = e
				if noted[key] {
					notedDone[e.task] = e
				}
			case "failed":
				failed[e.task]++
				if noted[key] {
					notedFailed[e.task]++
				}
			}
		}
	}
	var counts = make(map[string]int)
	for _, j := range jobs {
		if j.accepted == 0 && j.rejected > 0 && j.unclear == 0 && started[j.id] {
			bad("REFUSED: %s was rejected and started", j.id)
		}
		if !j.durable || j.accepted == 0 {
			continue
		}
		counts[j.state]++
		all, cause := true, false
		for st, n := range j.steps {
			for i := range n {
				t := fmt.Sprintf("%s.0.%d.%d", j.id, st, i)
				if _, ok := done[t]; !ok {
					all = false
				}
				cause = cause || failed[t] >= j.attempts
			}
		}
		at := j.shownFirst["completed"]
		switch {
		case j.state == "gone" || j.shownFirst["gone"] > 0:
			bad("LOST: %s accepted at %.3f is answered 410", j.id, j.accepted.Seconds())
		case at > 0 && !all:
			bad("MIXED: %s is shown as completed and a task has not ended so", j.id)
		case j.state == "failed" && !cause:
			bad("LOST: %s is shown as failed without cause", j.id)
		case j.state == "cancelled" && j.cancelAt == 0:
			bad("LOST: %s is shown as cancelled and nobody cancelled it", j.id)
		case j.cancelAt == 0 && j.state != "completed" && j.state != "failed":
			bad("LOST: %s accepted at %.3f is %q at the end", j.id, j.accepted.Seconds(), j.state)
		}
	}
	s.log.note("%d jobs, durable by last state: %v", len(jobs), counts)
	return breaches
}
