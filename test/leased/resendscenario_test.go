// The scenario of a job that its caller sends twice, for the tests of resends.

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

// In these scenarios the connection of a caller ends, and the caller sends its job to another daemon
// after resendAfter. The tests delay the end of the first runs beyond that time, so that a dispatcher
// that does not wait for their end runs a task twice at once.
const (
	// resendDaemons is the number of daemons, except where a test needs manyDaemons.
	resendDaemons = 4
	// workersPerDaemon is the number of workers for each daemon.
	workersPerDaemon = 2
	// tasksPerJob tasks fill the workers of one daemon. A filler job occupies the coordinator's own
	// workers, so the first attempt runs on the workers of another daemon. The second attempt runs on
	// the workers of the daemon that gets it.
	tasksPerJob = 4
	// resendRunTime is much longer than resendAfter: a run that is not stopped overlaps the second attempt.
	resendRunTime = 10 * time.Second
	// resendDeadline is the deadline of the callers' jobs.
	resendDeadline = 20 * time.Second
	// secondAttemptTimeout is how long the second attempt lasts. Its tasks run by then.
	secondAttemptTimeout = 500 * time.Millisecond
	// holderReportDelay is several heartbeats. After it all daemons know the holder of a worker.
	holderReportDelay = 500 * time.Millisecond
	// leaseExtensionDelay is longer than the longest poll of an idle worker. After it the executors
	// extend the leases of all workers with runs at regular intervals.
	leaseExtensionDelay = 700 * time.Millisecond
	// pollInterval is the time between two checks of the running tasks.
	pollInterval = time.Millisecond
)

// resendScenario is a job that its caller sends twice, with a log of the test's actions.
type resendScenario struct {
	*testSystem
	id string
	// coordinator gets the first attempt, secondDaemon the second.
	coordinator, secondDaemon *daemon
	// executors are other daemons that run tasks of the first attempt, executorWorkers their workers.
	executors       []*daemon
	executorWorkers []*platformtest.Worker
	// fillerConn carries the filler job, callerConn the first attempt.
	fillerConn *net.TCPConn
	callerConn *net.TCPConn
	// disconnectedAt is when the caller's connection ended.
	disconnectedAt time.Time
	mu             sync.Mutex
	actions        []string
}

// concurrentScenarios limits how many scenarios run at a time. Daemons should lack CPU time only
// where a test takes it from them.
var concurrentScenarios = make(chan struct{}, 2)

// startResendScenario starts the system, with TCP proxies if asked, and fills the coordinator's own
// workers with a filler job.
func startResendScenario(t *testing.T, daemons int, proxies bool) *resendScenario {
	t.Helper()
	concurrentScenarios <- struct{}{}
	t.Cleanup(func() { <-concurrentScenarios })
	system := startSystemWithProxies(t, daemons, workersPerDaemon*daemons, shortTasks, proxies)
	a := &resendScenario{testSystem: system, id: fmt.Sprintf("again%d", time.Now().UnixNano()), coordinator: system.daemons[0], secondDaemon: system.daemons[daemons-1]}
	system.waitUntilWorkersHeld()
	system.setBehaviour(platformtest.WorkerBehaviour{RunTime: resendRunTime})
	a.fillerConn = a.sendJobOnConn("filler", a.coordinator.callerAddress)
	a.waitUntilStarted("filler")
	return a
}

// workerHeldEvent matches the log line of a daemon that has become the holder of a worker.
var workerHeldEvent = regexp.MustCompile(`event=worker_held.*worker=(\S+)`)

// waitUntilWorkersHeld waits until each worker has a holder that all daemons know.
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
		assert.Assert(s.t, time.Now().Before(until), "%d of %d workers have a holder", len(held), len(s.workers))
	}
	time.Sleep(holderReportDelay)
}

