// The system of the tests: a store, workers, daemon processes and the callers' requests.

package leased

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/platform/platformtest"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

const (
	service = "quotes"
	host    = "caller.example"
	prefix  = "/jobs/"
	// resendAfter is how long a caller that got no answer waits before it sends its job again.
	resendAfter = 1300 * time.Millisecond
	// taskCPU is the CPU that each task requests. A worker can run two such tasks at a time.
	taskCPU = 4000
	// taskAttempts is how many failed runs of a task make its job fail.
	taskAttempts = 3
	workerCPU    = 8000
	// readyTimeout bounds the start of a daemon together with its peers.
	readyTimeout = 10 * time.Second
)

// daemon is a daemon process with its addresses, settings and earlier logs.
type daemon struct {
	*cluster.Process
	t                                            *testing.T
	name                                         string
	callerAddress, readinessAddress, peerAddress string
	// peerListenAddress is where the daemon listens for peers. The peers dial peerAddress, which
	// is the address of peerProxy if there is one.
	peerListenAddress string
	peerProxy         *cluster.TCPProxy
	// storeProxy is the TCP proxy between the daemon and the store, or nil.
	storeProxy   *cluster.TCPProxy
	settingsFile string
	// cpuCores is the daemon's cpu-share setting; env holds further environment variables.
	cpuCores float64
	env      []string
	// earlierLogs holds the logs of the earlier processes of this daemon.
	earlierLogs string
}

// testSystem consists of a store, workers and daemons.
type testSystem struct {
	t        *testing.T
	store    *platformtest.Store
	workers  []*platformtest.Worker
	recorder *platformtest.RunRecorder
	daemons  []*daemon
}

// startSystem starts daemons and workers, spread evenly over two failure domains, and waits until
// each daemon serves jobs.
func startSystem(t *testing.T, daemons, workers int, behaviour platformtest.WorkerBehaviour) *testSystem {
	t.Helper()
	return startSystemWithProxies(t, daemons, workers, behaviour, false)
}

// startSystemWithProxies is startSystem. If proxies is set, each daemon gets TCP proxies in front of
// its peer address and of the store.
func startSystemWithProxies(t *testing.T, daemons, workers int, behaviour platformtest.WorkerBehaviour, proxies bool) *testSystem {
	t.Helper()
	return startCustomSystem(t, daemons, workers, behaviour, proxies, func(int, *daemon) {})
}

// startCustomSystem is startSystemWithProxies; customise changes each daemon before its start.
func startCustomSystem(t *testing.T, daemons, workers int, behaviour platformtest.WorkerBehaviour, proxies bool, customise func(i int, d *daemon)) *testSystem {
	t.Helper()
	s := &testSystem{t: t, store: platformtest.NewStore(), recorder: platformtest.NewRunRecorder()}
	t.Cleanup(s.store.Close)
	s.configure(1, prefix)
	for i := range workers {
		s.addWorker(fmt.Sprintf("w%d", i), domain(i), behaviour)
	}
	var seeds []string
	for i := range daemons {
		d := &daemon{t: t, name: fmt.Sprintf("d%d", i), callerAddress: freeAddress(t), readinessAddress: freeAddress(t), peerAddress: freeAddress(t)}
		d.peerListenAddress = d.peerAddress
		if proxies {
			d.peerProxy = cluster.NewTCPProxyAt(t, freeAddress(t), d.peerListenAddress)
			d.peerAddress = d.peerProxy.Address()
			d.storeProxy = cluster.NewTCPProxy(t, s.store.Address().String())
		}
		d.settingsFile = filepath.Join(t.TempDir(), "settings.toml")
		customise(i, d)
		seeds = append(seeds, d.peerAddress)
		s.daemons = append(s.daemons, d)
	}
	for i, d := range s.daemons {
		d.writeSettings(s, domain(i), seeds)
		d.startProcess()
	}
	for _, d := range s.daemons {
		d.waitUntilReady()
	}
	s.waitUntilServing()
	return s
}

