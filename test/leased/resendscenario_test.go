package leased

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/platform/platformtest"
)

// A caller whose connection ends sends its job again to another daemon after resendAfter. Tests
// of again are about what delays the end of the first runs beyond that.
const (
	resendDaemons = 4
	// againWorkers is how many workers there are for each daemon.
	workersPerDaemon = 2
	// againTasks fill one daemon's workers: first those of another daemon than the coordinator,
	// whose own are taken by a job before, then those of the daemon that the caller comes to.
	tasksPerJob = 4
	// againWork is much longer than resendAfter: a run that is not stopped meets the second try.
	resendRunTime = 10 * time.Second
	// againPatience is the callers' deadline.
	resendDeadline = 20 * time.Second
	// judgedAfter is when the second try's tasks surely run.
	secondAttemptTimeout = 500 * time.Millisecond
	// heldKnown is some heartbeats, after which all daemons have heard of a worker's holder.
	heartbeatSpread = 500 * time.Millisecond
	// pollsSettle is after the longest poll of a worker that ran nothing: leases are extended in step.
	leaseExtensionDelay = 700 * time.Millisecond
	// againBeat is the time between two looks at what runs.
	pollInterval = time.Millisecond
)

// again is a job whose caller comes again, with what the test did to whom.
type resendScenario struct {
	*testSystem
	id string
	// first is the daemon that the caller comes to first, last the one that it comes to again.
	coordinator, secondDaemon *daemon
	// executors are others that run tasks for the first daemon, on users of the workers.
	executors       []*daemon
	executorWorkers []*platformtest.Worker
	fillerConn      *net.TCPConn
	callerConn      *net.TCPConn
	disconnectedAt  time.Time
	mu              sync.Mutex
	actions         []string
}

// againAtOnce bounds how many of these fleets run at a time: the tests are about daemons that get
// little processor when the test says so.
var concurrentScenarios = make(chan struct{}, 2)

// startAgain starts the system, with relays between daemons if asked, and fills the first daemon's own workers.
func startResendScenario(t *testing.T, daemons int, relays bool) *resendScenario {
	t.Helper()
	concurrentScenarios <- struct{}{}
	t.Cleanup(func() { <-concurrentScenarios })
	s := startSystemWithRelays(t, daemons, workersPerDaemon*daemons, shortTasks, relays)
	a := &resendScenario{testSystem: s, id: fmt.Sprintf("again%d", time.Now().UnixNano()), coordinator: s.daemons[0], secondDaemon: s.daemons[daemons-1]}
	s.waitUntilWorkersHeld()
	s.setBehaviour(platformtest.WorkerBehaviour{RunTime: resendRunTime})
	a.fillerConn = a.sendOnConn("filler", a.coordinator.callerAddress)
	a.waitUntilStarted("filler")
	return a
}

var workerHeldEvent = regexp.MustCompile(`event=worker_held.*worker=(\S+)`)

// awaitHeld waits until each worker has a holder that all daemons have heard of.
func (s *testSystem) waitUntilWorkersHeld() {
	s.t.Helper()
	for until := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		held := make(map[string]bool)
		for _, d := range s.daemons {
			for _, m := range workerHeldEvent.FindAllStringSubmatch(d.Log(), -1) {
				held[m[1]] = true
			}
		}
		if len(held) == len(s.workers) {
			break
		}
		assert.Assert(s.t, time.Now().Before(until), "%d workers are held", len(held))
	}
	time.Sleep(heartbeatSpread)
}

