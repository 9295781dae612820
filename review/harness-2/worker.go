//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runEvent is one thing that happened to a run on a worker.
type runEvent struct {
	at     time.Duration
	worker string
	task   string
	run    int64
	// what is start, done, stopped, lapsed or acked (taken note of before the lease has lapsed).
	what string
}

// witness holds what the workers have seen.
type witness struct {
	record *record
	mu     sync.Mutex
	events []runEvent
}

func (w *witness) note(worker, task string, run int64, what string) {
	e := runEvent{w.record.now(), worker, task, run, what}
	w.mu.Lock()
	w.events = append(w.events, e)
	w.mu.Unlock()
	w.record.write(worker, "%s %s run %d", what, task, run)
}

func (w *witness) all() []runEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]runEvent(nil), w.events...)
}

// overlaps returns the pairs of runs of one task that were at work at the same time.
func (w *witness) overlaps(until time.Duration) (list []string) {
	type span struct {
		runEvent
		end time.Duration
	}
	byTask := make(map[string][]span)
	for _, e := range w.all() {
		spans := byTask[e.task]
		switch e.what {
		case "start":
			byTask[e.task] = append(spans, span{e, until})
		case "done", "failed", "stopped", "lapsed":
			for i := range spans {
				if spans[i].worker == e.worker && spans[i].run == e.run && spans[i].end == until {
					spans[i].end = e.at
				}
			}
		}
	}
	for task, spans := range byTask {
		for i, a := range spans {
			for _, b := range spans[i+1:] {
				if from, to := max(a.at, b.at), min(a.end, b.end); to-from > 100*time.Millisecond {
					list = append(list, fmt.Sprintf("task %s ran twice at the same time for %.2f s: run %d on %s (%.2f to %.2f) and run %d on %s (%.2f to %.2f)",
						task, (to-from).Seconds(), a.run, a.worker, a.at.Seconds(), a.end.Seconds(), b.run, b.worker, b.at.Seconds(), b.end.Seconds()))
				}
			}
		}
	}
	sort.Strings(list)
	return list
}

type workerRun struct {
	task    string
	run     int64
	cpu     int64
	started time.Time
	length  time.Duration
	fails   bool
}

type finishedRun struct {
	number int64
	task   string
	run    int64
	how    string
	lapses int
}

// worker is a stand-in of one worker. The length and the processor demand of a task are in its spec
// ("ms=500 cpu=2000"). Each daemon reaches it at an address of its own, so that a link can be cut.
type worker struct {
	id, zone string
	cpu      int64
	witness  *witness
	// unguarded: the worker starts what it is told to start, whatever its capacity.
	unguarded bool
	// born is when the worker's clock was 0; life, if not 0, is the start of this life in ms since 1970.
	born time.Time
	life int64
	// fronts holds the worker's address for each daemon; cut tells which of them are cut off.
	fronts []string
	cut    []atomic.Bool
	// lateShare is the share in percent of the starts and stops that get no answer and are carried out 2 to
	// 12 s later, lostShare that of those that are carried out and not answered.
	lateShare, lostShare atomic.Int32

	mu       sync.Mutex
	token    uint64
	leaseEnd time.Time
	lapses   int
	lapsed   bool
	running  map[string]*workerRun
	ended    map[string]int64
	finished []finishedRun
	number   int64
	changed  chan struct{}
	// connections has a place for each connection that is open.
	connections chan struct{}
}

// maxConnections is how many connections a worker takes, from all daemons; others wait.
const maxConnections = 64

// limitedListener waits for a free place before it hands out a connection.
type limitedListener struct {
	net.Listener
	places chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.places <- struct{}{}
	return &limitedConn{Conn: c, places: l.places}, nil
}

// limitedConn frees its place when it is closed.
type limitedConn struct {
	net.Conn
	places chan struct{}
	once   sync.Once
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.places })
	return c.Conn.Close()
}

const maxHold = time.Second

