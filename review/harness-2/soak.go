//go:build review

package main

import (
	"context"
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

// soakJob is a job of the soak and what its client knows of it.
type soakJob struct {
	id         string
	steps      []int // the number of tasks of each step; each follows the one before
	acceptedAt time.Duration
	rejected   bool // all attempts were rejected
	canceledAt time.Duration
	cancelSent bool
}

// soak plays random trouble over kept jobs: of the kinds in KINDS (separated by commas), drawn by SEED, LONG
// times as long as usual. It looks for faults; it is no case.
func soak(s *system, trouble bool) (v verdict, err error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	long, _ := strconv.Atoi(os.Getenv("LONG"))
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	r := rand.New(rand.NewPCG(seed, 1))
	zones := []string{"krk-a", "krk-a", "krk-b", "krk-b", "kat-c"}
	var workers []workerSpec
	for i := range 6 {
		workers = append(workers, workerSpec{fmt.Sprintf("w%d", i), threeZones[i%3], 16000})
	}
	if err := s.start(zones, workers, map[string]any{"target-latency-ms": 3000}); err != nil {
		return v, err
	}
	failing, apart := 0, os.Getenv("APART") != ""
	if os.Getenv("FAILING") != "" {
		failing = 15
	}
	for _, w := range s.workers {
		w.unguarded = os.Getenv("UNGUARDED") != ""
	}
	var mu sync.Mutex
	var jobs []*soakJob
	var wg sync.WaitGroup
	stop := time.Now().Add(65 * time.Second)
	alive := make([]bool, len(zones))
	for i := range alive {
		alive[i] = true
	}
	clients, _ := strconv.Atoi(os.Getenv("CLIENTS"))
	clients = max(clients, 4)
	for range clients {
		wg.Go(func() {
			for time.Now().Before(stop) {
				j := &soakJob{id: newID(), rejected: true}
				ms := []int{60, 200, 200, 900, 900, 3000}[rand.IntN(6)]
				var steps []any
				for n := range 1 + rand.IntN(3) {
					j.steps = append(j.steps, 1+rand.IntN(4))
					if n == 0 {
						steps = append(steps, step(j.steps[n], 2000, ms))
					} else {
						steps = append(steps, step(j.steps[n], 2000, ms, n-1))
					}
				}
				if apart {
					for _, st := range steps {
						st.(map[string]any)["anti-affinity"] = 1
					}
				}
				job := map[string]any{"spec": fmt.Sprintf("%s failing=%d", spec(ms*(50+rand.IntN(100))/100, 2000), failing), "steps": steps}
				best := os.Getenv("BEST") != ""
				if best {
					job["best-effort"] = true
				}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				for range 5 {
					status, _ := s.daemons[rand.IntN(len(s.daemons))].call(context.Background(), http.MethodPost, j.id, job, 3*time.Second)
					mu.Lock()
					j.rejected = j.rejected && (status == 503 || status == 429)
					if status/100 == 2 && !best {
						j.acceptedAt = s.record.now()
					}
					mu.Unlock()
					if status/100 == 2 || status == 503 || status == 429 {
						break
					}
					time.Sleep(1300 * time.Millisecond)
				}
				if j.acceptedAt > 0 && rand.IntN(5) == 0 {
					time.Sleep(rand.N(2 * time.Second))
					mu.Lock()
					j.cancelSent = true
					mu.Unlock()
					for range 10 {
						status, _ := s.daemons[rand.IntN(len(s.daemons))].call(context.Background(), http.MethodDelete, j.id, nil, 2*time.Second)
						if status/100 == 2 || status == http.StatusGone {
							mu.Lock()
							j.canceledAt = s.record.now()
							mu.Unlock()
							break
						}
						time.Sleep(500 * time.Millisecond)
					}
				}
				time.Sleep(rand.N(1500 * time.Millisecond))
			}
		})
	}
	for time.Now().Before(stop.Add(-6 * time.Second)) {
		time.Sleep(time.Duration(500+r.IntN(3000)) * time.Millisecond)
		d := s.daemons[r.IntN(len(s.daemons))]
		w := s.workers[r.IntN(len(s.workers))]
		for_ := time.Duration(500+r.IntN(5500)) * time.Millisecond
		for_ *= time.Duration(max(long, 1))
		switch kind := kinds[r.IntN(len(kinds))]; kind {
		case "kill", "term":
			sig := syscall.SIGKILL
			if kind == "term" {
				sig = syscall.SIGTERM
			}
			d.signal(sig)
			time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
			if err := d.start(); err != nil {
				return v, err
			}
		case "herd":
			for _, d := range s.daemons {
				wg.Go(func() {
					d.signal(syscall.SIGKILL)
					time.Sleep(800 * time.Millisecond)
					_ = d.start()
				})
			}
			time.Sleep(2 * time.Second)
		case "freeze":
			d.signal(syscall.SIGSTOP)
			time.Sleep(for_)
			d.signal(syscall.SIGCONT)
		case "zone":
			z := threeZones[r.IntN(3)]
			s.setZoneCut(z, true)
			time.Sleep(for_)
			s.setZoneCut(z, false)
		case "cut":
			s.record.write("trouble", "%s cut off from the other daemons", d.name)
			for i, o := range s.daemons {
				if o != d {
					d.link.setCut(i, true)
					o.link.setCut(d.index, true)
				}
			}
			time.Sleep(for_)
			for i, o := range s.daemons {
				d.link.setCut(i, false)
				o.link.setCut(d.index, false)
			}
			s.record.write("trouble", "%s is back", d.name)
		case "silent", "busy", "lost", "late":
			f := map[string]storeFault{"silent": silent, "busy": busy, "lost": lost, "late": late}[kind]
			some := s.daemons
			if r.IntN(2) == 0 {
				some = []*daemon{d}
			}
			s.record.write("trouble", "store %s for %d daemons (%s) %s", kind, len(some), d.name, for_)
			for _, d := range some {
				d.store.fault.Store(int32(f))
			}
			time.Sleep(for_)
			for _, d := range some {
				d.store.fault.Store(int32(noFault))
			}
		case "orders":
			s.record.write("trouble", "%s carries orders out late", w.id)
			w.lateShare.Store(30)
			time.Sleep(for_)
			w.lateShare.Store(0)
		case "answers":
			s.record.write("trouble", "%s loses answers", w.id)
			w.lostShare.Store(30)
			time.Sleep(for_)
			w.lostShare.Store(0)
		case "outage":
			s.record.write("trouble", "store down for all, the workers' entries end; %s", for_)
			for _, d := range s.daemons {
				d.store.fault.Store(int32(silent))
			}
			s.store.absent.Store(true)
			s.store.mu.Lock()
			for _, w := range s.workers {
				s.store.revision++
				s.store.apply(item{Key: "servers/" + w.id, Tombstone: true})
			}
			s.store.mu.Unlock()
			time.Sleep(for_)
			for _, d := range s.daemons {
				d.store.fault.Store(int32(noFault))
			}
			time.Sleep(rand.N(1900 * time.Millisecond))
			s.store.absent.Store(false)
			for _, w := range s.workers {
				s.store.put("servers/"+w.id, w.entry())
			}
			s.record.write("trouble", "store up")
		case "slow":
			// A fifth of the time, at most: the next trouble may come meanwhile.
			s.record.write("trouble", "%s is slow for %s", d.name, for_)
			go d.slow(for_)
		case "crash":
			s.record.write("trouble", "%s crashes", w.id)
			w.crash()
		case "wcut":
			s.record.write("trouble", "%s cut off from all", w.id)
			for i := range w.cut {
				w.cut[i].Store(true)
			}
			time.Sleep(for_)
			for i := range w.cut {
				w.cut[i].Store(false)
			}
		}
	}
	wg.Wait()
	s.record.write("trouble", "calm")
	s.awaitEnds(jobs, 25*time.Second)
	s.checkSoak(&v, jobs)
	return v, nil
}

// slow lets the daemon's process run for a fifth of the time.
func (d *daemon) slow(for_ time.Duration) {
	d.mu.Lock()
	process := d.process.Process
	d.mu.Unlock()
	for end := time.Now().Add(for_); time.Now().Before(end); {
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(40 * time.Millisecond)
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *system) awaitEnds(jobs []*soakJob, limit time.Duration) {
	for end := s.record.now() + limit; s.record.now() < end; time.Sleep(200 * time.Millisecond) {
		open := 0
		done := s.doneTasks()
		for _, j := range jobs {
			if j.acceptedAt > 0 && !j.cancelSent && len(done[j.id]) < j.tasks() {
				open++
			}
		}
		if open == 0 {
			return
		}
	}
}

func (j *soakJob) tasks() (n int) {
	for _, c := range j.steps {
		n += c
	}
	return n
}

func (s *system) doneTasks() map[string]map[string]bool {
	out := make(map[string]map[string]bool)
	for _, e := range s.witness.all() {
		if e.what == "done" {
			id := jobOf(e.task)
			if out[id] == nil {
				out[id] = make(map[string]bool)
			}
			out[id][e.task] = true
		}
	}
	return out
}

func (s *system) checkSoak(v *verdict, jobs []*soakJob) {
	for _, o := range s.witness.overlaps(s.record.now()) {
		v.add("TWICE: %s", o)
	}
	for _, o := range s.witness.startsAfterEnd() {
		if os.Getenv("BEST") == "" {
			v.add("TWICE: %s", o)
		}
	}
	byID := make(map[string]*soakJob)
	accepted := 0
	for _, j := range jobs {
		byID[j.id] = j
		if j.acceptedAt == 0 {
			continue
		}
		accepted++
		for _, d := range s.daemons {
			status, body := d.call(context.Background(), http.MethodGet, j.id, nil, 2*time.Second)
			state, _ := body["state"].(string)
			done := s.doneTasks()
			switch {
			case status == http.StatusGone:
				v.add("LOST: job %s is answered with 410 at %s", j.id, d.name)
			case status != http.StatusOK:
				v.add("LOST: job %s is answered with %d at %s", j.id, status, d.name)
			case state == "completed" && len(done[j.id]) < j.tasks():
				v.add("MIXED: job %s is completed at %s, with %d of %d tasks", j.id, d.name, len(done[j.id]), j.tasks())
			case state == "failed" && os.Getenv("FAILING") != "":
			case state == "failed" || state == "cancelled" && !j.cancelSent:
				v.add("LOST: job %s is %s at %s", j.id, state, d.name)
			case state != "completed" && !j.cancelSent:
				if d == s.daemons[0] {
					v.add("LOST: job %s is %s at %s, %d of %d tasks done", j.id, state, d.name, len(done[j.id]), j.tasks())
				}
			case state != "completed" && state != "cancelled":
				v.add("state: cancelled job %s is %s at %s", j.id, state, d.name)
			}
		}
	}
	for _, e := range s.witness.all() {
		j := byID[jobOf(e.task)]
		if e.what == "start" && j == nil {
			v.add("UNASKED: %s", e.task)
			continue
		}
		if e.what == "start" && j.rejected {
			v.add("REFUSED: %s", e.task)
		}
		if e.what == "start" && j.canceledAt > 0 && e.at > j.canceledAt+3*time.Second {
			v.add("UNASKED: %s started %.2f s after its cancelling", e.task, (e.at - j.canceledAt).Seconds())
		}
		if e.what == "done" && j.canceledAt > 0 && e.at > j.canceledAt+3100*time.Millisecond {
			v.add("UNASKED: %s ran on until %.2f s after its cancelling", e.task, (e.at - j.canceledAt).Seconds())
		}
	}
	s.checkOrder(v, byID)
	s.checkRuns(v)
	s.record.write("check", "%d jobs, %d accepted", len(jobs), accepted)
	fmt.Println(len(jobs), "jobs,", accepted, "accepted")
}

// checkOrder checks that no task starts before all tasks of the step before have ended done.
func (s *system) checkOrder(v *verdict, byID map[string]*soakJob) {
	done := make(map[string]map[string]bool)
	for _, e := range s.witness.all() {
		parts := strings.Split(e.task, ".")
		if j := byID[parts[0]]; j != nil {
			n, _ := strconv.Atoi(parts[2])
			key := parts[0] + "." + parts[2]
			if e.what == "done" {
				if done[key] == nil {
					done[key] = make(map[string]bool)
				}
				done[key][e.task] = true
			}
			if e.what == "start" && n > 0 && len(done[parts[0]+"."+strconv.Itoa(n-1)]) < j.steps[n-1] {
				v.add("ORDER: %s", e.task)
			}
		}
	}
}

// checkRuns checks the attempts, the capacity of unguarded workers and anti-affinity.
func (s *system) checkRuns(v *verdict) {
	failed, acked := make(map[string]int), make(map[string]bool)
	events := s.witness.all()
	key := func(e runEvent) string { return fmt.Sprint(e.worker, e.task, e.run) }
	for _, e := range events {
		if e.what == "acked failed" {
			acked[key(e)] = true
		}
	}
	at := make(map[string]map[string]bool)
	for _, e := range events {
		step := e.worker + e.task[:strings.LastIndexByte(e.task, '.')]
		switch e.what {
		case "failed":
			delete(at[step], e.task)
			if acked[key(e)] {
				failed[e.task]++
			}
		case "done", "stopped", "lapsed":
			delete(at[step], e.task)
		case "overload":
			v.add("LIMIT: %s on %s", e.task, e.worker)
		case "start":
			if failed[e.task] >= 4 && os.Getenv("BEST") == "" {
				v.add("BUDGET: %s run %d", e.task, e.run)
			}
			if at[step] == nil {
				at[step] = make(map[string]bool)
			}
			at[step][e.task] = true
			if os.Getenv("APART") != "" && len(at[step]) > 1 {
				v.add("ROUTE: %d tasks of a step on %s: %v", len(at[step]), e.worker, at[step])
			}
		}
	}
}