// note keeps an act of the test for the story of a doubled task.
func (a *resendScenario) logAction(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.actions = append(a.actions, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func resendBody() string {
	return fmt.Sprintf(`{"spec":"x","best-effort":true,"steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":%d}]}`,
		tasksPerJob, taskCPU, resendRunTime.Milliseconds())
}

// handIn sends a job on a connection that the test ends itself.
func (a *resendScenario) sendOnConn(id, address string) *net.TCPConn {
	a.t.Helper()
	c, err := net.Dial("tcp4", address)
	assert.NilError(a.t, err)
	a.t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: first-%s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, host, id, resendDeadline.Milliseconds(), len(resendBody()), resendBody())
	assert.NilError(a.t, err)
	a.logAction("%s handed in", id)
	return c.(*net.TCPConn)
}

// starts counts the tasks of a job that were started.
func (a *resendScenario) countStarted(id string) (n int) {
	for name := range a.recorder.Starts() {
		if strings.HasPrefix(name, id+".") {
			n++
		}
	}
	return n
}

func (a *resendScenario) waitUntilStarted(id string) {
	a.t.Helper()
	for until := time.Now().Add(2 * time.Second); a.countStarted(id) < tasksPerJob; time.Sleep(pollInterval) {
		assert.Assert(a.t, time.Now().Before(until), "%d tasks of %s were started", a.countStarted(id), id)
	}
	time.Sleep(heartbeatSpread / 10) // answers and reports are read, logs written
}

// runs hands the job in at an address of the first daemon, and waits until its tasks run alone.
func (a *resendScenario) runJob(address string) {
	a.t.Helper()
	a.callerConn = a.sendOnConn(a.id, address)
	a.waitUntilStarted(a.id)
	a.fillerConn.Close()
	started := regexp.MustCompile(`event=run_started.*job=` + a.id + `.*worker=(\S+)`)
	for _, d := range a.daemons {
		found := started.FindAllStringSubmatch(d.Log(), -1)
		if len(found) == 0 || d == a.coordinator || d == a.secondDaemon {
			continue
		}
		a.executors = append(a.executors, d)
		for _, w := range a.workers {
			if strings.Contains(fmt.Sprint(found), " "+w.ID+"]") {
				a.executorWorkers = append(a.executorWorkers, w)
			}
		}
	}
	assert.Assert(a.t, len(a.executors) > 0)
	time.Sleep(leaseExtensionDelay)
	for until := time.Now().Add(time.Second); a.recorder.RunningCount() > tasksPerJob; time.Sleep(pollInterval) {
		assert.Assert(a.t, time.Now().Before(until), "the job before runs on")
	}
}

// leave ends the caller's connection: it hangs up, or the connection is reset on the way.
func (a *resendScenario) disconnect(reset bool) {
	if reset {
		_ = a.callerConn.SetLinger(0)
	}
	a.callerConn.Close()
	a.disconnectedAt = time.Now()
	a.logAction("the caller's connection ends, reset=%t", reset)
}

// sleep waits until a time after the caller's connection ended.
func (a *resendScenario) sleepUntil(after time.Duration) {
	time.Sleep(time.Until(a.disconnectedAt.Add(after)))
}

// stand lets daemons stand still from now on until a time after the caller's connection ended.
func (a *resendScenario) freezeUntil(until time.Duration, daemons ...*daemon) {
	for _, w := range a.executorWorkers {
		a.logAction("the lease of %s ends at %s", w.ID, w.LeaseEnd().UTC().Format("15:04:05.000"))
	}
	for _, d := range daemons {
		a.logAction("%s stands still", d.name)
		d.Freeze()
		time.AfterFunc(time.Until(a.disconnectedAt.Add(until)), func() { d.Thaw(); a.logAction("%s goes on", d.name) })
	}
}

// awaitLease waits until a lease of a run would end after a time, but not for longer than to the limit.
func (a *resendScenario) waitForLeaseBeyond(after, limit time.Duration) {
	for time.Now().Before(a.disconnectedAt.Add(limit)) {
		for _, w := range a.executorWorkers {
			if w.LeaseEnd().After(a.disconnectedAt.Add(after)) {
				return
			}
		}
		time.Sleep(pollInterval)
	}
}

// comeAgain sends the job to the last daemon when the caller's pause is over, and judges.
func (a *resendScenario) resendAndCheck() {
	a.t.Helper()
	for time.Now().Before(a.disconnectedAt.Add(resendAfter)) && a.recorder.RunningCount() > 0 {
		time.Sleep(pollInterval)
	}
	a.logAction("%d tasks run", a.recorder.RunningCount())
	a.sleepUntil(resendAfter)
	a.logAction("comes again at %s", a.secondDaemon.name)
	ctx, cancel := context.WithTimeout(context.Background(), secondAttemptTimeout)
	defer cancel()
	_, answer := a.call(ctx, http.MethodPost, a.secondDaemon, prefix+a.id, "second-"+a.id, resendBody(), resendDeadline)
	a.logAction("%d starts: %s", a.countStarted(a.id), answer)
	concurrent := strings.Join(a.recorder.RanConcurrently(), " ")
	if concurrent != "" {
		a.t.Logf("acts:\n%s\nstory:\n%s", strings.Join(a.actions, "\n"), a.explain(a.id))
	}
	assert.Equal(a.t, concurrent, "", "a task ran twice at the same time")
	a.t.Logf("acts:\n%s", strings.Join(a.actions, "\n"))
}
