//go:build review

package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "wycena-api"
	host    = "nony24.example"
	prefix  = "/lohu930/"
)

// daemon is one daemon with its process.
type daemon struct {
	s              *system
	index          int
	name, zone, ip string
	front, ready   string
	peerListen     string
	link           *peerLink
	store          *storeFront
	settings       string
	mu             sync.Mutex
	process        *exec.Cmd
	exited         chan struct{}
	// closed: no process is started any more.
	closed bool
}

// system is a small deployment: daemons, workers and the store.
type system struct {
	program string
	record  *record
	witness *witness
	store   *store
	daemons []*daemon
	workers []*worker
	dir     string
}

func newSystem(program string, r *record) *system {
	return &system{program: program, record: r, witness: &witness{record: r}, store: newStore()}
}

// workerSpec is a worker to start.
type workerSpec struct {
	id, zone string
	cpu      int64
}

// start starts the daemons, one for each zone given, and the workers, and waits until all daemons serve.
func (s *system) start(zones []string, workers []workerSpec, route map[string]any) error {
	var err error
	if s.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return err
	}
	var b [1]byte
	_, _ = rand.Read(b[:])
	network := fmt.Sprintf("127.%d.%d.", 64+os.Getpid()%64, b[0])
	for _, w := range workers {
		o, err := newWorker(w.id, w.zone, network+"200", w.cpu, len(zones), s.witness)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, o)
		s.store.put("servers/"+w.id, o.entry())
		go s.heartbeat(o)
	}
	r := map[string]any{
		"name": "lohu930", "host": host, "prefix": prefix, "service": service, "timeout-ms": 1500, "target-latency-ms": 60,
		"priority": 0, "attempts": 4, "stretch": 1.6,
	}
	for k, v := range route {
		r[k] = v
	}
	s.store.put("op/config", map[string]any{
		"version": 7, "routes": []any{r}, "services": []any{map[string]any{"name": service, "enforces-capacity": true}}, "limits": map[string]any{},
	})
	for i, zone := range zones {
		if err := s.addDaemon(i, zone, network, i+1); err != nil {
			return err
		}
	}
	var names, seeds []string
	for _, d := range s.daemons {
		names = append(names, d.link.address)
		seeds = append(seeds, fmt.Sprintf("%q", d.link.address))
	}
	for _, d := range s.daemons {
		d.link.names = names
		if err := d.writeSettings(zones, seeds[:min(3, len(seeds))]); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := d.waitReady(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// heartbeat writes the worker's entry every 1.5 s.
func (s *system) heartbeat(w *worker) {
	for range time.Tick(1500 * time.Millisecond) {
		if !s.store.absent.Load() {
			s.store.put("servers/"+w.id, w.entry())
		}
	}
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addDaemon gives a daemon addresses of its own for itself, its link and its view of the store.
func (s *system) addDaemon(i int, zone, network string, n int) error {
	ip, linkIP, storeIP := fmt.Sprintf("%s%d", network, n), fmt.Sprintf("%s%d", network, 100+n), fmt.Sprintf("%s%d", network, 150+n)
	d := &daemon{s: s, index: i, name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, ip: ip}
	for _, at := range []*string{&d.front, &d.ready, &d.peerListen} {
		port, err := freePort(ip)
		if err != nil {
			return err
		}
		*at = fmt.Sprintf("%s:%d", ip, port)
	}
	var err error
	if d.link, err = newPeerLink(linkIP, d.peerListen); err != nil {
		return err
	}
	d.store, err = s.store.newFront(storeIP, func(key string, value []byte) []byte { return s.workerAddress(i, key, value) })
	s.daemons = append(s.daemons, d)
	return err
}

// workerAddress gives a daemon its own address of a worker.
func (s *system) workerAddress(daemon int, key string, value []byte) []byte {
	for _, w := range s.workers {
		if key == "servers/"+w.id {
			return bytes.ReplaceAll(value, []byte(w.fronts[0]), []byte(w.fronts[daemon]))
		}
	}
	return value
}

func (d *daemon) writeSettings(zones, seeds []string) error {
	first, err := freePort(d.ip)
	if err != nil {
		return err
	}
	table := ""
	for _, z := range slices.Compact(slices.Sorted(slices.Values(zones))) {
		table += fmt.Sprintf("%s = \"pl-south\"\n", z)
	}
	text := fmt.Sprintf(`node = %q
role = "dispatcher"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = "pl-south"
port-range = [%d,%d]
seeds = [%s]
bootstrap = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
commands = "rpc"
[zones]
%s[listen]
front = %q
ready = %q
control = %q
[limits]
cpu-share = 0.4
cpu-cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact-ms = 3000
ack-timeout-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
max-hold-ms = 1000
stop-timeout-ms = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
retransmit-ms = 1300
[platform]
address = %q
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
`, d.name, d.ip, d.zone, first, first, strings.Join(seeds, ","), table, d.front, d.ready, d.link.address, d.store.address)
	d.settings = filepath.Join(d.s.dir, d.name+".toml")
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the daemon's process as the deploy file does.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.s.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(d.s.program, "node", "--metrics-port=9464", "--gc-percent=100")
	c.Env = append(os.Environ(), "LAVENDERCLEAT_SETTINGS="+d.settings, "LAVENDERCLEAT_PEER_LISTEN="+d.peerListen)
	c.Stdout, c.Stderr = log, log
	if err := d.link.open(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errors.New("the play is over")
	}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		d.link.close()
		log.Close()
		close(exited)
	}()
	d.process, d.exited = c, exited
	d.s.record.write(d.name, "started")
	return nil
}

func (d *daemon) waitReady() error {
	for range 200 {
		resp, err := http.Get("http://" + d.ready + "/lavendercleat/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New(d.name + " isn't ready")
}

// signal sends a signal to the daemon's process and waits for its end if it is to end it.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	c, exited := d.process, d.exited
	d.mu.Unlock()
	d.s.record.write("trouble", "%s gets %v", d.name, sig)
	_ = c.Process.Signal(sig)
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		select {
		case <-exited:
		case <-time.After(8 * time.Second):
			_ = c.Process.Kill()
		}
		d.s.record.write(d.name, "ended")
	}
}

// setZoneCut cuts the daemons and workers of a zone off from the other zones, or ends that. Clients and
// the store stay in reach.
func (s *system) setZoneCut(zone string, cut bool) {
	s.record.write("trouble", "zone %s cut off from the others: %v", zone, cut)
	for _, d := range s.daemons {
		for i, other := range s.daemons {
			if (d.zone == zone) != (other.zone == zone) {
				d.link.setCut(i, cut)
			}
		}
		for _, w := range s.workers {
			if (d.zone == zone) != (w.zone == zone) {
				w.cut[d.index].Store(cut)
			}
		}
	}
}

func (s *system) close() {
	for _, d := range s.daemons {
		d.mu.Lock()
		c, exited := d.process, d.exited
		d.closed = true
		d.mu.Unlock()
		if c != nil {
			_ = c.Process.Kill()
			<-exited
		}
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// call makes one call of a client to a daemon; status 0: no answer. A DELETE or GET has no body.
func (d *daemon) call(ctx context.Context, method, id string, body any, deadline time.Duration) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+prefix+id, r)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	d.s.record.write("client", "%s %s at %s", method, id, d.name)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.s.record.write("client", "%s %s at %s: no answer", method, id, d.name)
		return 0, nil
	}
	defer resp.Body.Close()
	var out map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&out)
	d.s.record.write("client", "%s %s at %s: %d %v", method, id, d.name, resp.StatusCode, out)
	return resp.StatusCode, out
}

// step returns a step of a job for the wire.
func step(count, cpu, estimateMS int, after ...int) map[string]any {
	m := map[string]any{"count": count, "cpu": cpu, "mem-mb": 64, "estimate-ms": estimateMS}
	if len(after) > 0 {
		m["after"] = after
	}
	return m
}

// submit hands a durable job in. After no answer, a 502 or a 504 it sends the job again 1.3 s later, as
// clients do, at the next of the daemons given. It reports whether the job was accepted.
func (s *system) submit(id string, job map[string]any, at ...*daemon) bool {
	for n := range 6 {
		status, _ := at[n%len(at)].call(context.Background(), http.MethodPost, id, job, 3*time.Second)
		if status/100 == 2 {
			return true
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			return false
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return false
}
