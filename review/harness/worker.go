//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxLease is max-hold-ms.
const maxLease = time.Second

// workerStandIn is a worker as PROTOCOL.md describes it: it guards its capacity, obeys the highest
// fencing token that it has seen, and kills everything when its lease expires. The spec of a task states
// what the task needs: "cpu=27000 ms=6000".
type workerStandIn struct {
	id, zone, service string
	cpu               int64
	listener          net.Listener
	log               *eventLog

	mu         sync.Mutex
	clockStart time.Time // also the start of this life
	token      uint64
	leaseEnd   int64
	running    map[string]*taskRun
	highest    map[string]int64
	ends       []runEnd
	lastNumber int64
	changed    chan struct{}
	lapses     int
	lapsed     bool
	// cutUntil: until then the worker's answers and orders to it are lost. lateShare and lostShare (in
	// thousandths) are the shares of starts and stops that get no answer and are carried out late, or at once.
	cutUntil             time.Time
	lateShare, lostShare int
	stallUntil           time.Time
	failTasks            bool
	slow                 int64
}

type taskRun struct {
	task      string
	run       int64
	cpu       int64
	startedAt int64
	lengthMS  int64
	fails     bool
	stalled   bool
}

type runEnd struct {
	number int64
	task   string
	run    int64
	how    string
	lapses int
}

type workerOrder struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline-ms"`
	Token      uint64 `json:"fencing-token"`
	Ack        int64  `json:"ack-cursor"`
	WaitMS     int64  `json:"wait-ms"`
}

func startWorker(id, zone, service, ip string, cpu int64, log *eventLog) *workerStandIn {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		cannotRun("worker: %v", err)
	}
	w := &workerStandIn{
		id: id, zone: zone, service: service, cpu: cpu, listener: l, log: log, clockStart: time.Now().Add(-time.Minute),
		running: make(map[string]*taskRun), highest: make(map[string]int64), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /lavendercleat/run-start", w.decode(w.start))
	mux.HandleFunc("POST /lavendercleat/run-stop", w.decode(w.stop))
	mux.HandleFunc("POST /lavendercleat/hold", w.decode(w.hold))
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for range time.Tick(2 * time.Millisecond) {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	return w
}

// entry is the worker's entry in the store.
func (w *workerStandIn) entry(sequence int) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "sequence": sequence, "born": w.clockStart.UnixMilli(),
		"capacity": map[string]any{"cpu": w.cpu, "mem-mb": 262144, "gpus": 0}, "labels": []string{"a", "r-" + w.zone},
	}
}

func (w *workerStandIn) clock() int64 { return time.Since(w.clockStart).Milliseconds() }

// advance ends the runs whose work is done, and all runs when the lease has expired.
func (w *workerStandIn) advance() {
	now := w.clock()
	expired := now > w.leaseEnd
	if expired && !w.lapsed {
		w.lapses++
	}
	w.lapsed = expired
	for _, r := range w.running {
		switch {
		case expired:
			w.end(r, "lapsed")
		case r.stalled:
		case now >= r.startedAt+r.lengthMS && r.fails:
			w.end(r, "failed")
		case now >= r.startedAt+r.lengthMS:
			w.end(r, "done")
		}
	}
}

func (w *workerStandIn) end(r *taskRun, how string) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastNumber++
	w.ends = append(w.ends, runEnd{w.lastNumber, r.task, r.run, how, w.lapses})
	close(w.changed)
	w.changed = make(chan struct{})
	w.log.add(event{kind: "end", task: r.task, run: r.run, where: w.id, detail: how})
}

func (w *workerStandIn) decode(h func(workerOrder, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o workerOrder
		switch {
		case r.Header.Get("Target-Instance") != w.id:
			rw.WriteHeader(http.StatusMisdirectedRequest)
		case json.NewDecoder(r.Body).Decode(&o) != nil:
			rw.WriteHeader(http.StatusBadRequest)
		default:
			w.mu.Lock()
			cut := time.Now().Before(w.cutUntil)
			draw, late, lost := rand.IntN(1000), w.lateShare, w.lostShare
			w.mu.Unlock()
			order := strings.HasSuffix(r.URL.Path, "run-start") || strings.HasSuffix(r.URL.Path, "run-stop")
			switch {
			case cut:
				<-r.Context().Done()
			case order && draw < late:
				w.log.add(event{kind: "late-order", task: o.Task, run: o.Run, where: w.id, detail: r.URL.Path})
				time.AfterFunc(2*time.Second+time.Duration(rand.IntN(10000))*time.Millisecond, func() { h(o, httptest.NewRecorder(), r) })
				<-r.Context().Done()
			case order && draw < late+lost:
				w.log.add(event{kind: "lost-answer", task: o.Task, run: o.Run, where: w.id, detail: r.URL.Path})
				h(o, httptest.NewRecorder(), r)
				<-r.Context().Done()
			default:
				h(o, rw, r)
			}
		}
	}
}