// logAction records an action of the test. A failed test prints the actions.
func (a *resendScenario) logAction(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.actions = append(a.actions, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// resendBody returns the body of the scenario's jobs.
func resendBody() string {
	return fmt.Sprintf(`{"spec":"x","best-effort":true,"steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":%d}]}`,
		tasksPerJob, taskCPU, resendRunTime.Milliseconds())
}

// sendJobOnConn sends a job on a new connection, which the test closes itself.
func (a *resendScenario) sendJobOnConn(id, address string) *net.TCPConn {
	a.t.Helper()
	c, err := net.Dial("tcp4", address)
	assert.NilError(a.t, err)
	a.t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: first-%s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, host, id, resendDeadline.Milliseconds(), len(resendBody()), resendBody())
	assert.NilError(a.t, err)
	a.logAction("%s sent", id)
	return c.(*net.TCPConn)
}

// countStarted returns the number of tasks of a job that were started.
func (a *resendScenario) countStarted(id string) (n int) {
	for name := range a.recorder.Starts() {
		if strings.HasPrefix(name, id+".") {
			n++
		}
	}
	return n
}

// waitUntilStarted waits until all tasks of a job were started.
func (a *resendScenario) waitUntilStarted(id string) {
	a.t.Helper()
	for until := time.Now().Add(2 * time.Second); a.countStarted(id) < tasksPerJob; time.Sleep(pollInterval) {
		assert.Assert(a.t, time.Now().Before(until), "%d of %d tasks of %s were started", a.countStarted(id), tasksPerJob, id)
	}
	time.Sleep(holderReportDelay / 10) // the daemons read answers and reports and write their logs
}

// startJob sends the job to an address of the coordinator and ends the filler job. It returns when
// only the tasks of the job run.
func (a *resendScenario) startJob(address string) {
	a.t.Helper()
	a.callerConn = a.sendJobOnConn(a.id, address)
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
		assert.Assert(a.t, time.Now().Before(until), "tasks of the filler job still run: %d tasks run, want %d", a.recorder.RunningCount(), tasksPerJob)
	}
}

// disconnect closes the caller's connection. With reset set the daemon gets a TCP reset.
func (a *resendScenario) disconnect(reset bool) {
	if reset {
		_ = a.callerConn.SetLinger(0)
	}
	a.callerConn.Close()
	a.disconnectedAt = time.Now()
	a.logAction("the caller's connection ends, reset=%t", reset)
}

// sleepUntil waits until the given time after the end of the caller's connection.
func (a *resendScenario) sleepUntil(after time.Duration) {
	time.Sleep(time.Until(a.disconnectedAt.Add(after)))
}

// freezeUntil stops the daemons' processes until the given time after the end of the caller's connection.
func (a *resendScenario) freezeUntil(until time.Duration, daemons ...*daemon) {
	for _, w := range a.executorWorkers {
		a.logAction("the lease of %s ends at %s", w.ID, w.LeaseEnd().UTC().Format("15:04:05.000"))
	}
	for _, d := range daemons {
		a.logAction("%s frozen", d.name)
		d.Freeze()
		time.AfterFunc(time.Until(a.disconnectedAt.Add(until)), func() { d.Thaw(); a.logAction("%s thawed", d.name) })
	}
}

// waitForLeaseBeyond waits until a worker's lease ends later than leaseEnd, or until timeout. Both
// are times after the end of the caller's connection.
func (a *resendScenario) waitForLeaseBeyond(leaseEnd, timeout time.Duration) {
	for time.Now().Before(a.disconnectedAt.Add(timeout)) {
		for _, w := range a.executorWorkers {
			if w.LeaseEnd().After(a.disconnectedAt.Add(leaseEnd)) {
				return
			}
		}
		time.Sleep(pollInterval)
	}
}

// resendAndCheck sends the job to the second daemon resendAfter after the end of the caller's
// connection, and checks that no task runs twice at once.
func (a *resendScenario) resendAndCheck() {
	a.t.Helper()
	for time.Now().Before(a.disconnectedAt.Add(resendAfter)) && a.recorder.RunningCount() > 0 {
		time.Sleep(pollInterval)
	}
	a.logAction("%d tasks run", a.recorder.RunningCount())
	a.sleepUntil(resendAfter)
	a.logAction("second attempt at %s", a.secondDaemon.name)
	ctx, cancel := context.WithTimeout(context.Background(), secondAttemptTimeout)
	defer cancel()
	_, answer := a.call(ctx, http.MethodPost, a.secondDaemon, prefix+a.id, "second-"+a.id, resendBody(), resendDeadline)
	a.logAction("%d starts: %s", a.countStarted(a.id), answer)
	concurrent := strings.Join(a.recorder.RanConcurrently(), " ")
	if concurrent != "" {
		a.t.Logf("actions:\n%s\nexplanation:\n%s", strings.Join(a.actions, "\n"), a.explain(a.id))
	}
	assert.Equal(a.t, concurrent, "", "a task ran twice at the same time")
	a.t.Logf("actions:\n%s", strings.Join(a.actions, "\n"))
}