func newWorker(id, zone, ip string, cpu int64, daemons int, w *witness) (*worker, error) {
	o := &worker{
		id: id, zone: zone, cpu: cpu, witness: w, born: time.Now().Add(-time.Minute), life: time.Now().Add(-time.Minute).UnixMilli(), cut: make([]atomic.Bool, daemons),
		running: make(map[string]*workerRun), ended: make(map[string]int64), changed: make(chan struct{}),
		connections: make(chan struct{}, maxConnections),
	}
	for i := range daemons {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		o.fronts = append(o.fronts, l.Addr().String())
		server := &http.Server{Handler: o.handler(i), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(&limitedListener{l, o.connections}) }()
	}
	go func() {
		for range time.Tick(2 * time.Millisecond) {
			o.mu.Lock()
			o.advance(time.Now())
			o.mu.Unlock()
		}
	}()
	return o, nil
}

// entry returns the worker's entry in the store.
func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return map[string]any{
		"born": w.life, "service": service, "address": w.fronts[0], "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"sequence": time.Now().Unix(), "capacity": map[string]any{"cpu": w.cpu, "mem-mb": 262144, "gpus": 0}, "labels": []string{"a", "r1-" + w.id},
	}
}

func (w *worker) handler(daemon int) http.Handler {
	mux := http.NewServeMux()
	for path, f := range map[string]func(o order) (int, map[string]any){"run-start": w.start, "run-stop": w.stop} {
		mux.HandleFunc("POST /lavendercleat/"+path, func(rw http.ResponseWriter, r *http.Request) {
			o, ok := w.accept(daemon, rw, r)
			if !ok {
				return
			}
			carryOut := func() (int, map[string]any) {
				w.mu.Lock()
				defer w.mu.Unlock()
				status, body := f(o)
				body["clock-ms"], body["born"] = w.clock(), w.life
				return status, body
			}
			if draw := rand.Int32N(100); draw < w.lateShare.Load() {
				time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() { carryOut() })
				<-r.Context().Done()
			} else if status, body := carryOut(); draw < w.lateShare.Load()+w.lostShare.Load() {
				<-r.Context().Done()
			} else {
				w.reply(daemon, rw, r, status, body)
			}
		})
	}
	mux.HandleFunc("POST /lavendercleat/hold", func(rw http.ResponseWriter, r *http.Request) {
		if o, ok := w.accept(daemon, rw, r); ok {
			w.hold(daemon, o, rw, r)
		}
	})
	return mux
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline-ms"`
	Token      uint64 `json:"fencing-token"`
	Ack        int64  `json:"ack-cursor"`
	WaitMS     int64  `json:"wait-ms"`
}

// accept reads an order, unless the link is cut: then it says nothing until the caller leaves.
func (w *worker) accept(daemon int, rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	err := json.NewDecoder(r.Body).Decode(&o)
	switch {
	case w.cut[daemon].Load():
		<-r.Context().Done()
	case err != nil:
		rw.WriteHeader(http.StatusBadRequest)
	case r.Header.Get("Target-Instance") != w.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
	default:
		return o, true
	}
	return o, false
}

func (w *worker) reply(daemon int, rw http.ResponseWriter, r *http.Request, status int, body map[string]any) {
	if w.cut[daemon].Load() {
		<-r.Context().Done()
		return
	}
	answer(rw, status, body)
}