// obey reports whether the order's token is high enough. The caller holds mu.
func (w *workerStandIn) obey(o workerOrder) bool {
	w.advance()
	if o.Token < w.token {
		return false
	}
	w.token = o.Token
	return true
}

// extend extends the lease; it never shortens it. The caller holds mu.
func (w *workerStandIn) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxLease.Milliseconds()))
}

func (w *workerStandIn) start(o workerOrder, rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.obey(o) {
		w.answer(rw, "fence")
		return
	}
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		w.extend(o.DeadlineMS)
		w.answer(rw, "")
		return
	}
	cpu, length := parseSpec(o.Spec)
	used := cpu
	for _, r := range w.running {
		used += r.cpu
	}
	switch {
	case o.DeadlineMS < w.clock():
		w.answer(rw, "late")
		return
	case o.Run <= w.highest[o.Task] || w.running[o.Task] != nil:
		w.extend(o.DeadlineMS)
		w.answer(rw, "old")
		return
	case used > w.cpu:
		w.extend(o.DeadlineMS)
		w.answer(rw, "room")
		return
	}
	w.extend(o.DeadlineMS)
	w.running[o.Task] = &taskRun{
		task: o.Task, run: o.Run, cpu: cpu, startedAt: w.clock(), lengthMS: length * max(w.slow, 1), stalled: time.Now().Before(w.stallUntil),
		fails: w.failTasks || failsByItself(o.Spec, o.Task, o.Run),
	}
	w.log.add(event{kind: "start", task: o.Task, run: o.Run, where: w.id})
	w.answer(rw, "")
}

func (w *workerStandIn) stop(o workerOrder, rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.obey(o) {
		w.answer(rw, "fence")
		return
	}
	if r := w.running[o.Task]; r != nil && r.run <= o.Run {
		w.end(r, "stopped")
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	w.answer(rw, "")
}

func (w *workerStandIn) hold(o workerOrder, rw http.ResponseWriter, r *http.Request) {
	until := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waiting := o.WaitMS > 0; ; {
		w.mu.Lock()
		if !w.obey(o) {
			w.answer(rw, "fence")
			w.mu.Unlock()
			return
		}
		if o.DeadlineMS > 0 {
			w.extend(o.DeadlineMS)
		}
		for len(w.ends) > 0 && w.ends[0].number <= o.Ack {
			if w.ends[0].lapses == w.lapses {
				w.log.add(event{kind: "noted", task: w.ends[0].task, run: w.ends[0].run, where: w.id, detail: w.ends[0].how})
			}
			w.ends = w.ends[1:]
		}
		if len(w.ends) > 0 || !waiting {
			writeBody(rw, http.StatusOK, w.lists())
			w.mu.Unlock()
			return
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (w *workerStandIn) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 100 * (w.clock() - r.startedAt) / max(r.lengthMS, 1)
		if r.stalled {
			percent = 0
		}
		running = append(running, []any{r.task, r.run, "", percent, r.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock-ms": w.clock(), "born": w.clockStart.UnixMilli(), "running": running, "finished": finished}
}

// answer answers an order; the reason of a refusal is empty for an order that was carried out.
func (w *workerStandIn) answer(rw http.ResponseWriter, reason string) {
	body := map[string]any{"clock-ms": w.clock(), "born": w.clockStart.UnixMilli()}
	status := http.StatusOK
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	writeBody(rw, status, body)
}

func writeBody(rw http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

func spec(cpu int64, length time.Duration) string {
	return fmt.Sprintf("cpu=%d ms=%d", cpu, length.Milliseconds())
}

func parseSpec(s string) (cpu, lengthMS int64) {
	for _, field := range strings.Fields(s) {
		name, value, _ := strings.Cut(field, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "cpu":
			cpu = n
		case "ms":
			lengthMS = n
		}
	}
	return cpu, lengthMS
}

// failsByItself reports whether a run fails by the task's own fault: the share is stated in the spec.
func failsByItself(s, task string, run int64) bool {
	_, share, ok := strings.Cut(s, "fail=")
	if !ok {
		return false
	}
	n, _ := strconv.Atoi(strings.Fields(share)[0])
	h := fnv.New32()
	fmt.Fprintf(h, "%s/%d", task, run)
	return int(h.Sum32()%100) < n
}

// restart starts a new life under the same ID: it runs and knows nothing of before.
func (w *workerStandIn) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockStart = time.Now()
	clear(w.running)
	clear(w.highest)
	w.token, w.leaseEnd, w.ends, w.lastNumber, w.lapses, w.lapsed = 0, 0, nil, 0, 0, false
	w.log.add(event{kind: "crash", where: w.id})
}