// domain returns the failure domain of the daemon or worker with an index.
func domain(i int) string { return []string{"a", "b"}[i%2] }

// addWorker starts a worker and writes its entry to the store.
func (s *testSystem) addWorker(id, zone string, behaviour platformtest.WorkerBehaviour) *platformtest.Worker {
	w := platformtest.NewWorker(id, zone, service, workerCPU, taskCPU, behaviour, s.recorder)
	s.t.Cleanup(w.Close)
	s.workers = append(s.workers, w)
	s.store.Put("servers/"+id, w.Entry(false))
	return w
}

// configure writes a configuration with a route for each path prefix to the store.
func (s *testSystem) configure(version int, prefixes ...string) {
	routes := []map[string]any{}
	for i, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": host, "prefix": p, "service": service, "timeout-ms": 1500,
			"target-latency-ms": 60, "priority": 0, "attempts": taskAttempts, "stretch": 1.6,
		})
	}
	s.store.Put("op/config", map[string]any{"version": version, "routes": routes, "services": []any{}, "limits": map[string]any{}})
}

// waitUntilServing waits until each daemon has completed a job.
func (s *testSystem) waitUntilServing() {
	s.t.Helper()
	for i, d := range s.daemons {
		for until := time.Now().Add(readyTimeout); ; {
			status, _ := s.postJob(context.Background(), d, prefix, fmt.Sprintf("settle%d%d", i, time.Now().UnixNano()), 1, 5*time.Second)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				s.t.Fatalf("%s has completed no job within %s: last status %d", d.name, readyTimeout, status)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// writeSettings writes the daemon's settings file.
func (d *daemon) writeSettings(s *testSystem, zone string, seeds []string) {
	quoted := make([]string, len(seeds))
	for i, a := range seeds {
		quoted[i] = fmt.Sprintf("%q", a)
	}
	store := s.store.Address().String()
	if d.storeProxy != nil {
		store = d.storeProxy.Address()
	}
	text := fmt.Sprintf(`node = %q
zone = %q
ip = "127.0.0.1"
heartbeat-ms = 1500
seeds = [%s]
[listen]
front = %q
ready = %q
control = %q
[limits]
memory-mb = 256
cpu-share = %g
[bounds]
max-hold-ms = 1000
stop-timeout-ms = 50
grace-s = 6
[platform]
address = %q
min-ttl-ms = 1000
`, d.name, zone, strings.Join(quoted, ","), d.callerAddress, d.readinessAddress, d.peerAddress, d.cpuCores, store)
	assert.NilError(s.t, os.WriteFile(d.settingsFile, []byte(text), 0o600))
}

// startProcess starts the daemon's process and saves the log of the process before it.
func (d *daemon) startProcess() {
	if d.Process != nil {
		d.earlierLogs += d.Log()
	}
	env := append([]string{"LAVENDERCLEAT_SETTINGS=" + d.settingsFile, "LAVENDERCLEAT_STOP_DELAY=300ms", "LAVENDERCLEAT_PEER_LISTEN=" + d.peerListenAddress}, d.env...)
	d.Process = cluster.RunLogged(d.t, d.name, env, "node")
}

// isReady reports whether the daemon's readiness endpoint answers 200.
func (d *daemon) isReady() bool {
	resp, err := http.Get("http://" + d.readinessAddress + "/lavendercleat/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) waitUntilReady() {
	d.t.Helper()
	for until := time.Now().Add(readyTimeout); !d.isReady(); {
		if time.Now().After(until) {
			d.t.Fatalf("%s is not ready within %s", d.name, readyTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// postJob sends a job once and returns the status and the job's state. Status 0 means no answer.
func (s *testSystem) postJob(ctx context.Context, d *daemon, path, id string, tasks int, timeout time.Duration) (int, string) {
	body := fmt.Sprintf(`{"spec":"x","best-effort":true,"steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":100}]}`, tasks, taskCPU)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, answer := s.call(ctx, http.MethodPost, d, path+id, "req-"+id, body, timeout)
	return status, parseState(answer)
}

// call makes one HTTP request of a caller. Status 0 means no answer; the text is the error then.
func (s *testSystem) call(ctx context.Context, method string, d *daemon, path, requestID, body string, timeout time.Duration) (int, string) {
	return s.callWithDialer(ctx, nil, method, d, path, requestID, body, timeout)
}

// dialer opens a caller's connection.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// callWithDialer is call on a connection that dial opens, or the default dialer if dial is nil.
func (s *testSystem) callWithDialer(ctx context.Context, dial dialer, method string, d *daemon, path, requestID, body string, timeout time.Duration) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Request-Id", requestID)
	// Each request has its own connection. Callers with a shared connection would share its faults.
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// parseState returns the job's state in an answer, or "" if the answer has none.
func parseState(answer string) string {
	var state struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(answer), &state)
	return state.State
}

// outcomes counts the replies that callers got.
type outcomes struct {
	mu sync.Mutex
	// unclear counts attempts without a clear answer, abandoned the jobs that the caller gave up.
	completed, refused, unclear, abandoned int
	// refusedFirst holds the jobs whose first attempt was refused. None of their tasks may run.
	refusedFirst []string
}

// sendJobs sends jobs from a number of callers until ctx ends. A caller that gets no clear answer
// sends its job again to another daemon.
func (s *testSystem) sendJobs(ctx context.Context, callers, tasks int) *outcomes {
	out := new(outcomes)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				s.sendJob(fmt.Sprintf("c%dn%d", c, n), c+n, tasks, out)
			}
		})
	}
	wg.Wait()
	return out
}

// sendAttempts is how often a caller sends a job before it gives up.
const sendAttempts = 4

// sendJob sends a job to one daemon after the other until the answer is clear.
func (s *testSystem) sendJob(id string, firstDaemon, tasks int, out *outcomes) {
	for attempt := range sendAttempts {
		status, _ := s.postJob(context.Background(), s.daemons[(firstDaemon+attempt)%len(s.daemons)], prefix, id, tasks, 4*time.Second)
		out.mu.Lock()
		switch status {
		case http.StatusOK:
			out.completed++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			out.refused++
			if attempt == 0 {
				out.refusedFirst = append(out.refusedFirst, id)
			}
		default:
			out.unclear++
		}
		out.mu.Unlock()
		if status == http.StatusOK || status == http.StatusServiceUnavailable {
			if status != http.StatusOK {
				time.Sleep(50 * time.Millisecond)
			}
			return
		}
		time.Sleep(resendAfter)
	}
	out.mu.Lock()
	out.abandoned++
	out.mu.Unlock()
}

// checkInvariants checks what must hold under any fault: no task runs twice at the same time, and
// no task of a job starts whose first attempt was refused.
func (s *testSystem) checkInvariants(out *outcomes) {
	s.t.Helper()
	assert.Equal(s.t, strings.Join(s.recorder.RanConcurrently(), " "), "", "a task ran twice at the same time")
	starts := s.recorder.Starts()
	for _, id := range out.refusedFirst {
		for name := range starts {
			assert.Assert(s.t, !strings.HasPrefix(name, id+"."), "job %s was refused as not run, but its task %s was started", id, name)
		}
	}
	s.t.Logf("completed=%d refused=%d unclear=%d abandoned=%d", out.completed, out.refused, out.unclear, out.abandoned)
}

// runUnderLoad runs f while callers send jobs for d. Then it checks the invariants.
func (s *testSystem) runUnderLoad(d time.Duration, callers int, f func()) *outcomes {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	done := make(chan *outcomes, 1)
	go func() { done <- s.sendJobs(ctx, callers, 2) }()
	f()
	out := <-done
	s.checkInvariants(out)
	return out
}