// clock is the worker's clock in ms. The caller holds the lock.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// advance ends what is due. The caller holds the lock.
func (w *worker) advance(now time.Time) {
	if now.After(w.leaseEnd) && !w.lapsed {
		w.lapses++
	}
	w.lapsed = now.After(w.leaseEnd)
	for _, r := range w.running {
		switch {
		case w.lapsed:
			w.end(r, "lapsed")
		case now.Sub(r.started) >= r.length && r.fails:
			w.end(r, "failed")
		case now.Sub(r.started) >= r.length:
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *workerRun, how string) {
	delete(w.running, r.task)
	w.witness.note(w.id, r.task, r.run, how)
	w.ended[r.task] = max(w.ended[r.task], r.run)
	w.number++
	w.finished = append(w.finished, finishedRun{w.number, r.task, r.run, how, w.lapses})
	close(w.changed)
	w.changed = make(chan struct{})
}

// obey takes an order's token and deadline; false if the worker obeys a higher token.
func (w *worker) obey(o order) bool {
	if o.Token < w.token {
		return false
	}
	w.advance(time.Now())
	w.token = o.Token
	end := w.born.Add(time.Duration(o.DeadlineMS) * time.Millisecond)
	if limit := time.Now().Add(maxHold); end.After(limit) {
		end = limit
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
		w.lapsed = w.lapsed && !time.Now().Before(end)
	}
	return true
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) start(o order) (int, map[string]any) {
	if !w.obey(o) {
		return refused("fence")
	}
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	var ms, cpu, used, failing int64
	if n, _ := fmt.Sscanf(o.Spec, "ms=%d cpu=%d failing=%d", &ms, &cpu, &failing); n < 2 {
		return http.StatusBadRequest, map[string]any{}
	}
	for _, r := range w.running {
		used += r.cpu
	}
	switch {
	case o.DeadlineMS < w.clock():
		return refused("late")
	case o.Run <= w.ended[o.Task] || w.running[o.Task] != nil:
		return refused("old")
	case used+cpu > w.cpu && !w.unguarded:
		return refused("room")
	case used+cpu > w.cpu:
		w.witness.note(w.id, o.Task, o.Run, "overload")
	}
	w.running[o.Task] = &workerRun{o.Task, o.Run, cpu, time.Now(), time.Duration(ms) * time.Millisecond, rand.Int64N(100) < failing}
	w.witness.note(w.id, o.Task, o.Run, "start")
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(o order) (int, map[string]any) {
	if !w.obey(o) {
		return refused("fence")
	}
	if r := w.running[o.Task]; r != nil && r.run <= o.Run {
		w.end(r, "stopped")
	}
	w.ended[o.Task] = max(w.ended[o.Task], o.Run)
	return http.StatusOK, map[string]any{}
}

const finishedLimit = 500

func (w *worker) hold(daemon int, o order, rw http.ResponseWriter, r *http.Request) {
	limit := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for ended := o.WaitMS == 0; ; {
		w.mu.Lock()
		if !w.obey(o) {
			status, body := refused("fence")
			body["clock-ms"] = w.clock()
			w.mu.Unlock()
			w.reply(daemon, rw, r, status, body)
			return
		}
		w.acknowledge(o.Ack)
		body, some, changed := w.lists(), len(w.finished) > 0, w.changed
		w.mu.Unlock()
		if some || ended {
			w.reply(daemon, rw, r, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-limit:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// acknowledge forgets ends. One is taken note of unless the lease has lapsed since the end.
func (w *worker) acknowledge(n int64) {
	for len(w.finished) > 0 && w.finished[0].number <= n {
		if f := w.finished[0]; f.lapses == w.lapses {
			w.witness.note(w.id, f.task, f.run, "acked "+f.how)
		}
		w.finished = w.finished[1:]
	}
}

func (w *worker) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := min(99, int(100*time.Since(r.started)/max(r.length, time.Millisecond)))
		running = append(running, []any{r.task, r.run, "", percent, r.cpu})
	}
	for _, f := range w.finished[:min(len(w.finished), finishedLimit)] {
		finished = append(finished, []any{f.number, f.task, f.run, f.how, ""})
	}
	return map[string]any{"clock-ms": w.clock(), "born": w.life, "running": running, "finished": finished}
}

// crash ends the worker's life. It starts again under its id and knows nothing of before.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		w.witness.note(w.id, r.task, r.run, "lapsed")
	}
	clear(w.running)
	clear(w.ended)
	w.finished, w.number, w.token, w.leaseEnd, w.lapses = nil, 0, 0, time.Time{}, w.lapses+1
	w.born, w.life = time.Now(), time.Now().UnixMilli()
}

// unacknowledged returns how many ends the worker lists.
func (w *worker) unacknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.finished)
}

func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }
